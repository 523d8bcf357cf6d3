use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use tokio_util::sync::CancellationToken;

use crate::host_state::HostState;

/// Time from the signal until the host accepts no more requests. The load balancer probes once a second and takes a
/// host out after two failures. A request that is accepted more than three seconds after the signal would have to be
/// answered before the process ends, however long it runs.
const STOP_ACCEPTING_DELAY: Duration = Duration::from_millis(2800);

/// Time before connections are closed in which every response announces the close, so that a busy connection ends
/// between two requests and not while the next one is being sent.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(1000);

/// Part of the grace period that is left when the process ends although requests are still in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the end of the process in which requests that are still unanswered are told that the host stops.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Interval at which the number of open connections is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts down gracefully within the grace period: reports "not ready" at once, then announces the close of connections
/// in responses, then stops accepting and closes connections after their responses, and last answers what is left.
///
/// Returns when all connections are closed, or shortly before the grace period ends.
pub(crate) async fn drain(
    state: &HostState,
    open: &Arc<AtomicUsize>,
    stop_accepting: &CancellationToken,
    close_gracefully: &CancellationToken,
) {
    state.stop.start();
    info!(state.logger, "stopping"; "connections" => open.load(Ordering::Acquire),
        "requests" => state.counters.active.get());
    let grace = state.startup.bounds.grace;
    let close_after = STOP_ACCEPTING_DELAY.min(grace / 2);
    tokio::time::sleep(close_after.saturating_sub(CLOSE_NOTICE_TIME)).await;
    state.stop.closing.cancel();
    tokio::time::sleep(CLOSE_NOTICE_TIME.min(close_after)).await;
    stop_accepting.cancel();
    state.stop.refusing.cancel();
    close_gracefully.cancel();
    let all_closed = async {
        while open.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let time_left = grace.saturating_sub(close_after + EXIT_MARGIN);
    let answer_time = time_left.saturating_sub(LAST_ANSWERS_TIME);
    let mut all_closed = std::pin::pin!(all_closed);
    let mut is_complete = tokio::time::timeout(answer_time, all_closed.as_mut())
        .await
        .is_ok();
    if !is_complete {
        state.stop.ending.cancel();
        let last_answers = tokio::time::timeout(time_left - answer_time, all_closed);
        is_complete = last_answers.await.is_ok();
    }
    info!(state.logger, "stopped"; "complete" => is_complete,
        "requests" => state.counters.active.get());
}
