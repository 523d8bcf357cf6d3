//! Each promise is found broken in records that break it, and kept in records that don't.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::SeenOrder;
use zinniahinge_platform_standins::SeenRequest;
use zinniahinge_platform_standins::WorkSpan;
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
        host: "h1".to_owned(),
        key: "key-2",
        sent_at,
        ended_at: sent_at,
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
        server: "app-0".to_owned(),
        said_leaving: false,
        pause: None,
        limit: None,
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
    // One run at each of two servers, from and until these seconds.
    let with_work = |runs: [(u64, u64); 2]| {
        let work = runs.map(|(from, until)| {
            vec![WorkSpan {
                id: ID.to_owned(),
                begin: at(from),
                end: Some(at(until)),
            }]
        });
        let mut call = call(RequestKind::ResumableStream, start, served());
        call.answer = None;
        SoakRecords {
            work: work.into(),
            ..with_call(call, Vec::new())
        }
    };
    // Refused, sent again under the same id at second 5 and answered with this status; runs at these seconds.
    let refused_and_repeated = |status: u16, runs_at: &[u64]| {
        let last = match status {
            200 => served(),
            status => answer(status, Some(""), None),
        };
        let runs = runs_at.iter().map(|second| run_at(at(*second), &[]));
        SoakRecords {
            calls: vec![
                call(RequestKind::Once, at(5), last),
                once(answer(503, Some(""), None)),
            ],
            ..with_call(once(served()), runs.collect())
        }
    };
    let cases = [
        RecordCase {
            name: "refused, and run when it was sent again",
            records: refused_and_repeated(200, &[6]),
            broken: None,
        },
        RecordCase {
            name: "refused twice",
            records: refused_and_repeated(503, &[]),
            broken: None,
        },
        RecordCase {
            name: "refused and run before it was sent again",
            records: refused_and_repeated(200, &[4]),
            broken: Some("Some(503) and ran"),
        },
        RecordCase {
            name: "refused twice, and run when it was sent again",
            records: refused_and_repeated(429, &[6]),
            broken: Some("Some(429) and ran"),
        },
        RecordCase {
            name: "refused, and run twice when it was sent again",
            records: refused_and_repeated(200, &[6, 7]),
            broken: Some("ran 2 times"),
        },
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
        RecordCase {
            name: "stream at two servers",
            records: with_work([(0, 2), (1, 3)]),
            broken: Some("ran at servers 0 and 1 for 1s"),
        },
        RecordCase {
            name: "stream at one server after the other",
            records: with_work([(0, 1), (1, 3)]),
            broken: None,
        },
        RecordCase {
            name: "stream at one server for all the time of the other",
            records: with_work([(0, 9), (1, 3)]),
            broken: Some("ran at servers 0 and 1 for 2s"),
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

/// A request of host h1 with an id, sent and arrived at `at`, that was answered.
fn request_at(number: usize, at: Instant) -> (CallerRecord, SeenRequest) {
    let id = format!("w{number}");
    let body = format!("answer to {id}");
    let seal = format!("seal-{id}");
    let answer = answer(200, Some(&body), Some(&seal));
    let call = CallerRecord {
        id: id.clone(),
        ..call(RequestKind::Repeatable, at, answer)
    };
    let seen = SeenRequest {
        id,
        ..run_at(at, &[])
    };
    (call, seen)
}

struct ServerCase {
    name: &'static str,
    /// Times of arrivals after the first one, milliseconds.
    later_ms: &'static [u64],
    /// What the first answer says.
    leaves: bool,
    pause_ms: Option<u64>,
    /// A disturbance of h1, milliseconds.
    disturbed_ms: Option<(u64, u64)>,
    /// When the server started again under its id, milliseconds.
    restarted_ms: Option<u64>,
    broken: Option<&'static str>,
}

/// Guards against a soak that doesn't see hosts which ignore what servers ask of them.
#[test]
fn requests_to_servers_that_leave_or_pause_are_found() {
    let calm = ServerCase {
        name: "nothing asked",
        later_ms: &[100, 700, 800, 900, 2500],
        leaves: false,
        pause_ms: None,
        disturbed_ms: None,
        restarted_ms: None,
        broken: None,
    };
    let cases = [
        ServerCase { ..calm },
        ServerCase {
            name: "leaves, and gets requests for two seconds",
            later_ms: &[100, 1900],
            leaves: true,
            ..calm
        },
        ServerCase {
            name: "leaves, and gets a later request",
            later_ms: &[100, 2100],
            leaves: true,
            broken: Some("said that it leaves"),
            ..calm
        },
        ServerCase {
            name: "leaves, and the host was restarted",
            later_ms: &[2100],
            leaves: true,
            disturbed_ms: Some((500, 900)),
            ..calm
        },
        ServerCase {
            name: "pauses, and gets requests at once, two within, and others afterwards",
            later_ms: &[100, 200, 300, 700, 900, 1600, 1700, 1800],
            pause_ms: Some(1500),
            ..calm
        },
        ServerCase {
            name: "pauses, and gets three requests within",
            later_ms: &[700, 900, 1100],
            pause_ms: Some(1500),
            broken: Some("in a pause"),
            ..calm
        },
        ServerCase {
            name: "pauses, and the host stood still",
            later_ms: &[700, 900, 1100],
            pause_ms: Some(1500),
            disturbed_ms: Some((200, 600)),
            ..calm
        },
        ServerCase {
            name: "pauses, and another run gets requests",
            later_ms: &[700, 900, 1100],
            pause_ms: Some(1500),
            restarted_ms: Some(600),
            ..calm
        },
        ServerCase {
            name: "pauses, gets three requests within, and starts again",
            later_ms: &[700, 900, 1100],
            pause_ms: Some(1500),
            restarted_ms: Some(1200),
            broken: Some("in a pause"),
            ..calm
        },
        ServerCase {
            name: "leaves, and another run gets a later request",
            later_ms: &[100, 2100],
            leaves: true,
            restarted_ms: Some(500),
            ..calm
        },
    ];
    let start = Instant::now();
    let at = |time_ms: u64| start + Duration::from_millis(time_ms);
    for case in cases {
        let times = std::iter::once(&0).chain(case.later_ms);
        let requests = times
            .enumerate()
            .map(|(number, time_ms)| request_at(number, at(*time_ms)));
        let (calls, mut requests): (Vec<_>, Vec<_>) = requests.unzip();
        requests[0].said_leaving = case.leaves;
        requests[0].pause = case.pause_ms.map(Duration::from_millis);
        let disturbances = case.disturbed_ms.map(|(from_ms, until_ms)| Disturbance {
            host: "h1".to_owned(),
            from: at(from_ms),
            until: at(until_ms),
        });
        let server = requests[0].server.clone();
        let restarts = case
            .restarted_ms
            .map(|restarted_ms| (server, at(restarted_ms)));
        let records = SoakRecords {
            calls,
            requests,
            disturbances: disturbances.into_iter().collect(),
            restarts: restarts.into_iter().collect(),
            ..SoakRecords::default()
        };
        let broken = broken_promises(&records);
        match case.broken {
            None => assert_that!(broken, is_empty(), "{}", case.name),
            Some(words) => {
                assert_that!(
                    broken,
                    elements_are![contains_substring(words)],
                    "{}",
                    case.name
                )
            }
        }
    }
}
