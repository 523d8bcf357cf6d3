//! What a [`ResidencyPlanner`] does that no request waits for, and what it takes for granted when it starts.

use std::collections::HashSet;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::EngineOrder;
use crate::ResidencyPlanner;
use crate::plan_snapshot::PlanSnapshot;
use crate::residency_demand::WeightSource;
use crate::residency_load::LoadLimit;
use crate::residency_load::RELOAD_DELAY_S;
use crate::residency_load::REPLICA_LOSS_DELAY_S;

/// Time that a further replica may take to come from the weight store, seconds.
const REPLICA_LOAD_S: f64 = 7.0;

/// Cost up to which a model without any copy is fetched before a request asks for it, seconds: two loads from the weight
/// store, and little that it displaces.
const PRELOAD_LIMIT_S: f64 = 12.6;

/// Requests a second that a new planner assumes for each replica of a model with several ones.
const ASSUMED_RATE: f64 = 2.0;

/// The same for a model with one replica.
const ASSUMED_SINGLE_RATE: f64 = 0.2;

/// Engines of which one may load a replica while requests wait for other models. An engine takes no other order for the
/// seconds of a load from the weight store.
const ENGINES_PER_REPLICA_LOAD: usize = 20;

/// Which busy models get a further replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaRule {
    /// How many times what its replicas carry well a model must need.
    shortage: f64,
    /// Most that the displaced models may cost, seconds.
    displaced_s: f64,
}

impl ReplicaRule {
    /// While no request waits for a model.
    const IDLE: Self = Self {
        shortage: 1.0,
        displaced_s: f64::INFINITY,
    };

    /// While requests wait for other models. Engines of a model that is twice as busy read prompts without a pause, and
    /// every answer is late; but what it displaces must be hardly used, or requests wait for that next.
    const WAITING: Self = Self {
        shortage: 2.0,
        displaced_s: 0.5,
    };
}

impl ResidencyPlanner {
    /// Assumes that what the engines hold is wanted as much as its number of replicas says. A new holder knows no demand, and
    /// would take the replicas of busy models for useless. The assumption fades as fast as measured demand.
    pub fn assume_demand(&mut self, now: MonotonicTime) {
        let mut counts = self.replicas();
        counts.retain(|model, _| self.spec.models.contains_key(model));
        let half_life = self.settings.demand_half_life;
        for (model, replicas) in counts {
            let rate = match replicas {
                1 => ASSUMED_SINGLE_RATE,
                _ => ASSUMED_RATE * replicas as f64,
            };
            let replicas = replicas as f64;
            let work = self.settings.replica_load * (replicas - 0.5);
            let demand = self.demand.entry(model).or_default();
            demand.assume(rate, work, half_life, now);
        }
    }

    /// Next order that no request waits for. `snapshot` are the present ones if they are known.
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

    /// Next order towards a further replica of a busy model, the shortest of replicas first.
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
            let weight_source = self
                .best_target(&model, LoadLimit::NONE, snapshot, now)?
                .weight_source;
            let time_s = match weight_source {
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

    /// Brings models nearer that no request waits for: first those without any copy, then those that fit into free memory.
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

    /// All models with their requests a second, the busiest first.
    fn models_by_rate(&self, now: MonotonicTime) -> Vec<(f64, Name)> {
        let models = self.spec.models.keys();
        let mut models: Vec<(f64, Name)> = models
            .map(|model| (self.rate(model, now), model.clone()))
            .collect();
        models.sort_by(|one, other| other.0.total_cmp(&one.0).then_with(|| one.1.cmp(&other.1)));
        models
    }

    /// Models of which an engine has a copy.
    fn copied_models(&self) -> HashSet<Name> {
        let engines = self.engines.values().filter(|record| record.is_accepting);
        let copies = engines.flat_map(|record| {
            let copies = record.memory_copies.iter();
            copies.chain(&record.disk_copies).cloned()
        });
        copies.collect()
    }
}
