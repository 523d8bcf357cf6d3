//! Refusals that come once more where the next answer is due: no request is taken for refused that runs.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::RefusalCopies;
use zinniahinge_platform_standins::start_successor;

use crate::common::Outcome;
use crate::common::TestBed;

/// Bytes of a copy that are more than any copy has.
const WHOLE_COPY: usize = 1000;

/// Time in which an early copy arrives and its connection is idle.
const IDLE_PAUSE: Duration = Duration::from_millis(30);

/// Time in which a request that was answered would be run once more.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Time after which a host counts a server without an entry as gone, and a little more.
const GONE_AFTER: Duration = Duration::from_millis(2500);

/// Time until the store names the server that started at the address of a former one.
const ENTRY_DELAY: Duration = Duration::from_millis(150);

/// Pause between two events, so that a stream outlasts the time for which two servers may work on it.
const EVENT_PAUSE: Duration = Duration::from_millis(150);

/// Longest time for which two servers may work on one stream, from the platform's rules.
const ALLOWED_OVERLAP: Duration = Duration::from_millis(400);

/// Refuses everything, 503, with copies that name the request.
const COPIES: RefusalCopies = RefusalCopies {
    percent: 100,
    seed: 1,
    at_most: u64::MAX,
    status: 503,
    names_request: true,
    early: 0,
    work_delay: Duration::ZERO,
};

/// Refuses only what is meant for another server.
const MISDIRECTED: RefusalCopies = RefusalCopies {
    percent: 0,
    ..COPIES
};

struct CopyCase {
    name: &'static str,
    path: &'static str,
    model: Option<&'static str>,
    copies: RefusalCopies,
    /// The host stands still from the refusal until the request is sent again.
    is_paused: bool,
}

const BOOKING: CopyCase = CopyCase {
    name: "",
    path: "/book/x",
    model: None,
    copies: COPIES,
    is_paused: false,
};

impl CopyCase {
    fn request(&self) -> CallerRequest {
        CallerRequest {
            model: self.model,
            deadline_ms: 900,
            ..CallerRequest::new(self.name, self.path)
        }
    }
}

/// What is wrong with a request that the servers got `runs` times and that was answered so.
fn faults(bed: &TestBed, name: &str, answer: &CallerAnswer) -> Option<String> {
    let runs = bed.runs(name);
    let is_truthful = !answer.promises_not_run() || runs == 0;
    let overlap = overlap(bed, name);
    let is_right = is_truthful && runs <= 1 && overlap <= ALLOWED_OVERLAP;
    let status = answer.status;
    (!is_right).then(|| {
        let lines = bed.host.log_lines(&[name]);
        let lines = lines.join("\n");
        format!("{name}: {runs} runs, answered {status:?}, two servers for {overlap:?}\n{lines}")
    })
}

/// Longest time for which two servers worked on a request.
fn overlap(bed: &TestBed, name: &str) -> Duration {
    let now = Instant::now();
    let servers: Vec<&BackendServer> = bed.plain.iter().chain(&bed.engines).collect();
    let mut longest = Duration::ZERO;
    for (index, one) in servers.iter().enumerate() {
        for other in &servers[index + 1..] {
            for span in one.work().iter().filter(|span| span.id == name) {
                for second in other.work().iter().filter(|span| span.id == name) {
                    longest = longest.max(span.overlap(second, now));
                }
            }
        }
    }
    longest
}

fn set_faults(bed: &TestBed, copies: RefusalCopies) {
    for server in bed.plain.iter().chain(&bed.engines) {
        server.set_event_pause(EVENT_PAUSE);
        server.set_fault(BackendFault::RefusalCopies(copies));
    }
}

