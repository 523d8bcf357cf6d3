//! Servers that get more requests than the limit that they name are found, and hosts that couldn't know it aren't blamed.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::SeenRequest;
use zinniahinge_soak::CallerRecord;
use zinniahinge_soak::Disturbance;
use zinniahinge_soak::RequestKind;
use zinniahinge_soak::SoakRecords;
use zinniahinge_soak::broken_promises;

struct LimitCase {
    name: &'static str,
    /// Limits that the server names, each from this time on, milliseconds; `None` for answers without one.
    limits: &'static [(u64, Option<f64>)],
    /// Time from one arrival to the next one, milliseconds, over 12 s.
    interval_ms: u64,
    /// Host of all requests but the first one, which is of h1.
    host: &'static str,
    /// Status of the answer to the first request, the only one that passes the limit on.
    first_status: u16,
    /// Time until the first answer was there, milliseconds.
    answered_ms: u64,
    /// A disturbance of a host or server, milliseconds.
    disturbed: Option<(&'static str, u64, u64)>,
    broken: bool,
}

/// Guards against a soak that doesn't see servers which get more requests than they take, and against one that blames hosts
/// which didn't know.
#[test]
fn requests_beyond_a_limit_are_found() {
    // 40 a window, where 1.5 times 4 times 5 and 5 more are allowed.
    let excess = LimitCase {
        name: "more than the limit allows",
        limits: &[(0, Some(5.0))],
        interval_ms: 100,
        host: "h1",
        first_status: 200,
        answered_ms: 0,
        disturbed: None,
        broken: true,
    };
    let cases = [
        LimitCase { ..excess },
        LimitCase {
            name: "one and a half times the limit",
            interval_ms: 134,
            broken: false,
            ..excess
        },
        LimitCase {
            name: "a little more than one and a half times the limit and five requests",
            interval_ms: 111,
            ..excess
        },
        LimitCase {
            name: "no limit",
            limits: &[],
            broken: false,
            ..excess
        },
        LimitCase {
            name: "lifted before it binds",
            limits: &[(0, Some(5.0)), (2_900, None)],
            broken: false,
            ..excess
        },
        LimitCase {
            name: "lifted, and named again",
            limits: &[(0, Some(5.0)), (6_000, None), (6_500, Some(5.0))],
            broken: false,
            ..excess
        },
        LimitCase {
            name: "higher a short time later",
            limits: &[(0, Some(5.0)), (6_000, Some(8.0))],
            broken: false,
            ..excess
        },
        LimitCase {
            name: "higher before",
            limits: &[(0, Some(8.0)), (4_000, Some(5.0))],
            ..excess
        },
        LimitCase {
            name: "the host passed on nothing",
            host: "h2",
            broken: false,
            ..excess
        },
        LimitCase {
            name: "the answer was not the server's",
            first_status: 502,
            broken: false,
            ..excess
        },
        LimitCase {
            name: "the answer came late",
            answered_ms: 9_000,
            broken: false,
            ..excess
        },
        LimitCase {
            name: "the host was disturbed",
            disturbed: Some(("h1", 5_000, 5_500)),
            broken: false,
            ..excess
        },
        LimitCase {
            name: "the host was disturbed shortly before and is again",
            disturbed: Some(("h1", 100, 6_500)),
            broken: false,
            ..excess
        },
        LimitCase {
            name: "the host was disturbed long before",
            disturbed: Some(("h1", 100, 200)),
            ..excess
        },
        LimitCase {
            name: "another host was disturbed",
            disturbed: Some(("h2", 0, 12_000)),
            ..excess
        },
        LimitCase {
            name: "the link of the server was disturbed",
            disturbed: Some(("app-0", 5_000, 6_500)),
            broken: false,
            ..excess
        },
    ];
    let start = Instant::now();
    let at = |time_ms: u64| start + Duration::from_millis(time_ms);
    for case in cases {
        let times = (0..12_000).step_by(case.interval_ms as usize);
        let requests = times.enumerate().map(|(number, time_ms): (usize, u64)| {
            let named = case.limits.iter().rev().find(|(from, _)| *from <= time_ms);
            let limit = named.and_then(|(_, limit)| *limit);
            let (host, status, answered_ms) = match number {
                0 => ("h1", case.first_status, case.answered_ms),
                _ => (case.host, 503, 0),
            };
            let id = format!("r{number}");
            let seen = SeenRequest {
                id: id.clone(),
                target: "GET /app/x".to_owned(),
                headers: BTreeMap::from([("x-tenant".to_owned(), "acme".to_owned())]),
                body: Vec::new(),
                at: at(time_ms),
                ran: status == 200,
                server: "app-0".to_owned(),
                said_leaving: false,
                pause: None,
                limit,
            };
            (
                CallerRecord {
                    kind: RequestKind::Repeatable,
                    host: host.to_owned(),
                    key: "key-2",
                    sent_at: at(time_ms),
                    ended_at: at(time_ms + answered_ms),
                    answer: Some(CallerAnswer {
                        status: Some(status),
                        body: Some(format!("answer to {id}")),
                        signature: Some(format!("seal-{id}")),
                        id: Some(id.clone()),
                        retry_after: None,
                        closes: false,
                    }),
                    id,
                },
                seen,
            )
        });
        let (calls, requests): (Vec<_>, Vec<_>) = requests.unzip();
        let disturbances = case.disturbed.map(|(host, from_ms, until_ms)| Disturbance {
            host: host.to_owned(),
            from: at(from_ms),
            until: at(until_ms),
        });
        let records = SoakRecords {
            calls,
            requests,
            disturbances: disturbances.into_iter().collect(),
            ..SoakRecords::default()
        };
        let found = broken_promises(&records);
        let is_found = found.len() == 1 && found[0].contains("after it named a limit");
        assert_that!(is_found, eq(case.broken), "{}: {found:?}", case.name);
        assert_that!(found.len() <= 1, eq(true), "{}: {found:?}", case.name);
    }
}
