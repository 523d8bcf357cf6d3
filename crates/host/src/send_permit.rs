//! Permits to send a request to a backend server. A server that limits the requests of all hosts together gets each one in
//! a slot that the coordinator grants, or in this host's own share while no coordinator answers.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::MAX_SLOT_WAIT;
use zinniahinge_serving::SendBar;
use zinniahinge_serving::SlotDecision;
use zinniahinge_types::BackendRun;
use zinniahinge_types::LimitNotice;
use zinniahinge_types::SlotReply;
use zinniahinge_types::SlotRequest;

use crate::caller_response::Refusal;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::request_wait::wait_until;
use crate::send_history::SendHistory;
use crate::target_choice::FIRST_RESPONSE_MARGIN;

/// Longest time that a request waits for a slot while another server could run it.
pub(crate) const SHORT_SLOT_WAIT: Duration = Duration::from_millis(100);

/// Longest time for which this host's own share bars a server. A coordinator has usually answered again by then.
const MAX_SHARE_BAR: Duration = Duration::from_secs(3);

/// Allows one send to a backend server.
#[derive(Debug)]
pub(crate) struct SendPermit {
    /// True if the request waited for it, so that earlier checks may be outdated.
    pub(crate) has_waited: bool,
}

/// Why a request may not be sent to a backend server.
#[derive(Debug)]
pub(crate) enum PermitError {
    /// Nothing may be sent to this server now.
    Barred(SendBar),
    /// The request may not wait any longer.
    Ended(Refusal),
}

/// Who decided on a slot.
#[derive(Clone, Copy, Debug)]
enum SlotSource {
    Coordinator,
    OwnShare,
}

impl SlotSource {
    /// Name in log lines and metric labels.
    fn name(self) -> &'static str {
        match self {
            Self::Coordinator => "coordinator",
            Self::OwnShare => "own-share",
        }
    }
}

/// Longest time that the request can wait for a slot at the only server that can run it, so that callers don't give up before
/// the first event, or the next one of a stream that broke off.
pub(crate) fn longest_slot_wait(context: &RequestContext, history: &SendHistory) -> Duration {
    let gap = context.rule.first_event_timeout();
    let deadline = match (history.broken_at, gap) {
        (Some(broken_at), Some(gap)) => context.deadline.min(broken_at + gap),
        _ => context.first_response_deadline(),
    };
    let time_left = deadline.saturating_duration_since(Instant::now());
    time_left
        .saturating_sub(FIRST_RESPONSE_MARGIN)
        .min(MAX_SLOT_WAIT)
}

/// Waits until the request may be sent to `target`, for the time that `history` allows.
pub(crate) async fn acquire_permit(
    state: &HostState,
    context: &RequestContext,
    history: &SendHistory,
    target: &BackendCandidate,
) -> Result<SendPermit, PermitError> {
    match state.bar(target) {
        None | Some(SendBar::Limited { .. }) => {}
        Some(bar) => return Err(PermitError::Barred(bar)),
    }
    let mut has_waited = false;
    loop {
        let Some(limit_per_s) = target.load.limit_per_s() else {
            return Ok(SendPermit { has_waited });
        };
        let waited = wait_for_slot(state, context, history, target, limit_per_s).await?;
        has_waited |= waited;
        // A slot under a higher limit is too early under a lower one.
        let now_per_s = target.load.limit_per_s();
        if !waited || now_per_s.is_none_or(|now_per_s| now_per_s >= limit_per_s) {
            return Ok(SendPermit { has_waited });
        }
    }
}

