//! Chooses the orders for adapters that a [`ResidencyPlanner`] sends.

use std::collections::HashMap;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::EngineOrder;
use crate::LoadHold;
use crate::ResidencyAction;
use crate::ResidencyPlanner;
use crate::residency::engine_record::EngineRecord;
use crate::residency::engine_record::adapter_mb;
use crate::residency::residency_demand::LoadKey;
use crate::residency::residency_demand::LoadRequest;
use crate::residency::residency_load::ROUNDING_MB;
use crate::residency::residency_load::Result;
use crate::residency::residency_load::order_for;
use crate::residency::residency_waiting::RELOAD_DELAY_S;

impl ResidencyPlanner {
    /// Returns the next order towards the adapter: its load on the ready engine with the fewest adapters, or the unload
    /// of another adapter there. Engines that get more requests than their limit come last.
    pub(crate) fn plan_adapter(
        &mut self,
        key: &LoadKey,
        adapter: &Name,
        now: MonotonicTime,
    ) -> Result<EngineOrder> {
        let model = &key.model;
        let request = self.load_requests.get(key);
        let is_starving = request.is_some_and(|request| is_starving(request, now));
        let needed = adapter_mb(&self.spec, model);
        let spec = &self.spec;
        let short = self.short_engines(now);
        let scope = key.scope();
        let engines = self.engines.values();
        let engines = engines.filter(|record| scope.contains(&record.place));
        let able = engines.filter(|record| record.is_free(now) && record.is_ready(model, now));
        let ranked = able.map(|record| {
            let count = record.adapter_count(now);
            let is_full = count >= spec.max_adapters
                || spec.memory_mb - record.used_mb(spec, now) < needed + ROUNDING_MB;
            (is_full, short.contains(&record.id), count, record)
        });
        let best = ranked.min_by_key(|(is_full, is_short, count, _)| (*is_full, *is_short, *count));
        let (is_full, .., best) = best.ok_or(LoadHold::NoReadyEngine)?;
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
        let (victim_model, victim) = self.adapter_victim(best, is_starving, now).ok_or(full)?;
        let order = order_for(best, ResidencyAction::Unload, victim_model, Some(victim));
        order.ok_or(LoadHold::EngineBusy { backend })
    }

    /// Returns the adapter of the engine to unload for another one: the least recently used one that no request uses and
    /// that was not asked for a moment ago. If all are in use and `may_wait` is set, the least recently used one, whose
    /// unload waits until its requests have ended; one such unload at a time.
    fn adapter_victim(
        &self,
        record: &EngineRecord,
        may_wait: bool,
        now: MonotonicTime,
    ) -> Option<(Name, Name)> {
        let adapters = || {
            let held = record.held.iter();
            held.flat_map(|(model, held)| {
                let adapters = held.adapters.iter();
                adapters.map(move |(name, adapter)| (model, name, adapter))
            })
        };
        let kept = || adapters().filter(|(.., adapter)| !adapter.is_unloading);
        let idle = kept().filter(|(model, name, adapter)| {
            now.since(adapter.last_used) >= self.settings.recent_use
                && !self.runs.uses_adapter(&record.id, model, name)
        });
        let mut victim = idle.min_by_key(|(.., adapter)| adapter.last_used);
        if victim.is_none() && may_wait && !adapters().any(|(.., adapter)| adapter.is_unloading) {
            victim = kept().min_by_key(|(.., adapter)| adapter.last_used);
        }
        victim.map(|(model, name, _)| (model.clone(), name.clone()))
    }

    /// Number of adapters, by model, that requests have waited for longer than a load from a copy takes: those that its
    /// replicas have no places for.
    pub(crate) fn starving_adapters(&self, now: MonotonicTime) -> HashMap<&Name, usize> {
        let requests = self.load_requests.iter();
        let starving = requests
            .filter(|(key, request)| key.adapter.is_some() && is_starving(request, now))
            .map(|(key, _)| &key.model);
        let mut counts = HashMap::new();
        for model in starving {
            *counts.entry(model).or_default() += 1;
        }
        counts
    }
}

/// True if requests have waited for the load for longer than a load from a copy takes.
fn is_starving(request: &LoadRequest, now: MonotonicTime) -> bool {
    now.since(request.since).as_secs_f64() >= RELOAD_DELAY_S
}
