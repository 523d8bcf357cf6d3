//! Makes sure that a backend server no longer works on a request before the request goes on at another one.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::RunEvidence;
use zinniahinge_serving::RunLookup;
use zinniahinge_types::MonotonicTime;

use crate::host_state::HostState;
use crate::request_context::RequestContext;

/// Interval at which a server is asked whether it has dropped a request whose connection ended. Servers report the state
/// of some hundred milliseconds ago.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the request may go on at another server than `target`, whose connection ended. False if `target` still
/// works on it when callers give a stream up.
pub(crate) async fn wait_for_run_end(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
    sent_at: Option<MonotonicTime>,
) -> bool {
    let gap = context.rule.first_event_timeout().unwrap_or_default();
    let until = (Instant::now() + gap).min(context.deadline);
    loop {
        if is_run_over(state, context, target, sent_at, true).await {
            return true;
        }
        let next = Instant::now() + CHECK_INTERVAL;
        if next >= until {
            return false;
        }
        tokio::time::sleep_until(next).await;
    }
}

/// Asks `target` whether it still works on the request; true if the request may go on at another server.
///
/// Only servers that hold models say what they work on. `sent_at` is when the request was sent to it.
pub(crate) async fn is_run_over(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
    sent_at: Option<MonotonicTime>,
    is_connection_lost: bool,
) -> bool {
    if context.facts.model.is_none() {
        return is_connection_lost;
    }
    let (attempt, entry) = (&context.facts.attempt_id, &target.entry);
    let asked_at = state.now();
    let lookup = state.engines.look_up_runs(entry.address, &entry.id).await;
    let evidence = match &lookup {
        RunLookup::Report(runs) => runs.evidence(attempt, entry.born_ms),
        RunLookup::OtherServer | RunLookup::NoConnection(_) => RunEvidence::Over,
        RunLookup::NoAnswer(_) => RunEvidence::Unknown,
    };
    let is_over = evidence.allows_another_server(is_connection_lost);
    state
        .counters
        .run_lookups
        .with_label_values(&[evidence.name(), if is_over { "yes" } else { "no" }])
        .inc();
    let report = lookup.report();
    info!(state.logger, "run looked up at backend server"; "id" => &**attempt, "backend" => &*entry.id,
        "evidence" => evidence.name(), "failure" => lookup.failure(),
        "sent_ago_ms" => sent_at.map(|sent_at| asked_at.since(sent_at).as_millis() as u64),
        "took_ms" => state.now().since(asked_at).as_millis() as u64,
        "running" => report.and_then(|runs| runs.running), "waiting" => report.and_then(|runs| runs.waiting),
        "listed" => report.and_then(|runs| runs.attempts.as_ref().map(|attempts| attempts.len())),
        "connection_lost" => is_connection_lost, "may_go_on" => is_over);
    is_over
}
