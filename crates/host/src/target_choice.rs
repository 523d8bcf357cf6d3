use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::BackendChooser;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::ChooserWeights;
use zinniahinge_serving::SendBar;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PlacementReply;
use zinniahinge_types::PlacementRequest;

use crate::caller_response::Refusal;
use crate::caller_response::RefusalKind;
use crate::caller_response::Result;
use crate::fleet_table::BackendSlot;
use crate::fleet_table::FleetTable;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::request_wait::check_stop;
use crate::request_wait::wait_interval_or_evacuation;
use crate::request_wait::wait_until;
use crate::request_wait::wait_until_evacuation;
use crate::send_history::SendHistory;
use crate::send_permit::longest_slot_wait;

/// Interval at which the coordinator, or a new one after a change, is asked again for a backend server.
const PLACEMENT_POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Longest time that a request waits without a reply of a coordinator; a change of the coordinator takes about as long.
/// After that the caller does better to try another host or to come back later.
const MAX_COORDINATOR_SILENCE: Duration = Duration::from_millis(3000);

/// Share of a request's total time, in percent from its arrival, until which it may wait for a placement of its model.
const PLACEMENT_WAIT_PERCENT: u32 = 50;

/// Time that must be left until the first response is due when the model becomes ready, or a server has a slot.
pub(crate) const FIRST_RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Delay after which callers are told to retry when no backend server of the service is available.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Delay after which callers are told to retry when it is unknown when the model will be ready.
const UNPLACED_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Chooses the backend server for the next send of a request.
///
/// A model request waits until a server has the model, at most for a part of its time. The error is the refusal that
/// the caller gets.
pub(crate) async fn choose_target(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
) -> Result<BackendCandidate> {
    let model = context.facts.model.as_ref();
    loop {
        let target = match model {
            None => target_without_model(state, context, history),
            Some(model) => target_with_model(state, context, model, history),
        };
        if let Some(target) = target {
            return Ok(target);
        }
        match first_bar_end(state, context, history) {
            Some((SendBar::Paused { until }, _)) => {
                wait_for_pause_end(state, context, history, until).await?;
            }
            Some((SendBar::Limited { until }, target)) => {
                check_slot_wait(state, context, history, until, &target.load)?;
                return Ok(target);
            }
            Some((SendBar::Draining | SendBar::Leaving | SendBar::Evacuated, _)) | None => break,
        }
    }
    match model {
        Some(model) => wait_for_placement(state, context, model, history).await,
        None => Err(Refusal::not_run(RefusalKind::NoBackend).retry_after(NO_BACKEND_RETRY_AFTER)),
    }
}

/// Backend servers of the request's service in the regions in which it may run.
fn home_slots<'a>(
    state: &'a HostState,
    context: &'a RequestContext,
    table: &'a FleetTable,
) -> impl Iterator<Item = &'a BackendSlot> {
    let homes = context.homes();
    let regions = &state.startup.regions;
    let slots = table.backends(&context.service).iter();
    slots.filter(move |slot| homes.is_open() || homes.allows(regions.get(&slot.entry.place)))
}

/// True if all servers of the service are evacuated or outside the request's homes, so that waiting is of no use.
fn is_out_of_places(state: &HostState, context: &RequestContext) -> bool {
    let table = state.table.load();
    let now = state.now();
    let mut slots = home_slots(state, context, &table);
    !table.backends(&context.service).is_empty()
        && slots.all(|slot| slot.bar(now) == Some(SendBar::Evacuated))
}

/// Server that could run the request and is the first one whose pause ends or that has a free slot, and its bar; `None` if a
/// server could be sent to, or none pauses or limits requests.
fn first_bar_end(
    state: &HostState,
    context: &RequestContext,
    history: &SendHistory,
) -> Option<(SendBar, BackendCandidate)> {
    let table = state.table.load();
    let now = state.now();
    let facts = &context.facts;
    let slots = home_slots(state, context, &table);
    let able = slots.filter(|slot| {
        let model = facts.model.as_ref();
        model.is_none_or(|model| slot.has(model, facts.adapter.as_deref()))
    });
    let mut first: Option<(MonotonicTime, SendBar, &BackendSlot)> = None;
    for slot in able {
        match slot.bar(now) {
            None => return None,
            // The model may have to be loaded elsewhere.
            Some(SendBar::Limited { .. })
                if facts.model.is_some() && history.is_excluded(&slot.entry.id) => {}
            Some(bar @ (SendBar::Paused { until } | SendBar::Limited { until })) => {
                if first.is_none_or(|(earliest, ..)| until < earliest) {
                    first = Some((until, bar, slot));
                }
            }
            Some(SendBar::Draining | SendBar::Leaving | SendBar::Evacuated) => {}
        }
    }
    first.map(|(_, bar, slot)| (bar, candidate(state, slot)))
}

