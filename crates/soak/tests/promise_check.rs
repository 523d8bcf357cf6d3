//! Each promise is found broken in records that break it, and kept in records that don't.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::SeenOrder;
use zinniahinge_platform_standins::SeenRequest;
use zinniahinge_soak::CallerRecord;
use zinniahinge_soak::Disturbance;
use zinniahinge_soak::RequestKind;
use zinniahinge_soak::SoakRecords;
use zinniahinge_soak::broken_promises;

const ID: &str = "r1";

fn call(kind: RequestKind, sent_at: Instant, answer: CallerAnswer) -> CallerRecord {
    CallerRecord {
        id: ID.to_owned(),
        kind,
        key: "key-2",
        sent_at,
        answer: Some(answer),
    }
}

fn answer(status: u16, body: Option<&str>, signature: Option<&str>) -> CallerAnswer {
    CallerAnswer {
        status: Some(status),
        body: body.map(str::to_owned),
        signature: signature.map(str::to_owned),
        id: Some(ID.to_owned()),
        retry_after: None,
        closes: false,
    }
}

fn served() -> CallerAnswer {
    answer(200, Some("answer to r1"), Some("seal-r1"))
}

fn run_at(at: Instant, headers: &[(&str, &str)]) -> SeenRequest {
    let mut all = BTreeMap::from([("x-tenant".to_owned(), "acme".to_owned())]);
    let headers = headers.iter();
    all.extend(headers.map(|(name, value)| ((*name).to_owned(), (*value).to_owned())));
    SeenRequest {
        id: ID.to_owned(),
        target: "POST /book/x".to_owned(),
        headers: all,
        body: Vec::new(),
        at,
        ran: true,
    }
}

fn order(holder: &str, fence: u64, at: Instant) -> SeenOrder {
    SeenOrder {
        op: "load".to_owned(),
        subject: "m1".to_owned(),
        holder: holder.to_owned(),
        fence,
        status: 202,
        at,
    }
}

struct RecordCase {
    name: &'static str,
    records: SoakRecords,
    /// Words of the only broken promise; `None` if all are kept.
    broken: Option<&'static str>,
}

fn with_call(call: CallerRecord, runs: Vec<SeenRequest>) -> SoakRecords {
    SoakRecords {
        calls: vec![call],
        requests: runs,
        turned_key: "key-2",
        ..SoakRecords::default()
    }
}

fn with_orders(orders: Vec<SeenOrder>, disturbances: Vec<Disturbance>) -> SoakRecords {
    SoakRecords {
        orders: vec![orders],
        disturbances,
        ..SoakRecords::default()
    }
}

