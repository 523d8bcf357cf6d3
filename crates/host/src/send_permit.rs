//! Permits to send a request to a backend server. A server that gets only so many requests a second of all hosts together,
//! because it limits them, is cold or has a pace, gets each one in a slot that the coordinator grants, or in this host's own share while no coordinator answers.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::LimitStatement;
use zinniahinge_serving::MAX_SLOT_WAIT;
use zinniahinge_serving::RateReason;
use zinniahinge_serving::SendBar;
use zinniahinge_serving::SendRate;
use zinniahinge_types::BackendRun;
use zinniahinge_types::LimitNotice;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;
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
    /// Backend server that the request may be sent to.
    pub(crate) target: BackendCandidate,
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
    let mut has_waited = false;
    let mut bar = if history.is_only_target {
        // A stream may return long after the server was chosen.
        bar_after_slot(state, context, target)
    } else {
        state.bar(target)
    };
    // Requests a second under which the request has a slot.
    let mut slot_per_s: Option<f64> = None;
    let mut exceeds_pace = false;
    loop {
        // The request has a slot, or asks for one: a bar for want of slots is for other requests.
        match bar {
            None | Some(SendBar::Limited { .. }) => {}
            Some(bar) => return Err(PermitError::Barred(bar)),
        }
        let now = state.now();
        let rate = if exceeds_pace {
            target.load.bound_rate(now)
        } else {
            target.load.send_rate(now)
        };
        // A slot under a higher rate is too early under a lower one.
        let is_covered = |per_s| slot_per_s.is_some_and(|slot_per_s| slot_per_s <= per_s);
        let Some(rate) = rate.filter(|rate| !is_covered(rate.per_s)) else {
            return Ok(SendPermit {
                target: target.clone(),
                has_waited,
            });
        };
        match wait_for_slot(state, context, history, target, rate).await? {
            SlotWait::Exceeded => exceeds_pace = true,
            SlotWait::Reserved { has_waited: waited } => {
                has_waited |= waited;
                slot_per_s = Some(rate.per_s);
            }
        }
        bar = bar_after_slot(state, context, target);
    }
}

/// How a request came to be sent to a server with a rate.
#[derive(Clone, Copy, Debug)]
enum SlotWait {
    /// It has a slot.
    Reserved {
        /// True if it waited for it.
        has_waited: bool,
    },
    /// It is sent without one, beyond the server's pace.
    Exceeded,
}

/// Reserves a slot under `rate` and waits for it.
///
/// Where other servers can run the request, it doesn't wait for a cold one or one with a pace. A pace is an estimate and no
/// promise to the server: where no other server can run the request and the slot would be too late, it goes without one.
async fn wait_for_slot(
    state: &HostState,
    context: &RequestContext,
    history: &SendHistory,
    target: &BackendCandidate,
    rate: SendRate,
) -> Result<SlotWait, PermitError> {
    let is_pace = rate.reason == RateReason::Pace;
    let max_wait = if rate.reason != RateReason::Limit && !history.is_only_target {
        Duration::ZERO
    } else {
        history.slot_wait.min(longest_slot_wait(context, history))
    };
    let (decision, source) = reserve_slot(state, target, rate, max_wait).await;
    let now = state.now();
    let (id, backend) = (&*context.facts.attempt_id, &*target.entry.id);
    let (outcome, next_in, wait) = match decision {
        SlotDecision::Granted { wait, next_in } => ("granted", next_in, Some(wait)),
        SlotDecision::Refused { again_in } if is_pace && history.is_only_target => {
            ("exceeded", again_in, Some(Duration::ZERO))
        }
        SlotDecision::Refused { again_in } => ("refused", again_in, None),
    };
    let next_in = match source {
        SlotSource::Coordinator => next_in,
        SlotSource::OwnShare => next_in.min(MAX_SHARE_BAR),
    };
    let counter = &state.counters.slots;
    counter
        .with_label_values(&[source.name(), outcome, rate.reason.name()])
        .inc();
    let until = now + next_in;
    target.load.bar_until_slot(until);
    let Some(wait) = wait else {
        if !is_pace {
            info!(state.logger, "limited backend server has no slot in time"; "id" => id, "backend" => backend,
                "limit_per_s" => rate.per_s, "reason" => rate.reason.name(), "source" => source.name(),
                "max_wait_ms" => max_wait.as_millis() as u64, "again_ms" => next_in.as_millis() as u64);
        }
        return Err(PermitError::Barred(SendBar::Limited { until }));
    };
    if outcome == "exceeded" {
        return Ok(SlotWait::Exceeded);
    }
    if wait.is_zero() {
        return Ok(SlotWait::Reserved { has_waited: false });
    }
    info!(state.logger, "request waits for a slot at a limited backend server"; "id" => id, "backend" => backend,
        "limit_per_s" => rate.per_s, "reason" => rate.reason.name(), "source" => source.name(), "wait_ms" => wait.as_millis() as u64);
    let waited = wait_until(state, context, Instant::now() + wait).await;
    waited.map_err(PermitError::Ended)?;
    Ok(SlotWait::Reserved { has_waited: true })
}

