//! Applies the outcomes of orders to the state of a [`ResidencyPlanner`].

use std::time::Duration;

use zinniahinge_types::MonotonicTime;

use crate::EngineOrder;
use crate::OrderOutcome;
use crate::ResidencyAction;
use crate::ResidencyPlanner;
use crate::residency::engine_record::ActiveOrder;
use crate::residency::engine_record::AdapterRecord;
use crate::residency::engine_record::EngineRecord;
use crate::residency::engine_record::UnansweredOrder;
use crate::residency::residency_planner::CONFLICT_PAUSE;
use crate::residency::residency_planner::ORDER_MARGIN;

/// Load time of an adapter. Engines state 5 to 10 ms.
const ADAPTER_LOAD: Duration = Duration::from_millis(12);

/// Time after which a report is due that shows whether an adapter in use was unloaded. Answers that use it take up to a
/// few seconds.
const ADAPTER_UNLOAD_CHECK: Duration = Duration::from_millis(800);

/// Unload time of an idle model.
const MODEL_UNLOAD: Duration = Duration::from_millis(60);

/// Longest pause after several conflicts in a row.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(400);

/// Pause after an order could not be sent, or was refused because of its fencing number.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);

/// Pause before a model is ordered again from an engine that refused it as invalid.
const INVALID_PAUSE: Duration = Duration::from_secs(5);

impl ResidencyPlanner {
    /// Records that an order was sent, and returns it. The engine gets no other order before this one's outcome.
    pub(crate) fn mark_sent(&mut self, order: EngineOrder) -> EngineOrder {
        if let Some(record) = self.engines.get_mut(&order.backend) {
            record.awaits_answer = true;
            if order.action == ResidencyAction::Unload && order.adapter.is_none() {
                record.unload_sent = Some(order.model.clone());
            }
        }
        order
    }

    /// Applies the outcome of an order that [`Self::plan`] returned. Call it once for each order: until then the engine
    /// gets no other one.
    pub fn apply_order_outcome(
        &mut self,
        order: &EngineOrder,
        outcome: OrderOutcome,
        now: MonotonicTime,
    ) {
        let estimate = self.load_time(&order.backend, &order.model, now);
        let from_store = self.is_store_load(order);
        // 0 for orders other than loads from the weight store.
        let store_loads = if from_store {
            self.active_store_loads(now) + 1
        } else {
            0
        };
        let unanswered_until = now + self.settings.unanswered_order_time;
        self.views_refreshed_at = None;
        let Some(record) = self.engines.get_mut(&order.backend) else {
            return;
        };
        record.awaits_answer = false;
        record.unload_sent = None;
        if outcome != OrderOutcome::Conflict {
            record.conflicts = 0;
            record.refusing_since = None;
        }
        match outcome {
            OrderOutcome::Accepted => {
                record.finish_active_order();
                record.sequence = Some(order.expected + 1);
                record.last_order_at = now;
                record
                    .unanswered
                    .retain(|unanswered| now < unanswered.until);
                for unanswered in &mut record.unanswered {
                    unanswered.is_resolved |= unanswered.expected == order.expected;
                    unanswered.may_have_run |= unanswered.expected < order.expected;
                }
                apply_accepted(record, order, now, estimate, store_loads);
                if from_store {
                    self.store_starts.push_back(now);
                }
            }
            OrderOutcome::AlreadyHolds => {
                if is_completed_adapter_unload(record, order) {
                    record.sequence = Some(order.expected + 1);
                    record.last_order_at = now;
                } else {
                    record.report_due = now;
                }
                apply_already_held(record, order, now);
            }
            OrderOutcome::Conflict => {
                record.conflicts += 1;
                let pause = CONFLICT_PAUSE * record.conflicts;
                record.blocked_until = now + pause.min(MAX_CONFLICT_PAUSE);
                record.refusing_since.get_or_insert(now);
                // Another engine may be free before this one is.
                record.claim = None;
                record.report_due = now;
            }
            OrderOutcome::Unknown => {
                record.unanswered.push(UnansweredOrder {
                    model: order.model.clone(),
                    adapter: order.adapter.clone(),
                    is_load: order.action == ResidencyAction::Load,
                    expected: order.expected,
                    until: unanswered_until,
                    may_have_run: false,
                    is_resolved: false,
                });
                // Only reports from now on show whether the order was carried out at once.
                record.last_order_at = now;
                record.blocked_until = now + CONFLICT_PAUSE;
                record.report_due = now;
                if from_store {
                    self.store_starts.push_back(now);
                }
            }
            OrderOutcome::NotSent => {
                record.blocked_until = now + UNREACHABLE_PAUSE;
                record.report_due = now + UNREACHABLE_PAUSE;
            }
            OrderOutcome::OtherServer => {
                record.is_accepting = false;
                record.sequence = None;
            }
            OrderOutcome::Invalid => {
                record
                    .paused
                    .insert(order.model.clone(), now + INVALID_PAUSE);
                record.claim = None;
                record.report_due = now;
            }
            OrderOutcome::Fenced => record.blocked_until = now + UNREACHABLE_PAUSE,
        }
    }
}

