//! Background loads of a [`ResidencyPlanner`]: those that no request waits for. Also the demand that a new planner
//! assumes.

use std::collections::HashSet;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::BackendEntry;
use crate::EngineOrder;
use crate::HeldModel;
use crate::LoadHold;
use crate::ResidencyPlanner;
use crate::residency::plan_snapshot::PlanSnapshot;
use crate::residency::residency_demand::WeightSource;
use crate::residency::residency_load::LoadLimit;
use crate::residency::residency_waiting::RELOAD_DELAY_S;

/// Waiting time over the horizon, seconds, from which a further replica is considered: the shortest load from a copy.
const MIN_SAVED_S: f64 = 1.0;

/// Largest cost of preloading a model that no engine has a copy of, seconds: two loads from the weight store, and
/// little for the models that it displaces.
const PRELOAD_LIMIT_S: f64 = 12.6;

/// Requests a second that a new planner assumes for each replica of a model with several.
const ASSUMED_RATE: f64 = 2.0;

/// Requests a second that a new planner assumes for a model with a single replica.
const ASSUMED_SINGLE_RATE: f64 = 0.2;

/// Share of each replica's time that a new planner assumes to be in use.
const ASSUMED_LOAD: f64 = 0.35;

/// Models whose further replica is tried before requested loads in one plan. Each try looks at all engines.
const MAX_URGENT_REPLICAS: usize = 2;

impl ResidencyPlanner {
    /// Assumes a demand that matches the number of replicas for each model that an engine held when it was first seen,
    /// unless requests for the model were counted already.
    ///
    /// Neither a new coordinator nor the first one has measured any demand yet: without the assumption it would evict the
    /// replicas of busy models for models that nobody asks for. The assumption decays as fast as measured demand.
    pub(crate) fn assume_demand(&mut self, entry: &BackendEntry, now: MonotonicTime) {
        let half_life = self.settings.demand_half_life;
        for HeldModel { model, .. } in &entry.held {
            if !self.spec.models.contains_key(model) {
                continue;
            }
            let engines = self.engines.values().filter(|record| record.is_accepting);
            let replicas = engines.filter(|record| record.keeps(model)).count();
            let rate = match replicas {
                0 | 1 => ASSUMED_SINGLE_RATE,
                _ => ASSUMED_RATE * replicas as f64,
            };
            let work = ASSUMED_LOAD * (replicas as f64 - 0.5);
            let demand = self.demand.entry(model.clone()).or_default();
            if !demand.is_measured() {
                demand.assume(rate, work, half_life, now);
            }
        }
    }

    /// Returns the next order that no request waits for. `snapshot` is the current one if it was computed already.
    pub(crate) fn plan_background(
        &mut self,
        snapshot: Option<PlanSnapshot>,
        now: MonotonicTime,
    ) -> Option<EngineOrder> {
        let snapshot = snapshot.unwrap_or_else(|| self.snapshot(now));
        let order = self.plan_replica(&snapshot, now);
        if self.load_requests.is_empty() {
            order.or_else(|| self.plan_preload(&snapshot, now))
        } else {
            order
        }
    }

    /// Returns the next order towards a further replica that saves more waiting time than loading any model that
    /// requests wait for.
    ///
    /// It goes before theirs: where rare models are always waited for, they would otherwise take the weight store's whole
    /// bandwidth, while many more requests wait for a busy model.
    pub(crate) fn plan_urgent_replica(
        &mut self,
        snapshot: &PlanSnapshot,
        now: MonotonicTime,
    ) -> Option<EngineOrder> {
        let absent = self.load_requests.keys().map(|key| &key.model);
        let absent = absent.filter(|model| !snapshot.replicas.contains_key(*model));
        let waiting = absent.map(|model| self.saved_waiting(model, 0.0, 1.0, now));
        let waiting = waiting.fold(0.0, f64::max);
        let mut short = self.short_of_replicas(snapshot, now);
        short.retain(|(saved, _)| *saved > waiting);
        let mut short = short.into_iter().take(MAX_URGENT_REPLICAS);
        short.find_map(|(saved, model)| {
            let limit = LoadLimit::NONE;
            let order = self.plan_saving(&model, saved, limit, snapshot, now);
            order.ok()
        })
    }

