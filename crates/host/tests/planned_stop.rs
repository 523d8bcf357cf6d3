//! A host that is stopped while requests wait in it, at each place where they can.

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::RouteText;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::all_config;

/// Deadline of the requests, far beyond the grace period.
const LONG_MS: u64 = 17_000;

/// Time from SIGTERM to SIGKILL, from the platform's settings.
const GRACE: Duration = Duration::from_secs(8);

/// Longest time from SIGTERM, or from the request, to the answer to a request that another host can take.
const REFUSAL_LIMIT: Duration = Duration::from_millis(1500);

/// When a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendTime {
    /// Before SIGTERM.
    Before,
    /// On a connection that was opened before SIGTERM, from one second after it on.
    After,
    /// On a new connection, the head 2.4 s after SIGTERM and the end of the body 0.8 s later, when the host takes no more
    /// requests.
    SlowBody,
}

struct StopCase {
    name: &'static str,
    prepare: fn(&TestBed),
    path: &'static str,
    model: Option<&'static str>,
    requests: usize,
    sent: SendTime,
    /// True if the request is at a backend server when the host ends, so that it can be answered only then.
    is_passed_on: bool,
}

const CASES: [StopCase; 9] = [
    StopCase {
        name: "retry-budget",
        prepare: |bed| set_plain_fault(bed, BackendFault::Shed),
        path: "/long/x",
        model: None,
        requests: 80,
        sent: SendTime::Before,
        is_passed_on: false,
    },
    StopCase {
        name: "retry-budget-kept-connection",
        prepare: |bed| set_plain_fault(bed, BackendFault::Shed),
        path: "/long/x",
        model: None,
        requests: 80,
        sent: SendTime::After,
        is_passed_on: false,
    },
    StopCase {
        name: "retry-budget-booking",
        prepare: |bed| set_plain_fault(bed, BackendFault::Shed),
        path: "/longbook/x",
        model: None,
        requests: 80,
        sent: SendTime::Before,
        is_passed_on: false,
    },
    StopCase {
        name: "loading-model",
        prepare: set_long_loads,
        path: "/patient/stream/x",
        model: Some("m3"),
        requests: 8,
        sent: SendTime::Before,
        is_passed_on: false,
    },
    StopCase {
        name: "adapter-of-loading-model",
        prepare: set_long_loads,
        path: "/patient/stream/x",
        model: Some("m3/a1"),
        requests: 8,
        sent: SendTime::Before,
        is_passed_on: false,
    },
    StopCase {
        name: "adapter-of-loading-model-kept-connection",
        prepare: set_long_loads,
        path: "/patient/stream/x",
        model: Some("m3/a1"),
        requests: 8,
        sent: SendTime::After,
        is_passed_on: false,
    },
    StopCase {
        name: "paused-servers",
        prepare: |bed| set_plain_fault(bed, BackendFault::Pause("6")),
        path: "/long/x",
        model: None,
        requests: 8,
        sent: SendTime::Before,
        is_passed_on: false,
    },
    StopCase {
        name: "slow-body",
        prepare: |bed| set_plain_fault(bed, BackendFault::Hang),
        path: "/longbook/x",
        model: None,
        requests: 8,
        sent: SendTime::SlowBody,
        is_passed_on: false,
    },
    StopCase {
        name: "at-server",
        prepare: |bed| set_plain_fault(bed, BackendFault::Hang),
        path: "/longbook/x",
        model: None,
        requests: 8,
        sent: SendTime::Before,
        is_passed_on: true,
    },
];

fn set_plain_fault(bed: &TestBed, fault: BackendFault) {
    for server in &bed.plain {
        server.set_fault(fault);
    }
}

fn set_long_loads(bed: &TestBed) {
    for engine in &bed.engines {
        engine.set_load_time(Duration::from_secs(6));
    }
}

