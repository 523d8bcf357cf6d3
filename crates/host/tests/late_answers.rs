//! Responses that come twice, late or in part: no caller gets another request's response, a truncated response that
//! looks complete, or a false statement that the request did not run.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_platform_standins::AnswerFraming;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::CallerRequest;

use crate::common::Outcome;
use crate::common::TestBed;

/// Size in bytes above that of any response of these tests.
const MAX_RESPONSE_BYTES: usize = 160;

/// Time within which a connection becomes idle and the early part of a second copy arrives.
const IDLE_PAUSE: Duration = Duration::from_millis(25);

/// Guards against a second copy of a response that reaches the next request on the connection. The copy is split at
/// each byte: the first part comes early, the rest late.
#[tokio::test]
async fn a_late_copy_of_a_response_reaches_no_caller() -> Outcome {
    let bed = TestBed::start().await?;
    for early in 0..MAX_RESPONSE_BYTES {
        for server in &bed.plain {
            server.set_fault(BackendFault::LateCopy(early));
        }
        for round in 0..2 {
            for path in ["/app/x", "/book/x"] {
                let id = format!("copy-{early}-{round}{}", &path[..5]);
                let answer = bed.ask(&CallerRequest::new(&id, path)).await?;
                if answer.status == Some(200) {
                    assert_that!(answer.body, some(eq(&format!("answer to {id}"))));
                    assert_that!(answer.id, some(eq(&id)));
                }
                let runs = bed.runs(&id);
                let is_truthful = !answer.promises_not_run() || runs == 0;
                assert_that!(is_truthful, eq(true), "{id}: {answer:?} after {runs} runs");
                tokio::time::sleep(IDLE_PAUSE).await;
            }
        }
    }
    Ok(())
}

/// Guards against a second copy of a rejection that is mistaken for the response to the next send of the same request,
/// which does run.
#[tokio::test]
async fn a_duplicate_rejection_is_not_taken_for_the_next_response() -> Outcome {
    check_duplicate_rejections(BackendFault::LateRefusal).await
}

/// Guards against a second copy of a rejection that names no request and is mistaken for the response to the next request
/// on the connection, which does run.
#[tokio::test]
async fn a_duplicate_rejection_without_an_id_is_not_taken_for_the_next_response() -> Outcome {
    check_duplicate_rejections(BackendFault::LateBareRefusal).await
}

async fn check_duplicate_rejections(fault: BackendFault) -> Outcome {
    let bed = TestBed::start().await?;
    for server in &bed.plain {
        server.set_fault(fault);
    }
    for round in 0..20 {
        let id = format!("refused-{round}");
        let request = CallerRequest {
            deadline_ms: 1000,
            ..CallerRequest::new(&id, "/book/x")
        };
        let answer = bed.ask(&request).await?;
        let runs = bed.runs(&id);
        let is_truthful = !answer.promises_not_run() || runs == 0;
        assert_that!(is_truthful, eq(true), "{id}: {answer:?} after {runs} runs");
        assert_that!(runs <= 1, eq(true), "{id}: {runs} runs");
    }
    Ok(())
}

/// Guards against a second copy of a rejection that is mistaken for the response to the same request, which its caller
/// sends again after the first one.
#[tokio::test]
async fn a_duplicate_rejection_is_not_taken_for_the_response_to_a_repeated_request() -> Outcome {
    struct RepeatCase {
        fault: BackendFault,
        path: &'static str,
        asks: usize,
    }
    let cases = [
        RepeatCase {
            fault: BackendFault::LateRefusal,
            path: "/book/x",
            asks: 2,
        },
        RepeatCase {
            fault: BackendFault::LateRefusal,
            path: "/book/x",
            asks: 6,
        },
        RepeatCase {
            fault: BackendFault::LateRefusal,
            path: "/app/x",
            asks: 6,
        },
        RepeatCase {
            fault: BackendFault::LateBareRefusal,
            path: "/book/x",
            asks: 6,
        },
    ];
    let mut failures = Vec::new();
    for (index, case) in cases.iter().enumerate() {
        let bed = TestBed::start().await?;
        for server in &bed.plain {
            server.set_fault(case.fault);
        }
        for round in 0..10 {
            let id = format!("repeat-{index}-{round}");
            let request = CallerRequest {
                deadline_ms: 1000,
                ..CallerRequest::new(&id, case.path)
            };
            for ask in 0..case.asks {
                let answer = bed.ask(&request).await?;
                let runs = bed.runs(&id);
                if answer.promises_not_run() && runs > 0 {
                    failures.push(format!("{id}, ask {ask}: refused after {runs} runs"));
                }
                if !answer.promises_not_run() {
                    break;
                }
            }
            let runs = bed.runs(&id);
            if case.path == "/book/x" && runs > 1 {
                failures.push(format!("{id}: {runs} runs"));
            }
        }
    }
    assert_that!(failures, is_empty());
    Ok(())
}

