use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::BackendChooser;
use zinniahinge_serving::ChooserWeights;
use zinniahinge_types::Name;
use zinniahinge_types::PlacementReply;
use zinniahinge_types::PlacementRequest;

use crate::answer::Refusal;
use crate::answer::RefusalKind;
use crate::answer::Result;
use crate::fleet_table::BackendSlot;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::try_log::TryLog;

/// Pause before the coordinating host is asked again, or a new one looked for.
const ASK_PAUSE: Duration = Duration::from_millis(120);

/// Time for which a request waits while nobody answers where it can go: a change of the coordinating host takes about as
/// long. After that its caller is better off elsewhere or later.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(3000);

/// Part of a request's time, in percent, for which it may wait for a model to be placed.
const HOLD_PERCENT: u32 = 50;

/// Time that must be left for the first event when a model is there.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Pause that callers are told when no backend server of the service is known.
const NO_BACKEND_RETRY: Duration = Duration::from_millis(700);

/// Pause that callers are told when nobody could say when the model will be there.
const UNPLACED_RETRY: Duration = Duration::from_millis(1500);

/// Longest wait for a model on a host that is being stopped.
const STOPPING_WAIT: Duration = Duration::from_millis(800);

/// Pause that callers are told by a host that is being stopped; another host takes them.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// Where a request goes next.
pub(crate) async fn choose_target(
    state: &HostState,
    context: &RequestContext,
    tries: &mut TryLog,
) -> Result<BackendCandidate> {
    match &context.facts.model {
        None => plain_target(state, context, tries),
        Some(model) => match loaded_target(state, context, model, tries) {
            Some(target) => Ok(target),
            None => place(state, context, model, tries).await,
        },
    }
}

fn plain_target(
    state: &HostState,
    context: &RequestContext,
    tries: &mut TryLog,
) -> Result<BackendCandidate> {
    let table = state.table.load();
    let slots = table.backends(&context.service);
    let accepting = || slots.iter().filter(|slot| slot.is_accepting());
    let mut candidates = fresh(state, accepting(), tries);
    if candidates.is_empty() {
        tries.forget_avoided();
        candidates = fresh(state, accepting(), tries);
    }
    let target = choose(state, context, ChooserWeights::PLAIN, candidates);
    target.ok_or(Refusal::not_run(RefusalKind::NoBackend).retry_after(NO_BACKEND_RETRY))
}

/// Best of the servers that have the model and the adapter, as far as this host knows.
fn loaded_target(
    state: &HostState,
    context: &RequestContext,
    model: &Name,
    tries: &TryLog,
) -> Option<BackendCandidate> {
    let table = state.table.load();
    let slots = table.backends(&context.service).iter();
    let adapter = context.facts.adapter.as_deref();
    let holding = slots.filter(|slot| slot.is_accepting() && slot.has(model, adapter));
    let candidates = fresh(state, holding, tries);
    choose(state, context, ChooserWeights::MODELS, candidates)
}

fn fresh<'a>(
    state: &HostState,
    slots: impl Iterator<Item = &'a BackendSlot>,
    tries: &TryLog,
) -> Vec<BackendCandidate> {
    let fresh = slots.filter(|slot| !tries.is_avoided(&slot.entry.id));
    fresh.map(|slot| chosen(state, slot)).collect()
}

fn chosen(state: &HostState, slot: &BackendSlot) -> BackendCandidate {
    BackendCandidate {
        entry: slot.entry.clone(),
        load: slot.load.clone(),
        is_listed: slot.is_listed,
        is_connected: state.pool.has_idle(slot.entry.address),
    }
}

fn choose(
    state: &HostState,
    context: &RequestContext,
    weights: ChooserWeights,
    mut candidates: Vec<BackendCandidate>,
) -> Option<BackendCandidate> {
    let chooser = BackendChooser {
        host: state.boot.host.clone(),
        place: state.boot.place.clone(),
        weights,
    };
    let index = chooser.choose(&candidates, &context.facts, state.now())?;
    Some(candidates.swap_remove(index))
}

// -------------------------------------------------------------------------------------------------

