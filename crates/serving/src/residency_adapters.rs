//! Chooses the orders for adapters that a [`ResidencyPlanner`] sends.

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::EngineOrder;
use crate::LoadHold;
use crate::ResidencyAction;
use crate::ResidencyPlanner;
use crate::engine_record::adapter_mb;
use crate::residency_load::ROUNDING_MB;
use crate::residency_load::Result;
use crate::residency_load::order_for;

impl ResidencyPlanner {
    /// Returns the next order towards the adapter: its load on the ready engine with the fewest adapters, or the unload
    /// of the least recently used adapter there.
    pub(crate) fn plan_adapter(
        &mut self,
        model: &Name,
        adapter: &Name,
        now: MonotonicTime,
    ) -> Result<EngineOrder> {
        let needed = adapter_mb(&self.spec, model);
        let spec = &self.spec;
        let engines = self.engines.values();
        let able = engines.filter(|record| record.is_free(now) && record.is_ready(model, now));
        let ranked = able.map(|record| {
            let count = record.adapter_count(now);
            let is_full = count >= spec.max_adapters
                || spec.memory_mb - record.used_mb(spec, now) < needed + ROUNDING_MB;
            (is_full, count, record)
        });
        let best = ranked.min_by_key(|(is_full, count, _)| (*is_full, *count));
        let (is_full, _, best) = best.ok_or(LoadHold::NoReadyEngine)?;
        let backend = best.id.clone();
        let full = LoadHold::AdaptersFull {
            backend: backend.clone(),
        };
        if !is_full {
            let order = order_for(
                best,
                ResidencyAction::Load,
                model.clone(),
                Some(adapter.clone()),
            );
            return order.ok_or(LoadHold::EngineBusy { backend });
        }
        let held = best.held.iter().flat_map(|(model, held)| {
            let adapters = held
                .adapters
                .iter()
                .filter(|(_, record)| !record.is_unloading);
            adapters.map(move |(name, record)| (record.last_used, model, name))
        });
        // Only one unload at a time: if it waits for a request to end, further unloads would not free memory sooner.
        let mut all = best.held.values().flat_map(|held| held.adapters.values());
        if all.any(|adapter| adapter.is_unloading) {
            return Err(full);
        }
        let victim = held.min_by_key(|(last_used, ..)| *last_used);
        let (_, victim_model, victim) = victim.ok_or(full)?;
        let order = order_for(
            best,
            ResidencyAction::Unload,
            victim_model.clone(),
            Some(victim.clone()),
        );
        order.ok_or(LoadHold::EngineBusy { backend })
    }
}
