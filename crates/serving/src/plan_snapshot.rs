use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::ResidencyPlanner;
use crate::engine_record::EngineRecord;
use crate::engine_record::adapter_mb;
use crate::engine_record::model_mb;

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

/// State of all engines that one plan looks up. It is computed once for each change of the engines, so that the cost of
/// a plan grows with the number of engines, not with engines times models.
#[derive(Debug)]
pub(crate) struct PlanSnapshot {
    /// Memory by engine.
    pub(crate) rooms: HashMap<Name, EngineRoom>,
    /// Number of replicas by model; models without any are absent.
    pub(crate) replicas: HashMap<Name, usize>,
}

impl ResidencyPlanner {
    /// Number of replicas by model, loaded or loading; models without any are absent.
    pub(crate) fn replicas(&self) -> HashMap<Name, usize> {
        let mut replicas: HashMap<Name, usize> = HashMap::new();
        for record in self.engines.values().filter(|record| record.is_accepting) {
            for model in record.held.keys().filter(|model| record.keeps(model)) {
                *replicas.entry(model.clone()).or_default() += 1;
            }
        }
        replicas
    }

    /// Computes the memory and replicas of all accepting engines.
    pub(crate) fn snapshot(&self, now: MonotonicTime) -> PlanSnapshot {
        let replicas = self.replicas();
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
        replicas: &HashMap<Name, usize>,
        now: MonotonicTime,
    ) -> EngineRoom {
        let held = record.held.iter();
        let held = held.filter(|(model, held)| !held.is_unloading && !self.is_requested(model));
        let mut victims: Vec<EvictionVictim> = held
            .map(|(model, held)| {
                let freed_mb = model_mb(&self.spec, model)
                    + adapter_mb(&self.spec, model) * held.adapters.len() as f64;
                let replicas = replicas.get(model).copied().unwrap_or_default();
                EvictionVictim {
                    model: model.clone(),
                    cost_s: self.eviction_cost(record, model, replicas, now),
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
