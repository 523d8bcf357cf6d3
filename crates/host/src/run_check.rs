//! Makes sure that a backend server no longer works on a request before the request goes on at another one.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::SentRun;
use zinniahinge_types::MonotonicTime;

use crate::host_process::BACKEND_POOL;
use crate::host_state::HostState;
use crate::request_context::RequestContext;

/// First interval at which a server is asked whether it has dropped a request whose connection ended; each further one is
/// twice as long, up to the longest.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which a silent server is asked whether it still works on a request.
pub(crate) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Waits until `target`, which is silent until `check_at`, no longer works on the request, whose send begins now. Never
/// ends while the retry budget is empty.
///
/// The connection stays open meanwhile: closing it would not surely take the request out of the server's queue.
pub(crate) async fn wait_for_silent_run_end(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
    mut check_at: Instant,
) {
    let arrived_by = state.now() + BACKEND_POOL.connect_timeout;
    let retries = state.retries.for_service(&context.service);
    loop {
        tokio::time::sleep_until(check_at).await;
        if retries.balance() > 0 && is_run_over(state, context, target, arrived_by).await {
            return;
        }
        check_at = Instant::now() + SILENCE_CHECK_INTERVAL;
    }
}

/// Waits until the request may go on at another server than `target`, whose connection ended. False if `target` may still
/// work on it when callers give a stream up. Plain servers don't say what they work on; their requests may run at two.
pub(crate) async fn wait_for_run_end(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
    arrived_by: MonotonicTime,
) -> bool {
    if context.facts.model.is_none() {
        return true;
    }
    let gap = context.rule.first_event_timeout();
    let until = gap.map_or(context.deadline, |gap| {
        context.deadline.min(Instant::now() + gap)
    });
    let mut interval = FIRST_CHECK_INTERVAL;
    loop {
        if is_run_over(state, context, target, arrived_by).await {
            return true;
        }
        let next = Instant::now() + interval;
        interval = (interval * 2).min(MAX_CHECK_INTERVAL);
        if next >= until {
            return false;
        }
        tokio::time::sleep_until(next).await;
    }
}

/// Asks `target` whether it still works on the request, which had arrived there at `arrived_by` if at all; true if the
/// request may go on at another server.
///
/// Only servers that hold models say what they work on.
pub(crate) async fn is_run_over(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
    arrived_by: MonotonicTime,
) -> bool {
    if context.facts.model.is_none() {
        return false;
    }
    let entry = &target.entry;
    let run = SentRun {
        attempt: context.facts.attempt_id.clone(),
        born_ms: entry.born_ms,
        arrived_by,
    };
    let asked_at = state.now();
    let lookup = state.engines.look_up_runs(entry.address, &entry.id).await;
    let table = state.table.load();
    let is_listed = table.backend(&context.service, &entry.id).is_some();
    let evidence = run.evidence(&lookup, asked_at, is_listed);
    let is_over = evidence.proves_end();
    state
        .counters
        .run_lookups
        .with_label_values(&[evidence.name(), if is_over { "yes" } else { "no" }])
        .inc();
    let report = lookup.report();
    info!(state.logger, "run looked up at backend server"; "id" => &*run.attempt, "backend" => &*entry.id,
        "evidence" => evidence.name(), "failure" => lookup.failure(),
        "arrived_ago_ms" => asked_at.since(arrived_by).as_millis() as u64,
        "took_ms" => state.now().since(asked_at).as_millis() as u64,
        "running" => report.and_then(|runs| runs.running), "waiting" => report.and_then(|runs| runs.waiting),
        "listed" => report.and_then(|runs| runs.attempts.as_ref().map(|attempts| attempts.len())),
        "platform_lists_it" => is_listed, "may_go_on" => is_over);
    is_over
}