/// Lets the request wait for the slot of the only server that can run it, which is at `until`. Fails if it can't wait that
/// long, unless only a pace binds.
fn check_slot_wait(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
    until: MonotonicTime,
    load: &BackendLoad,
) -> Result<()> {
    let now = state.now();
    let wait = until.since(now);
    history.slot_wait = longest_slot_wait(context, history);
    history.is_only_target = true;
    let is_pace_only = load.bound_rate(now).is_none() && load.send_rate(now).is_some();
    if wait <= history.slot_wait || is_pace_only {
        return Ok(());
    }
    history.bar = Some(SendBar::Limited { until });
    Err(Refusal::not_run(RefusalKind::ServersLimited).retry_after(wait))
}

/// Waits until a pause ends, after which all servers are considered again. Fails at once if the request can't wait that
/// long.
async fn wait_for_pause_end(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
    until: MonotonicTime,
) -> Result<()> {
    history.bar = Some(SendBar::Paused { until });
    let pause = until.since(state.now());
    let paused = Refusal::not_run(RefusalKind::ServersPaused).retry_after(pause);
    if Instant::now() + pause + FIRST_RESPONSE_MARGIN >= context.first_response_deadline() {
        return Err(paused);
    }
    wait_until(state, context, Instant::now() + pause).await?;
    history.clear_excluded();
    Ok(())
}

/// Chooses a server for a request without a model.
///
/// If every server is excluded by earlier sends, all of them are considered again.
fn target_without_model(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
) -> Option<BackendCandidate> {
    let table = state.table.load();
    let now = state.now();
    let accepting = || home_slots(state, context, &table).filter(|slot| slot.bar(now).is_none());
    let mut candidates = not_excluded(state, accepting(), history);
    if candidates.is_empty() {
        history.clear_excluded();
        candidates = not_excluded(state, accepting(), history);
    }
    choose(state, context, ChooserWeights::PLAIN, candidates)
}

/// Chooses among the servers that have the model and the adapter according to this host's view of the fleet.
fn target_with_model(
    state: &HostState,
    context: &RequestContext,
    model: &Name,
    history: &SendHistory,
) -> Option<BackendCandidate> {
    let table = state.table.load();
    let now = state.now();
    let slots = home_slots(state, context, &table);
    let adapter = context.facts.adapter.as_deref();
    let with_model = slots.filter(|slot| slot.bar(now).is_none() && slot.has(model, adapter));
    let candidates = not_excluded(state, with_model, history);
    choose(state, context, ChooserWeights::MODELS, candidates)
}

/// Returns the slots that earlier sends of the request did not exclude.
fn not_excluded<'a>(
    state: &HostState,
    slots: impl Iterator<Item = &'a BackendSlot>,
    history: &SendHistory,
) -> Vec<BackendCandidate> {
    let not_excluded = slots.filter(|slot| !history.is_excluded(&slot.entry.id));
    not_excluded.map(|slot| candidate(state, slot)).collect()
}

/// Adds what the choice depends on besides the slot: whether an idle connection to the server is open.
fn candidate(state: &HostState, slot: &BackendSlot) -> BackendCandidate {
    BackendCandidate {
        entry: slot.entry.clone(),
        load: slot.load.clone(),
        is_listed: slot.is_listed,
        is_connected: state.pool.has_idle(slot.entry.address),
    }
}

/// Chooses the best candidate by load and cached prompt parts; `None` without candidates.
fn choose(
    state: &HostState,
    context: &RequestContext,
    weights: ChooserWeights,
    mut candidates: Vec<BackendCandidate>,
) -> Option<BackendCandidate> {
    let chooser = BackendChooser {
        host: state.startup.host.clone(),
        place: state.startup.place.clone(),
        totals_age: state.totals_age(),
        weights,
    };
    let index = chooser.choose(&candidates, &context.facts, state.now())?;
    Some(candidates.swap_remove(index))
}

// -------------------------------------------------------------------------------------------------

