//! Backend servers that send endless data: each request ends by its deadline with a truthful result, and the host's
//! memory stays bounded.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::EndlessBytes;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::model_request;

/// Deadline of each request.
const DEADLINE_MS: u64 = 1500;

/// Time after its deadline by which a request must have ended.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Limit for the peak memory of a host process; small hosts have 112 MB.
const MAX_MEMORY_KB: u64 = 64 * 1024;

/// Number of requests that are sent at once.
const CONCURRENT_REQUESTS: usize = 6;

struct EndlessCase {
    name: &'static str,
    request: fn(&str) -> CallerRequest,
    /// Largest number of times that one request may run.
    max_runs: usize,
}

const CASES: [EndlessCase; 3] = [
    EndlessCase {
        name: "repeatable",
        request: |id| CallerRequest::new(id, "/app/x"),
        max_runs: 3,
    },
    EndlessCase {
        name: "once",
        request: |id| CallerRequest::new(id, "/book/x"),
        max_runs: 1,
    },
    EndlessCase {
        name: "stream",
        request: |id| model_request(id, "/llm/stream/x", "m1"),
        max_runs: 1,
    },
];

/// Guards against requests that never end, memory that grows, and endless responses that look complete.
#[tokio::test]
async fn endless_responses_hold_no_request_and_no_memory() -> Outcome {
    let bed = TestBed::start().await?;
    for bytes in EndlessBytes::ALL {
        for server in bed.plain.iter().chain(&bed.engines) {
            server.set_fault(BackendFault::Endless(bytes));
        }
        for case in &CASES {
            check(&bed, bytes, case).await?;
        }
    }
    let memory = bed.host.peak_memory_kb()?;
    assert_that!(memory <= MAX_MEMORY_KB, eq(true), "{memory} kB");
    Ok(())
}

/// Sends requests of one kind at once and checks how each of them ends.
async fn check(bed: &TestBed, bytes: EndlessBytes, case: &EndlessCase) -> Outcome {
    let started = Instant::now();
    let ids: Vec<String> = (0..CONCURRENT_REQUESTS)
        .map(|number| format!("{}-{bytes:?}-{number}", case.name))
        .collect();
    let answers = ids.iter().map(|id| {
        let request = CallerRequest {
            deadline_ms: DEADLINE_MS,
            ..(case.request)(id)
        };
        async move { bed.ask(&request).await }
    });
    let limit = Duration::from_millis(DEADLINE_MS) + MAX_LATENESS;
    let answers = tokio::time::timeout(limit, futures::future::join_all(answers)).await;
    let found = format!("{} with {bytes:?}: {:?}", case.name, started.elapsed());
    let answers = answers.map_err(|_| format!("{found}: not ended"))?;
    for (id, answer) in ids.iter().zip(answers) {
        // A connection that breaks off makes no statement about the run.
        let Ok(answer) = answer else { continue };
        let runs = bed.runs(id);
        assert_that!(runs <= case.max_runs, eq(true), "{found}: {runs} runs");
        let is_truthful = !answer.promises_not_run() || runs == 0;
        assert_that!(is_truthful, eq(true), "{found}: {answer:?}");
        // Only a response that fills its stated length is complete.
        let is_complete = answer.status == Some(200) && answer.body.is_some();
        let may_be_complete = bytes == EndlessBytes::Excess && case.name != "stream";
        assert_that!(
            !is_complete || may_be_complete,
            eq(true),
            "{found}: {answer:?}"
        );
    }
    Ok(())
}

/// Guards against a stream without complete events that stays open because single bytes keep arriving.
#[tokio::test]
async fn a_stream_without_complete_events_ends_by_its_deadline() -> Outcome {
    let bed = TestBed::start().await?;
    for engine in &bed.engines {
        engine.set_fault(BackendFault::DripBytes);
    }
    for (id, path) in [("once", "/llm/stream/x"), ("again", "/resume/stream/x")] {
        let started = Instant::now();
        let request = CallerRequest {
            deadline_ms: 4000,
            ..model_request(id, path, "m1")
        };
        let answer = bed.ask(&request).await;
        let elapsed = started.elapsed();
        let is_complete = answer.is_ok_and(|answer| answer.status == Some(200));
        assert_that!(is_complete, eq(false), "{id}");
        assert_that!(
            elapsed <= Duration::from_millis(4500),
            eq(true),
            "{id}: {elapsed:?}"
        );
    }
    Ok(())
}

/// Guards against a slow stream that is aborted although an event arrives each second.
#[tokio::test]
async fn a_slow_stream_is_relayed_to_its_end() -> Outcome {
    let bed = TestBed::start().await?;
    for engine in &bed.engines {
        engine.set_event_pause(Duration::from_secs(1));
    }
    for (id, path) in [("slow", "/llm/stream/x"), ("slow-2", "/resume/stream/x")] {
        let request = CallerRequest {
            deadline_ms: 7900,
            ..model_request(id, path, "m1")
        };
        let answer = bed.ask(&request).await?;
        assert_that!(answer.status, some(eq(200)), "{id}");
        assert_that!(answer.body.is_some(), eq(true), "{id}");
        assert_that!(bed.runs(id), eq(1), "{id}");
    }
    Ok(())
}
