//! Hosts that are passed over because they did not answer.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::SilentHosts;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;

fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime::from_origin(Duration::from_millis(time_ms))
}

fn hosts(names: &[&str]) -> Vec<HostId> {
    names.iter().map(|name| HostId::from(*name)).collect()
}

struct SilenceCase {
    name: &'static str,
    /// Times at which h1 did not answer, milliseconds.
    silent_at: &'static [u64],
    /// When it answered, milliseconds.
    answered_at: Option<u64>,
    /// Expected silence at 3000 ms, milliseconds.
    silence_ms: Option<u64>,
}

/// Load pattern: the first host in line is lost for good, and requests ask it one after the other. Guards against requests
/// that wait for it each time, and against a host that is passed over although it answers again.
#[test]
fn a_host_that_does_not_answer_is_passed_over() {
    let cases = [
        SilenceCase {
            name: "never called",
            silent_at: &[],
            answered_at: None,
            silence_ms: None,
        },
        SilenceCase {
            name: "did not answer twice",
            silent_at: &[500, 1800],
            answered_at: None,
            silence_ms: Some(2500),
        },
        SilenceCase {
            name: "answers again",
            silent_at: &[500, 1800],
            answered_at: Some(2000),
            silence_ms: None,
        },
        SilenceCase {
            name: "long ago, it may be back",
            silent_at: &[500],
            answered_at: None,
            silence_ms: None,
        },
        SilenceCase {
            name: "silent anew after a pause",
            silent_at: &[100, 2500],
            answered_at: None,
            silence_ms: Some(500),
        },
    ];
    for case in cases {
        let mut silent = SilentHosts::default();
        for time_ms in case.silent_at {
            silent.record_silence(&"h1".into(), at(*time_ms));
        }
        if case.answered_at.is_some() {
            silent.record_answer("h1");
        }
        let silence = silent.silence("h1", at(3000));
        let expected = case.silence_ms.map(Duration::from_millis);
        assert_that!(silence, eq(expected), "{}", case.name);
        let left = silent.without_silent(hosts(&["h1", "h2"]), at(3000));
        let expected = match case.silence_ms {
            Some(_) => hosts(&["h2"]),
            None => hosts(&["h1", "h2"]),
        };
        assert_that!(left, eq(&expected), "{}", case.name);
    }
}