/// Guards against a server that gets no requests because a second copy of a rejection, which asked for a pause, is taken for a
/// new wish for one.
#[tokio::test]
async fn a_duplicate_rejection_does_not_pause_its_server_again() -> Outcome {
    let bed = TestBed::start().await?;
    for server in &bed.plain {
        server.set_fault(BackendFault::LatePause("0.5"));
    }
    let request = |id: &str| CallerRequest {
        deadline_ms: 400,
        ..CallerRequest::new(id, "/book/x")
    };
    let refused = bed.ask(&request("refused")).await?;
    assert_that!(refused.status, some(eq(503)));
    for server in &bed.plain {
        server.set_fault(BackendFault::None);
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    // Each server's connection brings its second copy with one of these.
    for id in ["copy-1", "copy-2"] {
        bed.ask(&request(id)).await?;
    }
    let answer = bed.ask(&request("served")).await?;
    assert_that!(answer.status, some(eq(200)), "{answer:?}");
    Ok(())
}

/// Guards against a request that is given up, and that its server ran, because a second copy of an earlier response came
/// first.
#[tokio::test]
async fn a_duplicate_response_costs_no_other_request() -> Outcome {
    for fault in [
        BackendFault::LateRefusal,
        BackendFault::LatePause("0.1"),
        BackendFault::LateCopy(0),
    ] {
        let bed = TestBed::start().await?;
        for round in 0..10 {
            for server in &bed.plain {
                server.set_fault(fault);
            }
            let first = CallerRequest {
                deadline_ms: 600,
                ..CallerRequest::new(&format!("first-{round}"), "/book/x")
            };
            bed.ask(&first).await?;
            for server in &bed.plain {
                server.set_fault(BackendFault::None);
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
            for ask in 0..3 {
                let id = format!("next-{round}-{ask}");
                let answer = bed.ask(&CallerRequest::new(&id, "/book/x")).await?;
                assert_that!(answer.status, some(eq(200)), "{fault:?}, {id}: {answer:?}");
                assert_that!(answer.body, some(eq(&format!("answer to {id}"))));
                assert_that!(bed.runs(&id), eq(1), "{fault:?}, {id}");
            }
        }
    }
    Ok(())
}

/// Guards against a response that breaks off at any byte and reaches the caller as a complete one.
#[tokio::test]
async fn a_response_truncated_at_any_byte_never_looks_complete() -> Outcome {
    let bed = TestBed::start().await?;
    for framing in [AnswerFraming::Length, AnswerFraming::Chunks] {
        for bytes in 0..MAX_RESPONSE_BYTES {
            for server in &bed.plain {
                server.set_fault(BackendFault::CutAt(bytes, framing));
            }
            let id = format!("cut-{framing:?}-{bytes}");
            let answer = bed.ask(&CallerRequest::new(&id, "/book/x")).await?;
            if answer.status == Some(200) {
                let body = format!("answer to {id}");
                assert_that!(answer.body, some(eq(&body)), "{id}");
            } else {
                assert_that!(answer.promises_not_run(), eq(false), "{id}: {answer:?}");
            }
        }
    }
    Ok(())
}

/// Guards against a running stream that ends because its server's entry in the store vanished or its host's reports
/// stopped.
#[tokio::test]
async fn a_running_stream_continues_when_its_server_is_not_listed() -> Outcome {
    let bed = TestBed::start().await?;
    for engine in &bed.engines {
        engine.set_event_pause(Duration::from_millis(500));
    }
    let request = crate::common::model_request("silent", "/resume/stream/x", "m1");
    let (answer, ()) = tokio::join!(bed.ask(&request), async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        for engine in &bed.engines {
            engine.vanish();
        }
    });
    let answer = answer?;
    assert_that!(answer.status, some(eq(200)));
    assert_that!(answer.body.is_some(), eq(true));
    assert_that!(bed.runs("silent"), eq(1));
    Ok(())
}