fn config() -> ConfigText {
    let mut config = all_config();
    config.load_time_s = 12.0;
    config.routes.extend([
        RouteText {
            prefix: "/long/",
            timeout_ms: LONG_MS,
            ..RouteText::default()
        },
        RouteText {
            prefix: "/longbook/",
            kind: "non_idempotent",
            attempts: 1,
            timeout_ms: LONG_MS,
            ..RouteText::default()
        },
    ]);
    config
}

/// Sends one request on an open connection; returns the answer and when it came, after `stopped`, and how long that took
/// since the request was complete.
async fn ask(
    callers: SocketAddr,
    request: CallerRequest,
    sent: SendTime,
    stopped: tokio::sync::watch::Receiver<Option<Instant>>,
    delay: Duration,
) -> std::io::Result<(CallerAnswer, Duration)> {
    let mut stopped = stopped;
    let bytes = request.to_bytes();
    let mut caller = Caller::connect(callers).await?;
    let after = match sent {
        SendTime::Before => Duration::ZERO,
        SendTime::After => Duration::from_secs(1) + delay,
        SendTime::SlowBody => Duration::from_millis(2400),
    };
    if sent != SendTime::Before {
        // The sender lives as long as the test.
        let _ = stopped.wait_for(Option::is_some).await;
        tokio::time::sleep(after).await;
    }
    if sent == SendTime::SlowBody {
        caller = Caller::connect(callers).await?;
    }
    let (start, end) = bytes.split_at(bytes.len() - 1);
    caller.send_bytes(start).await?;
    if sent == SendTime::SlowBody {
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    caller.send_bytes(end).await?;
    let complete = Instant::now();
    let answer = caller.read_answer().await?;
    let stopped = stopped.borrow().unwrap_or(complete);
    Ok((answer, stopped.max(complete).elapsed()))
}

/// Plays one case; returns what is wrong.
async fn play(case: &StopCase) -> Outcome<Vec<String>> {
    let mut bed = TestBed::with_config(&config()).await?;
    let acquired = common::acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    (case.prepare)(&bed);
    let (stop, stopped) = tokio::sync::watch::channel(None);
    let mut asked = Vec::new();
    for number in 0..case.requests {
        let id = format!("{}-{number}", case.name);
        let request = CallerRequest {
            model: case.model,
            deadline_ms: LONG_MS,
            ..CallerRequest::new(&id, case.path)
        };
        let callers = bed.host.callers;
        let delay = Duration::from_millis(number as u64 * 10);
        let task = tokio::spawn(ask(callers, request, case.sent, stopped.clone(), delay));
        asked.push((id, task));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    bed.host.signal(Signal::SIGTERM)?;
    stop.send_replace(Some(Instant::now()));
    let code = bed.host.wait_end(GRACE).await;
    let mut failures = Vec::new();
    if !matches!(code, Ok(Some(0))) {
        failures.push(format!("{}: the host ended with {code:?}", case.name));
    }
    for (id, task) in asked {
        let (answer, took) = task.await??;
        let runs = bed.runs(&id);
        let is_late = !case.is_passed_on && took > REFUSAL_LIMIT;
        let is_false = answer.promises_not_run() && runs > 0;
        let must_promise = !case.is_passed_on && runs == 0;
        let is_vague = must_promise && !(answer.promises_not_run() && answer.retry_after.is_some());
        if answer.status.is_none() || is_late || is_false || is_vague {
            let (status, retry_after) = (answer.status, answer.retry_after);
            failures.push(format!(
                "{id}: {status:?}, Retry-After {retry_after:?}, after {took:.1?}, {runs} runs"
            ));
        }
    }
    Ok(failures)
}

/// Guards against requests that a stopped host drops without an answer, or holds although another host could take them.
#[tokio::test]
async fn a_stopped_host_answers_requests_wherever_they_wait() -> Outcome {
    let played = futures::future::join_all(CASES.iter().map(play)).await;
    let mut failures = Vec::new();
    for case_failures in played {
        failures.extend(case_failures?);
    }
    assert_that!(failures, is_empty());
    Ok(())
}