/// True for the unload of an adapter that the planner knows to be loaded. An engine unloads an unused adapter before it
/// answers, and counts the order as accepted, unlike one that found nothing to do.
fn is_completed_adapter_unload(record: &EngineRecord, order: &EngineOrder) -> bool {
    let adapters = record.held.get(&order.model).map(|held| &held.adapters);
    let adapter = order.adapter.as_ref();
    order.action == ResidencyAction::Unload
        && adapter.is_some_and(|adapter| adapters.is_some_and(|held| held.contains_key(adapter)))
}

/// Applies an order that the engine now carries out.
fn apply_accepted(
    record: &mut EngineRecord,
    order: &EngineOrder,
    now: MonotonicTime,
    load_time: Duration,
    store_loads: usize,
) {
    let EngineOrder {
        action,
        model,
        adapter,
        ..
    } = order;
    match (action, adapter) {
        (ResidencyAction::Load, Some(adapter)) => {
            let adapter_record = AdapterRecord {
                ready_at: now + ADAPTER_LOAD,
                last_used: now,
                ..AdapterRecord::default()
            };
            if let Some(held) = record.held.get_mut(model) {
                held.adapters.insert(adapter.clone(), adapter_record);
            }
        }
        (ResidencyAction::Unload, Some(adapter)) => {
            // A request uses the adapter. It occupies memory until a report shows that it is gone.
            let held = record.held.get_mut(model);
            if let Some(adapter) = held.and_then(|held| held.adapters.get_mut(adapter)) {
                adapter.is_unloading = true;
            }
            record.report_due = now + ADAPTER_UNLOAD_CHECK;
        }
        (ResidencyAction::Load, None) => {
            let held = record.held.entry(model.clone()).or_default();
            held.is_unloading = false;
            held.is_unverified = false;
            held.ready_at = now + load_time;
            held.last_used = now + load_time;
            record.active_order = Some(ActiveOrder {
                action: *action,
                model: model.clone(),
                done_at: now + load_time + ORDER_MARGIN,
                started_at: now,
                store_loads,
                is_confirmed: false,
            });
            record.report_due = now + load_time;
            if record
                .claim
                .as_ref()
                .is_some_and(|claim| claim.model == *model)
            {
                record.claim = None;
            }
            for copies in [&mut record.memory_copies, &mut record.disk_copies] {
                if !copies.contains(model) {
                    copies.push(model.clone());
                }
            }
        }
        (ResidencyAction::Unload, None) => {
            if let Some(held) = record.held.get_mut(model) {
                held.is_unloading = true;
            }
            record.active_order = Some(ActiveOrder {
                action: *action,
                model: model.clone(),
                done_at: now + MODEL_UNLOAD,
                started_at: now,
                store_loads: 0,
                is_confirmed: false,
            });
        }
    }
}

/// Applies an order that found the ordered state in place.
fn apply_already_held(record: &mut EngineRecord, order: &EngineOrder, now: MonotonicTime) {
    match (order.action, &order.adapter) {
        (ResidencyAction::Load, Some(adapter)) => {
            if let Some(held) = record.held.get_mut(&order.model) {
                let adapter_record = AdapterRecord {
                    ready_at: now,
                    last_used: now,
                    ..AdapterRecord::default()
                };
                held.adapters.insert(adapter.clone(), adapter_record);
            }
        }
        (ResidencyAction::Unload, Some(adapter)) => {
            if let Some(held) = record.held.get_mut(&order.model) {
                held.adapters.remove(adapter);
            }
        }
        (ResidencyAction::Load, None) => {
            let held = record.held.entry(order.model.clone()).or_default();
            held.is_unloading = false;
            held.is_unverified = false;
            held.ready_at = now;
            record.claim = None;
        }
        (ResidencyAction::Unload, None) => {
            record.held.remove(&order.model);
        }
    }
}