/// Guards against the copy of a refusal that is read as the answer to the same request, which its caller sent again under its
/// id.
#[tokio::test]
async fn a_request_sent_again_under_its_id_is_not_taken_for_refused() -> Outcome {
    let cases = [
        CopyCase {
            name: "again-503",
            ..BOOKING
        },
        CopyCase {
            name: "again-429",
            copies: RefusalCopies {
                status: 429,
                ..COPIES
            },
            ..BOOKING
        },
        CopyCase {
            name: "again-no-id",
            copies: RefusalCopies {
                names_request: false,
                ..COPIES
            },
            ..BOOKING
        },
        CopyCase {
            name: "again-two-pieces",
            copies: RefusalCopies {
                early: 20,
                ..COPIES
            },
            ..BOOKING
        },
        CopyCase {
            name: "again-paused",
            is_paused: true,
            ..BOOKING
        },
        CopyCase {
            name: "again-paused-two-pieces",
            copies: RefusalCopies {
                early: 20,
                ..COPIES
            },
            is_paused: true,
            ..BOOKING
        },
        CopyCase {
            name: "again-paused-early",
            copies: RefusalCopies {
                early: WHOLE_COPY,
                ..COPIES
            },
            is_paused: true,
            ..BOOKING
        },
        CopyCase {
            name: "again-stream",
            path: "/llm/stream/x",
            model: Some("m1"),
            ..BOOKING
        },
        CopyCase {
            name: "again-resumable",
            path: "/resume/stream/x",
            model: Some("m1"),
            ..BOOKING
        },
    ];
    let mut found = Vec::new();
    for case in cases {
        let bed = TestBed::start().await?;
        set_faults(&bed, case.copies);
        let mut caller = Caller::connect(bed.host.callers).await?;
        let refused = caller.ask(&case.request()).await?;
        assert_that!(bed.runs(case.name), eq(0), "{}: {refused:?}", case.name);
        if case.is_paused {
            bed.host.signal(Signal::SIGSTOP)?;
        }
        set_faults(&bed, MISDIRECTED);
        tokio::time::sleep(IDLE_PAUSE).await;
        let request = CallerRequest {
            deadline_ms: 4000,
            ..case.request()
        };
        caller.send_bytes(&request.to_bytes()).await?;
        if case.is_paused {
            tokio::time::sleep(IDLE_PAUSE).await;
            bed.host.signal(Signal::SIGCONT)?;
        }
        let answer = caller.read_answer().await?;
        tokio::time::sleep(SETTLE_TIME).await;
        found.extend(faults(&bed, case.name, &answer));
    }
    assert_that!(found, is_empty());
    Ok(())
}

/// Guards against the copy of a 421 that is read as the answer of a server which started at the address of a former one, under
/// another id: the connection has carried the request.
#[tokio::test]
async fn a_request_is_not_taken_for_refused_by_the_next_server_at_an_address() -> Outcome {
    let copies = MISDIRECTED;
    let cases = [
        CopyCase {
            name: "next-booking",
            copies,
            ..BOOKING
        },
        CopyCase {
            name: "next-booking-no-id",
            copies: RefusalCopies {
                names_request: false,
                ..copies
            },
            ..BOOKING
        },
        CopyCase {
            name: "next-booking-two-pieces",
            copies: RefusalCopies {
                early: 20,
                ..copies
            },
            ..BOOKING
        },
        CopyCase {
            name: "next-stream",
            path: "/llm/stream/x",
            model: Some("m1"),
            copies,
            ..BOOKING
        },
        CopyCase {
            name: "next-resumable",
            path: "/resume/stream/x",
            model: Some("m1"),
            copies,
            ..BOOKING
        },
    ];
    let mut found = Vec::new();
    for case in cases {
        let mut bed = TestBed::start().await?;
        let models: &[&str] = &["m1", "m2"];
        let (former, models) = match case.model {
            None => (bed.plain[0].clone(), &models[..0]),
            Some(_) => (bed.engines[0].clone(), models),
        };
        let others = [bed.plain[1].clone(), bed.engines[1].clone()];
        for server in &others {
            server.vanish();
        }
        tokio::time::sleep(GONE_AFTER).await;
        let next = start_successor(&former, "next-1", models).await?;
        next.set_event_pause(EVENT_PAUSE);
        next.set_fault(BackendFault::RefusalCopies(case.copies));
        if case.model.is_none() {
            bed.plain.push(next.clone());
        } else {
            bed.engines.push(next.clone());
        }
        let request = CallerRequest {
            deadline_ms: 4000,
            ..case.request()
        };
        let (answer, ()) = tokio::join!(bed.ask(&request), async {
            tokio::time::sleep(ENTRY_DELAY).await;
            next.write_entry("ready");
            former.vanish();
        });
        let answer = answer?;
        tokio::time::sleep(SETTLE_TIME).await;
        found.extend(faults(&bed, case.name, &answer));
    }
    assert_that!(found, is_empty());
    Ok(())
}
