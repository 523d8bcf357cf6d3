use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::ResidencyPlanner;
use crate::residency::engine_record::EngineRecord;
use crate::residency::engine_record::adapter_mb;
use crate::residency::engine_record::model_mb;

/// Free and reclaimable memory of one engine, the same for every model to load.
#[derive(Debug)]
pub(crate) struct EngineRoom {
    pub(crate) free_mb: f64,
    /// Models that can be evicted, the cheapest first.
    pub(crate) victims: Vec<EvictionVictim>,
}

/// A model that can be evicted from one engine.
#[derive(Debug)]
pub(crate) struct EvictionVictim {
    pub(crate) model: Name,
    /// Waiting time of future requests, seconds.
    pub(crate) cost_s: f64,
    /// Time until the requests that use the model have ended, which its unload waits for.
    pub(crate) unload_time: Duration,
    pub(crate) freed_mb: f64,
}

/// Replicas of a model, loaded or loading.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicaSupply {
    pub(crate) count: usize,
    /// What they serve, as a number of replicas on engines of average speed without a limit.
    pub(crate) capacity: f64,
}

/// State of all engines that one plan looks up. It is computed once for each change of the engines, so that the cost of
/// a plan grows with the number of engines, not with engines times models.
#[derive(Debug)]
pub(crate) struct PlanSnapshot {
    /// Memory by engine.
    pub(crate) rooms: HashMap<Name, EngineRoom>,
    /// Replicas by model; models without any are absent.
    pub(crate) replicas: HashMap<Name, ReplicaSupply>,
}

impl ResidencyPlanner {
    /// Replicas by model; models without any are absent.
    pub(crate) fn replicas(&self, now: MonotonicTime) -> HashMap<Name, ReplicaSupply> {
        let held = || {
            let engines = self.engines.values().filter(|record| record.is_accepting);
            engines.flat_map(|record| {
                let kept = record.held.keys().filter(|model| record.keeps(model));
                kept.map(move |model| (record, model))
            })
        };
        let mut replicas: HashMap<Name, ReplicaSupply> = HashMap::new();
        for (_, model) in held() {
            let supply = replicas.entry(model.clone()).or_default();
            supply.count += 1;
            supply.capacity += 1.0;
        }
        // The shares depend on the counts of all models.
        let uneven = held().filter(|(record, _)| record.is_uneven());
        let missing = uneven.map(|(record, model)| {
            let share = self.replica_share(record, model, &replicas, now);
            (model, 1.0 - share)
        });
        let missing: Vec<(&Name, f64)> = missing.collect();
        for (model, share) in missing {
            if let Some(supply) = replicas.get_mut(model) {
                supply.capacity -= share;
            }
        }
        replicas
    }

    /// Computes the memory and replicas of all accepting engines.
    pub(crate) fn snapshot(&self, now: MonotonicTime) -> PlanSnapshot {
        let replicas = self.replicas(now);
        let engines = self.engines.values().filter(|record| record.is_accepting);
        let rooms = engines.map(|record| (record.id.clone(), self.room(record, &replicas, now)));
        PlanSnapshot {
            rooms: rooms.collect(),
            replicas,
        }
    }

    fn room(
        &self,
        record: &EngineRecord,
        replicas: &HashMap<Name, ReplicaSupply>,
        now: MonotonicTime,
    ) -> EngineRoom {
        let held = record.held.iter();
        let held = held.filter(|(model, held)| !held.is_unloading && !self.is_requested(model));
        let mut victims: Vec<EvictionVictim> = held
            .map(|(model, held)| {
                let freed_mb = model_mb(&self.spec, model)
                    + adapter_mb(&self.spec, model) * held.adapters.len() as f64;
                let share = self.replica_share(record, model, replicas, now);
                let capacity = replicas.get(model).map_or(0.0, |supply| supply.capacity);
                let remaining = (capacity - share).max(0.0);
                let lost = self.saved_waiting(model, remaining, share, now);
                EvictionVictim {
                    model: model.clone(),
                    cost_s: self.eviction_cost(record, model, lost, now),
                    unload_time: self.unload_time(record, model),
                    freed_mb,
                }
            })
            .collect();
        victims.sort_by(|one, other| one.cost_s.total_cmp(&other.cost_s));
        EngineRoom {
            free_mb: self.spec.memory_mb - record.used_mb(&self.spec, now),
            victims,
        }
    }
}
