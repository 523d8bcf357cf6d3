//! Checks how key rings are parsed and printed, and what the replay filter accepts.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use zinniahinge_peer::KeyRing;
use zinniahinge_peer::ReplayFilter;
use zinniahinge_types::MonotonicTime;

struct RingCase {
    text: String,
    signing_key: Option<&'static str>,
}

fn key(id: &str) -> String {
    format!("{id}:{}", "ab".repeat(32))
}

/// A malformed key ring must be refused: otherwise a process would run without keys, or with a wrong one.
#[gtest]
fn rings_are_read_or_refused() {
    let cases = [
        RingCase {
            text: String::new(),
            signing_key: None,
        },
        RingCase {
            text: "# only a comment\n".to_owned(),
            signing_key: None,
        },
        RingCase {
            text: key("k1"),
            signing_key: Some("k1"),
        },
        RingCase {
            text: format!("\n# new\n{}\n{}\n", key("k2"), key("k1")),
            signing_key: Some("k2"),
        },
        RingCase {
            text: format!("{}0", key("k1")),
            signing_key: None,
        },
        RingCase {
            text: format!("k1:{}", "zz".repeat(32)),
            signing_key: None,
        },
        RingCase {
            text: format!("k 1:{}", "ab".repeat(32)),
            signing_key: None,
        },
        RingCase {
            text: "ab".repeat(32),
            signing_key: None,
        },
        RingCase {
            text: format!("{}\nbroken", key("k1")),
            signing_key: None,
        },
    ];
    for RingCase { text, signing_key } in cases {
        let ring = KeyRing::parse(&text);
        let id = ring
            .as_ref()
            .ok()
            .map(|ring| ring.signing_key().id.to_string());
        expect_that!(id.as_deref(), eq(signing_key), "{text}");
    }
}

/// The debug text of a key ring must not hold the secret, since it may end up in a log line.
#[gtest]
fn secrets_are_not_printed() {
    let ring = KeyRing::parse(&key("k1"));
    expect_that!(format!("{ring:?}"), not(contains_substring("171, 171")));
    expect_that!(format!("{ring:?}"), not(contains_substring("abab")));
}

/// A replayed message must not take effect twice. A message is accepted up to 10 s early or late, so the filter must
/// remember its nonce for 20 s.
#[gtest]
fn nonces_are_remembered_while_a_message_is_accepted() {
    for first in [0, 1, 10, 19, 20, 21, 39] {
        let filter = ReplayFilter::default();
        let at = |seconds| MonotonicTime::from_origin(Duration::from_secs(seconds));
        expect_that!(filter.admit(7, at(first)), eq(true));
        for later in [0, 1, 10, 19] {
            expect_that!(
                filter.admit(7, at(first + later)),
                eq(false),
                "{first} + {later}"
            );
        }
        expect_that!(filter.admit(8, at(first + 19)), eq(true));
    }
}

/// The filter must not fill up at full load, after which the process would reject all messages. 64 connections made
/// 10,000 messages per second; twice that must pass.
#[gtest]
fn filter_does_not_fill_up_at_full_load() {
    let filter = ReplayFilter::default();
    let mut rejected = 0;
    for second in 0..60_u64 {
        let now = MonotonicTime::from_origin(Duration::from_secs(second));
        for message in 0..20_000 {
            rejected += u32::from(!filter.admit(second * 20_000 + message, now));
        }
    }
    expect_that!(rejected, eq(0));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Parsing must not panic on any key file, for example on one that is cut within a character.
    #[test]
    fn any_key_file_is_read_or_refused(text in "\\PC{0,120}") {
        let _ = KeyRing::parse(&text);
    }
}