    /// Models for which a further replica is considered, with the waiting time that it saves, seconds each second; the one
    /// that saves most first. At least one request waits for each adapter without a place.
    fn short_of_replicas(&self, snapshot: &PlanSnapshot, now: MonotonicTime) -> Vec<(f64, Name)> {
        let horizon_s = self.settings.eviction_horizon_s;
        let starving = self.starving_adapters(now);
        let mut short: Vec<(f64, Name)> = snapshot
            .replicas
            .iter()
            .filter_map(|(model, supply)| {
                let adapters = starving.get(model).copied().unwrap_or_default();
                let adapters = adapters.min(self.spec.max_adapters) as f64;
                let saved = self.saved_waiting(model, supply.capacity, 1.0, now) + adapters;
                (saved * horizon_s >= MIN_SAVED_S).then(|| (saved, model.clone()))
            })
            .collect();
        short.sort_by(|one, other| other.0.total_cmp(&one.0).then_with(|| one.1.cmp(&other.1)));
        short
    }

    /// Returns the next order towards a further replica that saves more waiting time than its load costs, the one that
    /// saves most first.
    fn plan_replica(&mut self, snapshot: &PlanSnapshot, now: MonotonicTime) -> Option<EngineOrder> {
        let limit = LoadLimit {
            source: self.slowest_replica_source(now),
            ..LoadLimit::NONE
        };
        let mut holds = Vec::new();
        let short = self.short_of_replicas(snapshot, now);
        let order = short.into_iter().find_map(|(saved, model)| {
            let order = self.plan_saving(&model, saved, limit, snapshot, now);
            order.map_err(|hold| holds.push((model, saved, hold))).ok()
        });
        self.short_replicas = holds;
        order
    }

    /// Returns the next order towards a replica that saves `saved` seconds of waiting each second.
    fn plan_saving(
        &mut self,
        model: &Name,
        saved: f64,
        limit: LoadLimit<'_>,
        snapshot: &PlanSnapshot,
        now: MonotonicTime,
    ) -> Result<EngineOrder, LoadHold> {
        let target = self.best_target(model, limit, snapshot, now);
        let target = target.ok_or_else(|| self.no_target(limit, now))?;
        // The replica saves nothing while it loads.
        let load_time = self.load_time(&target.backend, model, now);
        let cost_s = saved * (self.settings.eviction_horizon_s - load_time.as_secs_f64());
        self.plan_model(model, LoadLimit { cost_s, ..limit }, snapshot, now)
    }

    /// Slowest source for the load of a further replica. While requests wait for models, one load from the weight store
    /// at full speed is left for them.
    fn slowest_replica_source(&self, now: MonotonicTime) -> WeightSource {
        let is_waiting = !self.load_requests.is_empty();
        let loads = self.active_store_loads(now) as f64;
        if is_waiting && loads + 1.0 >= self.full_speed_loads {
            WeightSource::Disk
        } else {
            WeightSource::Store
        }
    }

    /// Returns the next order towards a model that no engine holds: first a model without any copy, then one that fits
    /// into free memory.
    fn plan_preload(&mut self, snapshot: &PlanSnapshot, now: MonotonicTime) -> Option<EngineOrder> {
        let models = self.models_by_rate(now).into_iter();
        let absent: Vec<Name> = models
            .map(|(_, model)| model)
            .filter(|model| !snapshot.replicas.contains_key(model))
            .collect();
        let copied = self.copied_models();
        let without_copy = absent.iter().filter(|model| !copied.contains(*model));
        let without_copy = without_copy.map(|model| (model, PRELOAD_LIMIT_S));
        let tries: Vec<(&Name, f64)> = without_copy
            .chain(absent.iter().map(|model| (model, RELOAD_DELAY_S)))
            .collect();
        tries.into_iter().find_map(|(model, cost_s)| {
            let limit = LoadLimit {
                cost_s,
                ..LoadLimit::NONE
            };
            self.plan_model(model, limit, snapshot, now).ok()
        })
    }

    /// All models with their requests a second, the highest rate first.
    fn models_by_rate(&self, now: MonotonicTime) -> Vec<(f64, Name)> {
        let models = self.spec.models.keys();
        let mut models: Vec<(f64, Name)> = models
            .map(|model| (self.rate(model, now), model.clone()))
            .collect();
        models.sort_by(|one, other| other.0.total_cmp(&one.0).then_with(|| one.1.cmp(&other.1)));
        models
    }

    /// Models that an accepting engine has a copy of, in memory or on disk.
    fn copied_models(&self) -> HashSet<Name> {
        let engines = self.engines.values().filter(|record| record.is_accepting);
        let copies = engines.flat_map(|record| {
            let copies = record.memory_copies.iter();
            copies.chain(&record.disk_copies).cloned()
        });
        copies.collect()
    }
}
