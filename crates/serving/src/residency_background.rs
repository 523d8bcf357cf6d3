//! Background loads of a [`ResidencyPlanner`]: those that no request waits for. Also the demand that a new planner
//! assumes.

use std::collections::HashSet;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::BackendEntry;
use crate::EngineOrder;
use crate::HeldModel;
use crate::ResidencyPlanner;
use crate::plan_snapshot::PlanSnapshot;
use crate::residency_demand::WeightSource;
use crate::residency_load::LoadLimit;
use crate::residency_load::RELOAD_DELAY_S;
use crate::residency_load::REPLICA_LOSS_DELAY_S;

/// Load time from the weight store that is accepted for a further replica, seconds.
const REPLICA_LOAD_S: f64 = 7.0;

/// Largest cost of preloading a model that no engine has a copy of, seconds: two loads from the weight store, and
/// little for the models that it displaces.
const PRELOAD_LIMIT_S: f64 = 12.6;

/// Requests a second that a new planner assumes for each replica of a model with several.
const ASSUMED_RATE: f64 = 2.0;

/// Requests a second that a new planner assumes for a model with a single replica.
const ASSUMED_SINGLE_RATE: f64 = 0.2;

/// Number of engines for each load of a further replica while requests wait for other models. An engine takes no other
/// order for the seconds that a load from the weight store lasts.
const ENGINES_PER_REPLICA_LOAD: usize = 20;

/// When an overloaded model gets a further replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaRule {
    /// Smallest ratio of required to present replicas.
    shortage: f64,
    /// Largest cost of the displaced models, seconds.
    displaced_s: f64,
}

impl ReplicaRule {
    /// Applies while no request waits for a model.
    const IDLE: Self = Self {
        shortage: 1.0,
        displaced_s: f64::INFINITY,
    };

    /// Applies while requests wait for other models. The engines of a model with twice the demand that its replicas
    /// carry process prompts without a pause, and every answer is late. But a displaced model must be hardly used, or
    /// requests wait for that one next.
    const WAITING: Self = Self {
        shortage: 2.0,
        displaced_s: 0.5,
    };
}

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
            let work = self.settings.replica_load * (replicas as f64 - 0.5);
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
        let is_waiting = !self.load_requests.is_empty();
        if is_waiting
            && self.active_store_loads(now) >= self.engines.len() / ENGINES_PER_REPLICA_LOAD
        {
            return None;
        }
        let snapshot = snapshot.unwrap_or_else(|| self.snapshot(now));
        if is_waiting {
            return self.plan_replica(&snapshot, &ReplicaRule::WAITING, now);
        }
        let order = self.plan_replica(&snapshot, &ReplicaRule::IDLE, now);
        order.or_else(|| self.plan_preload(&snapshot, now))
    }

    /// Returns the next order towards a further replica of a model with too few, the one with the largest shortage
    /// first.
    fn plan_replica(
        &mut self,
        snapshot: &PlanSnapshot,
        rule: &ReplicaRule,
        now: MonotonicTime,
    ) -> Option<EngineOrder> {
        let mut busy: Vec<(f64, f64, Name)> = snapshot
            .replicas
            .iter()
            .filter_map(|(model, replicas)| {
                let target = self.target_replicas(model, now);
                let short = target as f64 / *replicas as f64;
                let is_short = target > *replicas && short >= rule.shortage;
                is_short.then(|| (short, self.rate(model, now), model.clone()))
            })
            .collect();
        busy.sort_by(|one, other| {
            let by_shortage = other.0.total_cmp(&one.0);
            by_shortage.then_with(|| one.2.cmp(&other.2))
        });
        busy.into_iter().find_map(|(_, rate, model)| {
            let source = self
                .best_target(&model, LoadLimit::NONE, snapshot, now)?
                .source;
            let time_s = match source {
                WeightSource::Store => REPLICA_LOAD_S,
                WeightSource::Memory | WeightSource::Disk => RELOAD_DELAY_S,
            };
            let gain_s = rate * REPLICA_LOSS_DELAY_S * self.settings.eviction_horizon_s;
            let gain_s = gain_s.min(rule.displaced_s);
            let limit = LoadLimit {
                cost_s: gain_s + time_s,
                ..LoadLimit::NONE
            };
            self.plan_model(&model, limit, snapshot, now)
        })
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
            self.plan_model(model, limit, snapshot, now)
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
