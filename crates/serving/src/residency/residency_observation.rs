//! Applies store entries and engine reports to the state of a [`ResidencyPlanner`].

use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::BackendEntry;
use crate::BackendPhase;
use crate::EngineReport;
use crate::EvacuatedPlaces;
use crate::ResidencyAction;
use crate::ResidencyPlanner;
use crate::residency::engine_record::EngineRecord;
use crate::residency::residency_planner::CONFLICT_PAUSE;
use crate::residency::residency_planner::LOAD_CHECK_INTERVAL;
use crate::residency::residency_planner::ORDER_MARGIN;

/// Pause between two reports of an engine that carries out an order unknown to this planner.
const BUSY_REPORT_PAUSE: Duration = Duration::from_millis(200);

/// Lower bound of the report interval for each engine of the fleet: a large fleet is asked for at most 40 reports a
/// second when nothing else asks for one.
const REPORT_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(25);

impl ResidencyPlanner {
    /// Replaces the evacuated places, before the entries are observed. Nothing is loaded on engines there, and their models
    /// count as missing; the engines' state is kept for the end of the evacuation.
    pub fn set_evacuated(&mut self, evacuated: &EvacuatedPlaces) {
        if self.evacuated != *evacuated {
            self.evacuated = evacuated.clone();
        }
    }

    /// Adds an engine that the store lists, or updates its address and phase. A later start time resets its state; an
    /// entry of an earlier run is ignored.
    pub fn observe_entry(&mut self, entry: &BackendEntry, now: MonotonicTime) {
        let is_evacuated = self.evacuated.contains(&entry.place);
        let is_accepting = entry.phase == BackendPhase::Ready && !is_evacuated;
        let Some(record) = self.engines.get_mut(&entry.id) else {
            let mut record = EngineRecord::new(entry, now);
            record.is_accepting = is_accepting;
            self.engines.insert(entry.id.clone(), record);
            self.assume_demand(entry, now);
            return;
        };
        if entry.born_ms > record.born_ms {
            record.restart(entry, now);
        }
        if entry.born_ms < record.born_ms {
            return;
        }
        record.address = entry.address;
        record.is_accepting = is_accepting;
        if is_evacuated {
            // Frees the weight store's bandwidth for loads elsewhere.
            record.claim = None;
        }
    }

    /// Removes the engines for which `keep` returns false, and their views.
    pub fn retain_engines(&mut self, keep: impl Fn(&Name) -> bool) {
        self.engines.retain(|id, _| keep(id));
        self.views.retain(|id, _| keep(id));
    }

    /// Applies a report that was requested at `asked_at`. Pass `None` if the engine gave none, so that the next one is
    /// asked for after the usual interval.
    pub fn observe_report(
        &mut self,
        backend: &str,
        report: Option<&EngineReport>,
        asked_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Self {
            settings,
            spec,
            engines,
            full_speed_loads,
            ..
        } = self;
        let lag = settings.report_lag;
        let interval = settings
            .report_interval
            .max(REPORT_INTERVAL_PER_ENGINE * engines.len() as u32);
        let Some(record) = engines.get_mut(backend) else {
            return;
        };
        record.awaits_report = false;
        record.report_due = now + interval;
        let Some(report) = report else {
            return;
        };
        if report.born_ms != 0 && report.born_ms != record.born_ms {
            // The report is from another run. No order is sent until the store's entry confirms which run is at the
            // address.
            record.sequence = None;
            record.report_due = now + lag;
            return;
        }
        record.unreachable_until = MonotonicTime::ZERO;
        if let Some((model, sample)) = record.record_loaded(&report.held, now)
            && let Some(model) = spec.models.get(&model)
        {
            *full_speed_loads = sample.full_speed_loads(*full_speed_loads, model.store_load);
        }
        let is_loading = record
            .active_order
            .as_ref()
            .is_some_and(|order| order.action == ResidencyAction::Load && !order.is_confirmed);
        if is_loading {
            let active_until = record
                .active_order
                .as_ref()
                .map_or(now, |order| order.done_at);
            let check_at = MonotonicTime::from_origin(
                active_until.since_origin().saturating_sub(ORDER_MARGIN),
            );
            record.report_due = check_at.max(now + LOAD_CHECK_INTERVAL);
        }
        record.memory_copies = report.memory_copies.clone();
        record.disk_copies = report.disk_copies.clone();
        let contents_at = MonotonicTime::from_origin(asked_at.since_origin().saturating_sub(lag));
        let is_current = contents_at >= record.last_order_at && !record.awaits_answer;
        if report.is_busy && record.active_order.is_none() {
            // The order is from an earlier coordinator, or its answer was lost. The memory that it needs is unknown
            // until it ends.
            record.sequence = None;
            record.report_due = now + BUSY_REPORT_PAUSE;
            return;
        }
        if !is_current {
            let settled_at = record.last_order_at + lag + CONFLICT_PAUSE;
            record.report_due = if is_loading {
                record.report_due
            } else if settled_at > now {
                settled_at
            } else {
                // An order is unanswered; its answer, too, makes a report due.
                now + LOAD_CHECK_INTERVAL
            };
            return;
        }
        record.sequence = Some(report.sequence);
        if report.is_busy {
            return;
        }
        record.refusing_since = None;
        record.finish_active_order();
        record.update_held(&report.held, now);
        for unanswered in &mut record.unanswered {
            unanswered.is_resolved |= unanswered.may_have_run;
        }
        for (model, adapter) in &report.pending {
            if let Some(held) = record.held.get_mut(model) {
                held.adapters.entry(adapter.clone()).or_default();
            }
        }
    }
}