/// Why the server may not be sent to after the coordinator was asked for a slot and the request waited for it.
fn bar_after_slot(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
) -> Option<SendBar> {
    let table = state.table.load();
    let slot = table.backend(&context.service, &target.entry.id);
    let slot = slot.filter(|slot| slot.entry.born_ms == target.entry.born_ms);
    match slot {
        Some(slot) => slot.bar(state.now()),
        // The store lists this run no more.
        None => Some(SendBar::Draining),
    }
}

/// Reserves a slot at the coordinator; in this host's own share if no coordinator answers.
async fn reserve_slot(
    state: &HostState,
    target: &BackendCandidate,
    rate: SendRate,
    max_wait: Duration,
) -> (SlotDecision, SlotSource) {
    let run = BackendRun {
        backend: target.entry.id.clone(),
        born_ms: target.entry.born_ms,
    };
    let decision = reserve_at_coordinator(state, target, &run, rate.per_s, max_wait).await;
    if let Some(decision) = decision {
        return (decision, SlotSource::Coordinator);
    }
    let hosts = state.meter().hosts();
    let bound = target.load.bound_rate(state.now());
    let bound_share = bound.map_or(f64::INFINITY, |bound| bound.shared_per_s());
    let share = (rate.shared_per_s().min(bound_share), hosts);
    let phase = rand::random();
    let now = state.now();
    let mut shares = state.limit_shares();
    let decision = shares.reserve(&run, share, max_wait, phase, now);
    (decision, SlotSource::OwnShare)
}

/// Asks the coordinator for a slot; `None` if none is known or it did not answer.
async fn reserve_at_coordinator(
    state: &HostState,
    target: &BackendCandidate,
    run: &BackendRun,
    per_s: f64,
    max_wait: Duration,
) -> Option<SlotDecision> {
    let now = state.now();
    if !state.limit_shares().may_ask(now) || state.misses_coordinator() {
        return None;
    }
    let holder = state.table.load().holder.clone()?;
    // A statement of the oldest age replaces none that the coordinator knows.
    let statement = target.load.limit_statement();
    let statement = statement.unwrap_or(LimitStatement {
        limit_per_s: None,
        at: MonotonicTime::ZERO,
    });
    let request = SlotRequest {
        host: state.startup.host.clone(),
        notice: LimitNotice {
            run: run.clone(),
            limit_per_s: statement.limit_per_s,
            age: now.since(statement.at),
        },
        rate_per_s: (statement.limit_per_s != Some(per_s)).then_some(per_s),
        cold_left: target.load.cold_left(now),
        max_wait,
    };
    match state.link.slot(&holder, &request, state).await {
        Ok(decision) => decision,
        Err(error) => {
            state.limit_shares().record_silence(state.now());
            info!(state.logger, "coordinator did not answer a request for a slot"; "backend" => &*run.backend,
                "host" => &*holder.host, "error" => %error);
            None
        }
    }
}
