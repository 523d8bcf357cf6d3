//! Backend servers that lose, truncate, mix up or reject responses: how often a request runs, and what the caller is
//! told.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::CallerRequest;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::model_request;

struct FaultCase {
    fault: BackendFault,
    /// Status of a non-repeatable request if all servers have the fault.
    non_repeatable: u16,
    /// Status of a repeatable request if one of two servers has the fault.
    repeatable: u16,
}

const CASES: [FaultCase; 8] = [
    FaultCase {
        fault: BackendFault::LoseAnswer,
        non_repeatable: 502,
        repeatable: 200,
    },
    FaultCase {
        fault: BackendFault::Shed,
        non_repeatable: 503,
        repeatable: 200,
    },
    FaultCase {
        fault: BackendFault::Error,
        non_repeatable: 500,
        repeatable: 200,
    },
    FaultCase {
        fault: BackendFault::Cross,
        non_repeatable: 502,
        repeatable: 200,
    },
    FaultCase {
        fault: BackendFault::CutBody,
        non_repeatable: 502,
        repeatable: 200,
    },
    FaultCase {
        fault: BackendFault::Garbage,
        non_repeatable: 502,
        repeatable: 200,
    },
    FaultCase {
        fault: BackendFault::Unsigned,
        non_repeatable: 502,
        repeatable: 200,
    },
    FaultCase {
        fault: BackendFault::Hang,
        non_repeatable: 504,
        repeatable: 200,
    },
];

/// Guards against a non-repeatable request that runs twice, and against a response that says "not run" although it ran.
#[tokio::test]
async fn non_repeatable_requests_run_at_most_once() -> Outcome {
    let bed = TestBed::start().await?;
    for case in CASES {
        for server in &bed.plain {
            server.set_fault(case.fault);
        }
        let id = format!("once-{:?}", case.fault);
        let request = CallerRequest {
            deadline_ms: 1500,
            ..CallerRequest::new(&id, "/book/x")
        };
        let answer = bed.ask(&request).await?;
        assert_that!(
            answer.status,
            some(eq(case.non_repeatable)),
            "{:?}",
            case.fault
        );
        let runs = bed.runs(&id);
        assert_that!(runs <= 1, eq(true), "{:?}: {runs} runs", case.fault);
        let is_truthful = !answer.promises_not_run() || runs == 0;
        assert_that!(
            is_truthful,
            eq(true),
            "{:?}: {answer:?} after {runs} runs",
            case.fault
        );
    }
    Ok(())
}

/// Guards against repeatable requests that fail although another server could answer.
#[tokio::test]
async fn repeatable_requests_are_answered_by_another_server() -> Outcome {
    let bed = TestBed::start().await?;
    for case in CASES {
        bed.plain[0].set_fault(case.fault);
        for round in 0..3 {
            let id = format!("again-{:?}-{round}", case.fault);
            let answer = bed.ask(&CallerRequest::new(&id, "/app/x")).await?;
            assert_that!(answer.status, some(eq(case.repeatable)), "{:?}", case.fault);
            let body = format!("answer to {id}");
            assert_that!(answer.body, some(eq(&body)), "{:?}", case.fault);
            // Waits until the faulty server is no longer avoided, so that the next round uses it again.
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    Ok(())
}

/// Guards against an unrequested second response that is mistaken for the response to the next request.
#[tokio::test]
async fn extra_responses_reach_no_caller() -> Outcome {
    let bed = TestBed::start().await?;
    for server in &bed.plain {
        server.set_fault(BackendFault::Extra);
    }
    for round in 0..20 {
        let id = format!("extra-{round}");
        let answer = bed.ask(&CallerRequest::new(&id, "/app/x")).await?;
        if answer.status == Some(200) {
            assert_that!(answer.body, some(eq(&format!("answer to {id}"))));
            assert_that!(answer.id, some(eq(&id)));
        }
    }
    Ok(())
}

/// Guards against requests that take longer than their route's time-out.
#[tokio::test]
async fn requests_end_by_the_timeout_of_their_route() -> Outcome {
    let bed = TestBed::start().await?;
    for server in &bed.plain {
        server.set_fault(BackendFault::Hang);
    }
    let started = std::time::Instant::now();
    let answer = bed.ask(&CallerRequest::new("late", "/quick/x")).await?;
    let elapsed = started.elapsed();
    assert_that!(answer.status, some(eq(504)));
    assert_that!(
        elapsed >= Duration::from_millis(550),
        eq(true),
        "{elapsed:?}"
    );
    assert_that!(
        elapsed < Duration::from_millis(900),
        eq(true),
        "{elapsed:?}"
    );
    Ok(())
}

fn full_stream() -> String {
    let events = (1..=6).map(|number| format!("id: {number}\ndata: event {number}\n\n"));
    events.collect()
}

/// Guards against streams with missing, repeated or incomplete events after their server broke off.
#[tokio::test]
async fn an_interrupted_stream_is_resumed_or_aborted() -> Outcome {
    let bed = TestBed::start().await?;
    let full = bed
        .ask(&model_request("whole", "/resume/stream/x", "m1"))
        .await?;
    assert_that!(full.body, some(eq(&full_stream())));

    bed.engines[0].set_fault(BackendFault::BreakStream);
    for round in 0..4 {
        let id = format!("resumed-{round}");
        let answer = bed
            .ask(&model_request(&id, "/resume/stream/x", "m1"))
            .await?;
        assert_that!(answer.status, some(eq(200)), "{id}");
        assert_that!(answer.body, some(eq(&full_stream())), "{id}");
        tokio::time::sleep(Duration::from_millis(1600)).await;
    }
    for engine in &bed.engines {
        engine.set_fault(BackendFault::BreakStream);
    }
    let aborted = bed
        .ask(&model_request("cut", "/llm/stream/x", "m1"))
        .await?;
    assert_that!(aborted.body, none());
    assert_that!(bed.runs("cut"), eq(1));
    Ok(())
}

/// Values of `Keep-Alive` that a server may state, and that no page bounds.
const KEEP_ALIVE_VALUES: [&str; 7] = [
    "timeout=9223372036854775807",
    "timeout=18446744073709551615",
    "timeout=18446744073709551616",
    "timeout=0",
    "timeout=-1",
    "timeout=",
    "max=5, timeout=1e9",
];

/// Guards against an answer that is lost because the server states a time that can't be computed with.
#[tokio::test]
async fn any_keep_alive_value_leaves_the_answer_whole() -> Outcome {
    let bed = TestBed::start().await?;
    for value in KEEP_ALIVE_VALUES {
        for server in &bed.plain {
            server.set_fault(BackendFault::KeepAlive(value));
        }
        for path in ["/book/x", "/app/x"] {
            let id = format!("{value}{path}").replace(['=', '/', ',', ' '], "-");
            let answer = bed.ask(&CallerRequest::new(&id, path)).await?;
            assert_that!(answer.status, some(eq(200)), "{id}");
            assert_that!(answer.body, some(eq(&format!("answer to {id}"))), "{id}");
            assert_that!(bed.runs(&id), eq(1), "{id}");
        }
    }
    Ok(())
}