#[test]
fn broken_promises_are_found() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let once = |answer| call(RequestKind::Once, start, answer);
    let run = || run_at(start, &[]);
    let events = |numbers: &[u64]| -> String {
        let events = numbers.iter();
        events
            .map(|event| format!("id: {event}\ndata: event {event}\n\n"))
            .collect()
    };
    let stream = |numbers: &[u64]| {
        let body = events(numbers);
        let answer = answer(200, Some(&body), Some("seal-r1-llm-1"));
        with_call(call(RequestKind::Stream, start, answer), vec![run()])
    };
    let withdrawn = |sent| {
        let call = call(RequestKind::Repeatable, at(sent), served());
        SoakRecords {
            key_turns: vec![(at(1), false), (at(20), true)],
            ..with_call(call, vec![run_at(at(sent), &[])])
        }
    };
    let paused = |host: &str, from, until| Disturbance {
        host: host.to_owned(),
        from: at(from),
        until: at(until),
    };
    let cases = [
        RecordCase {
            name: "all kept",
            records: with_call(once(served()), vec![run()]),
            broken: None,
        },
        RecordCase {
            name: "two runs",
            records: with_call(once(served()), vec![run(), run()]),
            broken: Some("ran 2 times"),
        },
        RecordCase {
            name: "two runs of a repeatable request",
            records: with_call(
                call(RequestKind::Repeatable, start, served()),
                vec![run(), run()],
            ),
            broken: None,
        },
        RecordCase {
            name: "refused and run",
            records: with_call(once(answer(503, Some(""), None)), vec![run()]),
            broken: Some("and ran"),
        },
        RecordCase {
            name: "a failure that promises nothing",
            records: with_call(once(answer(502, Some(""), None)), vec![run()]),
            broken: None,
        },
        RecordCase {
            name: "another request's answer",
            records: with_call(
                once(answer(200, Some("answer to r2"), Some("seal-r1"))),
                vec![run()],
            ),
            broken: Some("success with the body"),
        },
        RecordCase {
            name: "no signature",
            records: with_call(once(answer(200, Some("answer to r1"), None)), vec![run()]),
            broken: Some("success with the signature"),
        },
        RecordCase {
            name: "a cut answer",
            records: with_call(once(answer(200, None, Some("seal-r1"))), vec![run()]),
            broken: None,
        },
        RecordCase {
            name: "all events",
            records: stream(&[1, 2, 3, 4, 5, 6]),
            broken: None,
        },
        RecordCase {
            name: "an event missing",
            records: stream(&[1, 2, 4, 5, 6]),
            broken: Some("success with the body"),
        },
        RecordCase {
            name: "an event twice",
            records: stream(&[1, 2, 3, 3, 4, 5, 6]),
            broken: Some("success with the body"),
        },
        RecordCase {
            name: "a withdrawn key within its time",
            records: withdrawn(5),
            broken: None,
        },
        RecordCase {
            name: "a withdrawn key later",
            records: withdrawn(7),
            broken: Some("after its key was withdrawn"),
        },
        RecordCase {
            name: "a key that was given again",
            records: withdrawn(21),
            broken: None,
        },
        RecordCase {
            name: "a forged header",
            records: with_call(once(served()), vec![run_at(start, &[("x-hold", "forged")])]),
            broken: Some("forged"),
        },
        RecordCase {
            name: "another account",
            records: with_call(
                once(served()),
                vec![run_at(start, &[("x-tenant", "other")])],
            ),
            broken: Some("ran for"),
        },
        RecordCase {
            name: "holders far apart",
            records: with_orders(vec![order("h1", 1, at(0)), order("h2", 2, at(4))], vec![]),
            broken: None,
        },
        RecordCase {
            name: "holders in turn",
            records: with_orders(vec![order("h1", 1, at(0)), order("h2", 2, at(2))], vec![]),
            broken: Some("apart"),
        },
        RecordCase {
            name: "holders in turn, one paused a moment ago",
            records: with_orders(
                vec![order("h1", 1, at(6)), order("h2", 2, at(8))],
                vec![paused("h1", 1, 5)],
            ),
            broken: None,
        },
        RecordCase {
            name: "one fence for two",
            records: with_orders(vec![order("h1", 1, at(0)), order("h2", 1, at(9))], vec![]),
            broken: Some("under fence 1"),
        },
        RecordCase {
            name: "a lower fence",
            records: with_orders(vec![order("h1", 2, at(0)), order("h2", 1, at(9))], vec![]),
            broken: Some("fence 1 after 2"),
        },
        RecordCase {
            name: "too much memory",
            records: SoakRecords {
                peaks_mb: vec![130.0, 131.0],
                ..SoakRecords::default()
            },
            broken: Some("engine 1 was ordered to hold"),
        },
    ];
    for RecordCase {
        name,
        records,
        broken,
    } in cases
    {
        let found = broken_promises(&records);
        match broken {
            None => assert_that!(found.is_empty(), eq(true), "{name}: {found:?}"),
            Some(words) => {
                assert_that!(found.len(), eq(1), "{name}: {found:?}");
                assert_that!(found[0].contains(words), eq(true), "{name}: {found:?}");
            }
        }
    }
}