/// Reserves a slot under the limit `limit_per_s` and waits for it; returns true if it waited.
async fn wait_for_slot(
    state: &HostState,
    context: &RequestContext,
    history: &SendHistory,
    target: &BackendCandidate,
    limit_per_s: f64,
) -> Result<bool, PermitError> {
    let max_wait = history.slot_wait.min(longest_slot_wait(context, history));
    let (decision, source) = reserve_slot(state, target, limit_per_s, max_wait).await;
    let now = state.now();
    let (id, backend) = (&*context.facts.attempt_id, &*target.entry.id);
    let (outcome, next_in, wait) = match decision {
        SlotDecision::Granted { wait, next_in } => ("granted", next_in, Some(wait)),
        SlotDecision::Refused { again_in } => ("refused", again_in, None),
    };
    let next_in = match source {
        SlotSource::Coordinator => next_in,
        SlotSource::OwnShare => next_in.min(MAX_SHARE_BAR),
    };
    let counter = &state.counters.slots;
    counter.with_label_values(&[source.name(), outcome]).inc();
    let until = now + next_in;
    target.load.bar_until_slot(until);
    let Some(wait) = wait else {
        info!(state.logger, "limited backend server has no slot in time"; "id" => id, "backend" => backend,
            "limit_per_s" => limit_per_s, "source" => source.name(),
            "max_wait_ms" => max_wait.as_millis() as u64, "again_ms" => next_in.as_millis() as u64);
        return Err(PermitError::Barred(SendBar::Limited { until }));
    };
    if wait.is_zero() {
        return Ok(false);
    }
    info!(state.logger, "request waits for a slot at a limited backend server"; "id" => id, "backend" => backend,
        "limit_per_s" => limit_per_s, "source" => source.name(), "wait_ms" => wait.as_millis() as u64);
    let waited = wait_until(state, context, Instant::now() + wait).await;
    waited.map_err(PermitError::Ended)?;
    match bar_after_wait(state, context, target) {
        None => Ok(true),
        Some(bar) => Err(PermitError::Barred(bar)),
    }
}

/// Why the server may not be sent to any more after a wait for a slot.
fn bar_after_wait(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
) -> Option<SendBar> {
    let table = state.table.load();
    let slot = table.backend(&context.service, &target.entry.id);
    let slot = slot.filter(|slot| slot.entry.born_ms == target.entry.born_ms);
    match slot.map(|slot| slot.bar(state.now())) {
        Some(None | Some(SendBar::Limited { .. })) => None,
        Some(Some(bar)) => Some(bar),
        // The store lists this run no more.
        None => Some(SendBar::Draining),
    }
}

/// Reserves a slot at the coordinator; in this host's own share if no coordinator answers.
async fn reserve_slot(
    state: &HostState,
    target: &BackendCandidate,
    limit_per_s: f64,
    max_wait: Duration,
) -> (SlotDecision, SlotSource) {
    let run = BackendRun {
        backend: target.entry.id.clone(),
        born_ms: target.entry.born_ms,
    };
    let reply = reserve_at_coordinator(state, target, &run, max_wait).await;
    let decision = match reply {
        Some(SlotReply::Granted { wait, next_in }) => SlotDecision::Granted { wait, next_in },
        Some(SlotReply::Refused { again_in }) => SlotDecision::Refused { again_in },
        Some(SlotReply::NotHolder) | None => {
            let hosts = state.meter().hosts();
            let phase = rand::random();
            let now = state.now();
            let mut shares = state.limit_shares();
            let decision = shares.reserve(&run, (limit_per_s, hosts), max_wait, phase, now);
            return (decision, SlotSource::OwnShare);
        }
    };
    (decision, SlotSource::Coordinator)
}

/// Asks the coordinator for a slot; `None` if none is known or it did not answer.
async fn reserve_at_coordinator(
    state: &HostState,
    target: &BackendCandidate,
    run: &BackendRun,
    max_wait: Duration,
) -> Option<SlotReply> {
    let now = state.now();
    if !state.limit_shares().may_ask(now) || state.misses_coordinator() {
        return None;
    }
    let holder = state.table.load().holder.clone()?;
    let statement = target.load.limit_statement()?;
    let request = SlotRequest {
        host: state.startup.host.clone(),
        notice: LimitNotice {
            run: run.clone(),
            limit_per_s: statement.limit_per_s,
            age: now.since(statement.at),
        },
        max_wait,
    };
    match state.link.slot(&holder, &request, state).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            state.limit_shares().record_silence(state.now());
            info!(state.logger, "coordinator did not answer a request for a slot"; "backend" => &*run.backend,
                "host" => &*holder.host, "error" => %error);
            None
        }
    }
}