/// Asks the coordinator for a server that has or will load the model, and waits until it is ready.
///
/// Returns early if this host learns of a server that has the model. Fails as soon as the time left can't suffice.
async fn wait_for_placement(
    state: &HostState,
    context: &RequestContext,
    model: &Name,
    history: &mut SendHistory,
) -> Result<BackendCandidate> {
    let unplaced =
        Refusal::not_run(RefusalKind::ModelUnavailable).retry_after(UNPLACED_RETRY_AFTER);
    let response_deadline = context.first_response_deadline();
    let wait_end = context.arrived + context.total_time() * PLACEMENT_WAIT_PERCENT / 100;
    let wait_end = wait_end.min(response_deadline - FIRST_RESPONSE_MARGIN);
    let mut last_reply_at = Instant::now();
    loop {
        let now = Instant::now();
        if now >= wait_end {
            return Err(unplaced);
        }
        check_stop(state, context)?;
        if is_out_of_places(state, context) {
            return Err(unplaced);
        }
        let evacuated = state.table.load().evacuated.clone();
        let reply = request_placement(state, context, model, history).await;
        if !matches!(reply, None | Some(PlacementReply::NotHolder)) {
            last_reply_at = Instant::now();
        } else if last_reply_at.elapsed() >= MAX_COORDINATOR_SILENCE {
            return Err(unplaced);
        }
        let pause = match reply {
            Some(PlacementReply::At {
                backend,
                ready_in_ms,
            }) => {
                let ready_in = Duration::from_millis(ready_in_ms);
                if now + ready_in + FIRST_RESPONSE_MARGIN >= response_deadline {
                    return Err(unplaced.retry_after(ready_in));
                }
                let ready_at = Instant::now() + ready_in;
                if wait_until_evacuation(state, context, ready_at, &evacuated).await? {
                    continue;
                }
                let table = state.table.load();
                // The coordinator may have judged by other homes.
                let mut slots = home_slots(state, context, &table);
                let slot = slots.find(|slot| slot.entry.id == backend);
                let bar = slot.and_then(|slot| slot.bar(state.now()));
                let is_unreachable = history.is_last_unreachable(&backend);
                let may_send = match bar {
                    Some(SendBar::Paused { until }) => {
                        wait_for_pause_end(state, context, history, until).await?;
                        continue;
                    }
                    // The server is leaving or evacuated, or this request could not reach it a moment ago.
                    _ if is_unreachable => false,
                    Some(SendBar::Draining | SendBar::Leaving | SendBar::Evacuated) => false,
                    Some(SendBar::Limited { until }) => {
                        if let Some(slot) = slot {
                            check_slot_wait(state, context, history, until, &slot.load)?;
                        }
                        true
                    }
                    None => true,
                };
                match slot.filter(|_| may_send) {
                    Some(slot) => return Ok(candidate(state, slot)),
                    None => PLACEMENT_POLL_INTERVAL,
                }
            }
            Some(PlacementReply::AskAgain { again_in_ms }) => {
                let again_in = Duration::from_millis(again_in_ms);
                if now + again_in >= wait_end {
                    return Err(unplaced.retry_after(again_in));
                }
                again_in
            }
            Some(PlacementReply::Refused { retry_after_ms }) => {
                let mut refusal = Refusal::not_run(RefusalKind::ModelUnavailable);
                refusal.retry_after = retry_after_ms.map(Duration::from_millis);
                return Err(refusal);
            }
            Some(PlacementReply::NotHolder) | None => PLACEMENT_POLL_INTERVAL,
        };
        let next = (now + pause).min(wait_end);
        let rest = next.saturating_duration_since(Instant::now());
        wait_interval_or_evacuation(state, rest, &evacuated).await?;
        // Meanwhile another server may have loaded the model.
        if let Some(target) = target_with_model(state, context, model, history) {
            return Ok(target);
        }
    }
}

/// Sends one placement request; `None` if no coordinator is known or it did not reply.
///
/// The request also tells the coordinator which server lacked the model or could not be reached, once each.
async fn request_placement(
    state: &HostState,
    context: &RequestContext,
    model: &Name,
    history: &mut SendHistory,
) -> Option<PlacementReply> {
    let holder = state.table.load().holder.clone()?;
    let request = PlacementRequest {
        service: context.service.clone(),
        model: model.clone(),
        adapter: context.facts.adapter.clone(),
        urgency: context.urgency(),
        time_left_ms: context.time_left().as_millis() as u64,
        refused_by: history.missing_model_at.take(),
        unreached: history.unreported_unreachable.take(),
        regions: context.homes().regions(),
    };
    let reply = state.link.place(&holder, &request, state).await;
    info!(state.logger, "placement"; "id" => &*context.facts.attempt_id, "model" => &**model,
        "adapter" => context.facts.adapter.as_deref(), "holder" => &*holder.host,
        "fence" => holder.fence, "reply" => ?reply);
    reply.ok()
}