/// Asks the coordinating host for a server, and waits until the model is there.
async fn place(
    state: &HostState,
    context: &RequestContext,
    model: &Name,
    tries: &mut TryLog,
) -> Result<BackendCandidate> {
    let unplaced = Refusal::not_run(RefusalKind::ModelUnavailable).retry_after(UNPLACED_RETRY);
    let answer_by = context.first_answer_by();
    let hold_until = context.arrived + context.whole_time() * HOLD_PERCENT / 100;
    let hold_until = hold_until.min(answer_by - ANSWER_MARGIN);
    let mut answered_at = Instant::now();
    loop {
        let now = Instant::now();
        if now >= hold_until {
            return Err(unplaced);
        }
        if state.stopping.is_cancelled() && now >= context.arrived + STOPPING_WAIT {
            return Err(unplaced.retry_after(STOPPING_RETRY));
        }
        let reply = ask(state, context, model, tries).await;
        if !matches!(reply, None | Some(PlacementReply::NotHolder)) {
            answered_at = Instant::now();
        } else if answered_at.elapsed() >= UNANSWERED_LIMIT {
            return Err(unplaced);
        }
        let pause = match reply {
            Some(PlacementReply::At {
                backend,
                ready_in_ms,
            }) => {
                let ready_in = Duration::from_millis(ready_in_ms);
                if now + ready_in + ANSWER_MARGIN >= answer_by {
                    return Err(unplaced.retry_after(ready_in));
                }
                wait_for_load(state, ready_in, unplaced).await?;
                let table = state.table.load();
                let slot = table.backend(&context.service, &backend);
                let is_usable = |slot: &&BackendSlot| {
                    slot.is_accepting() && !tries.is_unreached(&slot.entry.id)
                };
                match slot.filter(is_usable) {
                    Some(slot) => return Ok(chosen(state, slot)),
                    // It leaves, or could not be reached a moment ago.
                    None => ASK_PAUSE,
                }
            }
            Some(PlacementReply::AskAgain { again_in_ms }) => {
                let again_in = Duration::from_millis(again_in_ms);
                if now + again_in >= hold_until {
                    return Err(unplaced.retry_after(again_in));
                }
                again_in
            }
            Some(PlacementReply::Refused { retry_after_ms }) => {
                let mut refusal = Refusal::not_run(RefusalKind::ModelUnavailable);
                refusal.retry_after = retry_after_ms.map(Duration::from_millis);
                return Err(refusal);
            }
            Some(PlacementReply::NotHolder) | None => ASK_PAUSE,
        };
        tokio::time::sleep_until((now + pause).min(hold_until)).await;
        // Meanwhile a server may have come to hold it.
        if let Some(target) = loaded_target(state, context, model, tries) {
            return Ok(target);
        }
    }
}

/// Waits until a load should have ended. A host that is being stopped does not wait for long: another one may answer.
async fn wait_for_load(state: &HostState, ready_in: Duration, unplaced: Refusal) -> Result<()> {
    let until = Instant::now() + ready_in;
    if until - Instant::now() > STOPPING_WAIT {
        tokio::select! {
            () = tokio::time::sleep_until(until - STOPPING_WAIT) => {}
            () = state.stopping.cancelled() => return Err(unplaced.retry_after(STOPPING_RETRY)),
        }
    }
    tokio::time::sleep_until(until).await;
    Ok(())
}

async fn ask(
    state: &HostState,
    context: &RequestContext,
    model: &Name,
    tries: &mut TryLog,
) -> Option<PlacementReply> {
    let holder = state.table.load().holder.clone()?;
    let request = PlacementRequest {
        service: context.service.clone(),
        model: model.clone(),
        adapter: context.facts.adapter.clone(),
        urgency: context.urgency(),
        time_left_ms: context.time_left().as_millis() as u64,
        refused_by: tries.absent_at.take(),
        unreached: tries.unreached.take(),
    };
    let reply = state.link.place(&holder, &request, state).await;
    info!(state.logger, "placement"; "id" => &*context.facts.attempt_id, "model" => &**model,
        "adapter" => context.facts.adapter.as_deref(), "holder" => &*holder.host,
        "fence" => holder.fence, "reply" => ?reply);
    reply.ok()
}
