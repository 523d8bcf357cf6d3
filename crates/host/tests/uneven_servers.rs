//! What servers of different speed get that state how long work takes on them.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use tokio::task::JoinSet;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::model_request;
use crate::common::wait_until;

const PARALLEL_TASKS: usize = 6;
const REQUESTS_PER_TASK: usize = 8;
const SINGLE_REQUESTS: usize = 20;

fn request(id: &str) -> CallerRequest {
    model_request(id, "/llm/stream/1", "m1")
}

/// Guards against a slow server that gets as many requests as a fast one when neither is busy.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fast_server_gets_more_requests() -> Outcome {
    let bed = TestBed::start().await?;
    assert_that!(
        acquires_lease(&bed.host, Duration::from_secs(5)).await,
        eq(true)
    );
    let (slow, fast) = (&bed.engines[0], &bed.engines[1]);
    slow.set_event_pause(Duration::from_millis(60));
    fast.set_event_pause(Duration::from_millis(10));
    for engine in [slow, fast] {
        engine.say_load("1,0,8,100");
    }
    let mut tasks = JoinSet::new();
    for task in 0..PARALLEL_TASKS {
        let address = bed.host.callers;
        tasks.spawn(async move {
            for number in 0..REQUESTS_PER_TASK {
                let request = request(&format!("p-{task}-{number}"));
                // Only the server's time matters here.
                let _ = Caller::once(address, &request).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let is_learned = wait_until(Duration::from_secs(5), || {
        let words = ["learned speed of a backend server changed", slow.id()];
        !bed.host.log_lines(&words).is_empty()
    });
    assert_that!(is_learned.await, eq(true));
    // The next report brings the factor to the host.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = (slow.requests().len(), fast.requests().len());
    for number in 0..SINGLE_REQUESTS {
        let answer = bed.ask(&request(&format!("s-{number}"))).await?;
        assert_that!(answer.status, some(eq(200)));
    }
    let slow_share = slow.requests().len() - before.0;
    let fast_share = fast.requests().len() - before.1;
    let found = format!("{slow_share} at the slow server, {fast_share} at the fast one");
    assert_that!(fast_share > slow_share, eq(true), "{found}");
    Ok(())
}
