//! How a [`ResidencyPlanner`] takes in what became of its orders.

use std::time::Duration;

use zinniahinge_types::MonotonicTime;

use crate::EngineOrder;
use crate::OrderOutcome;
use crate::ResidencyAction;
use crate::ResidencyPlanner;
use crate::engine_record::AdapterRecord;
use crate::engine_record::EngineRecord;
use crate::engine_record::LateOrder;
use crate::engine_record::OpenOrder;
use crate::residency_planner::CONFLICT_PAUSE;
use crate::residency_planner::ORDER_MARGIN;

/// Time that an adapter takes to load. Engines name 5 to 10 ms.
const ADAPTER_LOAD: Duration = Duration::from_millis(12);

/// When to look whether an adapter that was in use is gone. Answers take up to a few seconds.
const ADAPTER_UNLOAD_CHECK: Duration = Duration::from_millis(800);

/// Time that an idle model takes to unload.
const MODEL_UNLOAD: Duration = Duration::from_millis(60);

/// Longest pause after several such refusals in a row.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(400);

/// Pause after an order that could not be sent.
const UNREACHED_PAUSE: Duration = Duration::from_millis(400);

/// Pause before a model is tried again on an engine that refused it as invalid.
const INVALID_PAUSE: Duration = Duration::from_secs(5);

impl ResidencyPlanner {
    /// Counts an order as sent.
    pub(crate) fn sent(&mut self, order: EngineOrder) -> EngineOrder {
        if let Some(record) = self.engines.get_mut(&order.backend) {
            record.in_call = true;
            if order.action == ResidencyAction::Unload && order.adapter.is_none() {
                record.evicted = Some(order.model.clone());
            }
        }
        order
    }

    /// Takes the outcome of an order in.
    pub fn order_ended(&mut self, order: &EngineOrder, outcome: OrderOutcome, now: MonotonicTime) {
        let estimate = self.load_time(&order.backend, &order.model, now);
        let from_store = self.is_store_load(order);
        // 0 for other orders.
        let store_loads = if from_store {
            self.open_store_loads(now) + 1
        } else {
            0
        };
        let late_until = now + self.settings.late_order_time;
        self.viewed_at = None;
        let Some(record) = self.engines.get_mut(&order.backend) else {
            return;
        };
        record.in_call = false;
        record.evicted = None;
        if outcome != OrderOutcome::Conflict {
            record.conflicts = 0;
        }
        match outcome {
            OrderOutcome::Accepted => {
                record.settle_open();
                record.sequence = Some(order.expected + 1);
                record.changed_at = now;
                record.late.retain(|late| now < late.until);
                for late in &mut record.late {
                    late.is_settled |= late.expected == order.expected;
                    late.is_passed |= late.expected < order.expected;
                }
                apply_accepted(record, order, now, estimate, store_loads);
                if from_store {
                    self.store_starts.push_back(now);
                }
            }
            OrderOutcome::AlreadyHolds => {
                if is_immediate_unload(record, order) {
                    record.sequence = Some(order.expected + 1);
                    record.changed_at = now;
                } else {
                    record.report_due = now;
                }
                apply_holding(record, order, now);
            }
            OrderOutcome::Conflict => {
                record.conflicts += 1;
                let pause = CONFLICT_PAUSE * record.conflicts;
                record.blocked_until = now + pause.min(MAX_CONFLICT_PAUSE);
                record.report_due = now;
            }
            OrderOutcome::Unknown => {
                record.late.push(LateOrder {
                    model: order.model.clone(),
                    adapter: order.adapter.clone(),
                    is_load: order.action == ResidencyAction::Load,
                    expected: order.expected,
                    until: late_until,
                    is_passed: false,
                    is_settled: false,
                });
                // A report from now on shows whether it was carried out at once.
                record.changed_at = now;
                record.blocked_until = now + CONFLICT_PAUSE;
                record.report_due = now;
                if from_store {
                    self.store_starts.push_back(now);
                }
            }
            OrderOutcome::NotSent => {
                record.blocked_until = now + UNREACHED_PAUSE;
                record.report_due = now + UNREACHED_PAUSE;
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
            OrderOutcome::Fenced => record.blocked_until = now + UNREACHED_PAUSE,
        }
    }
}

/// An adapter that no request uses is unloaded before the answer. The order counts as accepted then, unlike one that
/// found nothing to do.
fn is_immediate_unload(record: &EngineRecord, order: &EngineOrder) -> bool {
    let adapters = record.held.get(&order.model).map(|held| &held.adapters);
    let adapter = order.adapter.as_ref();
    order.action == ResidencyAction::Unload
        && adapter.is_some_and(|adapter| adapters.is_some_and(|held| held.contains_key(adapter)))
}

/// Applies an order that the engine carries out from now on.
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
            // A request uses it; it takes its place until a report shows that it is gone.
            let held = record.held.get_mut(model);
            if let Some(adapter) = held.and_then(|held| held.adapters.get_mut(adapter)) {
                adapter.is_leaving = true;
            }
            record.report_due = now + ADAPTER_UNLOAD_CHECK;
        }
        (ResidencyAction::Load, None) => {
            let held = record.held.entry(model.clone()).or_default();
            held.is_leaving = false;
            held.is_doubted = false;
            held.ready_at = now + load_time;
            held.last_used = now + load_time;
            record.open = Some(OpenOrder {
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
                held.is_leaving = true;
            }
            record.open = Some(OpenOrder {
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

/// Applies an order whose aim the engine says to hold already.
fn apply_holding(record: &mut EngineRecord, order: &EngineOrder, now: MonotonicTime) {
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
            held.is_leaving = false;
            held.is_doubted = false;
            held.ready_at = now;
            record.claim = None;
        }
        (ResidencyAction::Unload, None) => {
            record.held.remove(&order.model);
        }
    }
}
