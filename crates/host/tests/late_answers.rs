//! Answers that come twice, late or in part: nobody gets another's answer, half an answer, or an untrue refusal.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_platform_standins::AnswerFraming;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::CallerRequest;

use crate::common::Outcome;
use crate::common::TestBed;

/// Longer than any answer of these tests.
const ANSWER_BYTES: usize = 160;

/// Pause in which a connection becomes idle and the early part of a copy arrives.
const IDLE_PAUSE: Duration = Duration::from_millis(25);

/// Guards against a second copy of an answer that reaches the next request on the connection, split at every byte.
#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_nobody() -> Outcome {
    let bed = TestBed::start().await?;
    for early in 0..ANSWER_BYTES {
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
                let is_true = !answer.promises_not_run() || runs == 0;
                assert_that!(is_true, eq(true), "{id}: {answer:?} after {runs} runs");
                tokio::time::sleep(IDLE_PAUSE).await;
            }
        }
    }
    Ok(())
}

/// Guards against a refusal that comes twice and is taken for the answer to the same request's next send, which runs.
#[tokio::test]
async fn a_refusal_that_comes_twice_is_not_taken_for_the_next_sends() -> Outcome {
    let bed = TestBed::start().await?;
    for server in &bed.plain {
        server.set_fault(BackendFault::LateRefusal);
    }
    for round in 0..20 {
        let id = format!("refused-{round}");
        let request = CallerRequest {
            deadline_ms: 1000,
            ..CallerRequest::new(&id, "/book/x")
        };
        let answer = bed.ask(&request).await?;
        let runs = bed.runs(&id);
        let is_true = !answer.promises_not_run() || runs == 0;
        assert_that!(is_true, eq(true), "{id}: {answer:?} after {runs} runs");
        assert_that!(runs <= 1, eq(true), "{id}: {runs} runs");
    }
    Ok(())
}

/// Guards against an answer that breaks off, at whatever byte, and reaches the caller as a complete one.
#[tokio::test]
async fn an_answer_cut_at_any_byte_never_looks_whole() -> Outcome {
    let bed = TestBed::start().await?;
    for framing in [AnswerFraming::Length, AnswerFraming::Chunks] {
        for bytes in 0..ANSWER_BYTES {
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

/// Guards against a running stream that ends because its server's entry vanished or its host's reports stopped.
#[tokio::test]
async fn a_running_stream_goes_on_when_its_server_is_silent_for_a_while() -> Outcome {
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
