//! Waits of requests that no backend server has accepted. A planned stop of the host ends them with a refusal, since
//! another host can take these requests.

use std::time::Duration;

use tokio::time::Instant;
use zinniahinge_serving::EvacuatedPlaces;

use crate::caller_response::Refusal;
use crate::caller_response::RefusalKind;
use crate::caller_response::Result;
use crate::host_state::HostState;
use crate::request_context::RequestContext;

/// Longest time that a request waits in a host that shuts down, from the signal or the request's arrival. A caller that
/// is sent away for less than this mostly loses time.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_millis(800);

/// Delay after which callers of a host that shuts down are told to retry; another host takes their requests.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Returns the refusal of a request by a host that shuts down.
pub(crate) fn stopping_refusal() -> Refusal {
    Refusal::not_run(RefusalKind::HostStopping).retry_after(SHUTDOWN_RETRY_AFTER)
}

/// Fails if the request has waited as long as it may in a host that shuts down.
pub(crate) fn check_stop(state: &HostState, context: &RequestContext) -> Result<()> {
    match latest_wait_end(state, context) {
        Some(latest) if Instant::now() >= latest => Err(stopping_refusal()),
        _ => Ok(()),
    }
}

/// Waits until `until`, when what the request needs should be there, at most until its deadline.
///
/// Fails as soon as the host shuts down if that is too late for it.
pub(crate) async fn wait_until(
    state: &HostState,
    context: &RequestContext,
    until: Instant,
) -> Result<()> {
    let until = until.min(context.deadline);
    let elapsed = tokio::time::sleep_until(until);
    let started = &state.stop.started;
    if started.run_until_cancelled(elapsed).await.is_some() {
        return Ok(());
    }
    match latest_wait_end(state, context) {
        Some(latest) if until > latest => Err(stopping_refusal()),
        _ => {
            tokio::time::sleep_until(until).await;
            Ok(())
        }
    }
}

/// Waits for one interval until the request asks again for something that comes at an unknown time.
///
/// Fails as soon as the host shuts down.
pub(crate) async fn wait_interval(state: &HostState, interval: Duration) -> Result<()> {
    let elapsed = tokio::time::sleep(interval);
    let waited = state.stop.started.run_until_cancelled(elapsed).await;
    waited.ok_or_else(stopping_refusal)
}

/// Waits as [`wait_until`] does. Returns true, early, once the evacuated places are others than `known`, which makes
/// earlier decisions outdated.
pub(crate) async fn wait_until_evacuation(
    state: &HostState,
    context: &RequestContext,
    until: Instant,
    known: &EvacuatedPlaces,
) -> Result<bool> {
    tokio::select! {
        biased;
        () = evacuation_change(state, known) => Ok(true),
        waited = wait_until(state, context, until) => waited.map(|()| false),
    }
}

/// Waits as [`wait_interval`] does, at most until the evacuated places are others than `known`.
pub(crate) async fn wait_interval_or_evacuation(
    state: &HostState,
    interval: Duration,
    known: &EvacuatedPlaces,
) -> Result<()> {
    tokio::select! {
        waited = wait_interval(state, interval) => waited,
        () = evacuation_change(state, known) => Ok(()),
    }
}

/// Completes when this host knows of other evacuated places than `known`; never where the platform evacuates nothing.
async fn evacuation_change(state: &HostState, known: &EvacuatedPlaces) {
    if state.startup.bounds.evacuation_deadline.is_none() {
        return std::future::pending().await;
    }
    let mut tables = state.table_version.subscribe();
    while *state.table.load().evacuated == *known {
        if tables.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Latest end of a request's wait in a host that shuts down; `None` before that.
fn latest_wait_end(state: &HostState, context: &RequestContext) -> Option<Instant> {
    let started_at = state.stop.started_at()?;
    Some(started_at.max(context.arrived) + MAX_SHUTDOWN_WAIT)
}
