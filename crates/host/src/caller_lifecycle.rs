use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use tokio_util::sync::CancellationToken;

use crate::host_state::HostState;

/// Time from the signal until no more requests are taken. The balancer asks once a second and needs two misses. What is
/// taken later than three seconds after the signal must be answered before the process ends, however long it runs.
const CLOSE_AFTER: Duration = Duration::from_millis(2800);

/// Before connections are closed, answers say for this long that theirs ends. A busy connection then ends between two
/// requests, instead of with one on the way.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1000);

/// Left of the grace period when the process ends although requests are still under way.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Pause between two looks at the open connections.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Planned stop: not ready at once, then no more requests are taken and connections are closed after their answers, then
/// the process ends.
pub(crate) async fn drain(
    state: &HostState,
    open: &Arc<AtomicUsize>,
    stop_accepting: &CancellationToken,
    close_gracefully: &CancellationToken,
) {
    state.stopping.cancel();
    info!(state.logger, "stopping"; "connections" => open.load(Ordering::Acquire),
        "requests" => state.counters.active.get());
    let grace = state.boot.bounds.grace;
    let close_after = CLOSE_AFTER.min(grace / 2);
    tokio::time::sleep(close_after.saturating_sub(ANNOUNCE_TIME)).await;
    state.closing.cancel();
    tokio::time::sleep(ANNOUNCE_TIME.min(close_after)).await;
    stop_accepting.cancel();
    close_gracefully.cancel();
    let idle = async {
        while open.load(Ordering::Acquire) > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    let rest = grace.saturating_sub(close_after + EXIT_MARGIN);
    let is_complete = tokio::time::timeout(rest, idle).await.is_ok();
    info!(state.logger, "stopped"; "complete" => is_complete,
        "requests" => state.counters.active.get());
}
