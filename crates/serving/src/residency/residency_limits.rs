//! What engines serve that take only so many requests a second, or that are faster or slower than others. A limit makes a
//! replica a fraction of a full one, and the speed makes it more or less than one; everything else a [`ResidencyPlanner`] decides follows from the sum of these shares.

use std::collections::HashMap;
use std::collections::HashSet;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::ResidencyPlanner;
use crate::residency::engine_record::EngineRecord;
use crate::residency::plan_snapshot::ReplicaSupply;

impl ResidencyPlanner {
    /// Replaces the limits that engines state: by engine, the requests a second that it takes from all hosts together.
    /// Engines without an entry take any number. A limit ends with the run of its engine, too.
    pub fn set_limits(&mut self, limits: &HashMap<Name, f64>) {
        for record in self.engines.values_mut() {
            let limit = limits.get(&record.id).copied();
            if record.request_limit != limit {
                record.request_limit = limit;
                self.background_idle_at = None;
            }
        }
    }

    /// Replaces the learned speeds of engines: by engine, the time that work takes as a factor of the average. Engines without
    /// an entry count as average.
    pub fn set_time_factors(&mut self, factors: &HashMap<Name, f64>) {
        for record in self.engines.values_mut() {
            record.time_factor = factors.get(&record.id).copied().unwrap_or(1.0);
        }
    }

    /// Share of a full replica's requests that a replica of the model on the engine can serve: 1 on an engine of average
    /// speed without a limit. The models of an engine divide its limit by their demand.
    pub(crate) fn replica_share(
        &self,
        record: &EngineRecord,
        model: &Name,
        replicas: &HashMap<Name, ReplicaSupply>,
        now: MonotonicTime,
    ) -> f64 {
        let full = 1.0 / record.time_factor;
        let Some(limit) = record.request_limit else {
            return full;
        };
        let (rate, work) = self.model_load(model, now);
        if rate <= 0.0 {
            return full;
        }
        let known = replicas.get(model).map_or(0, |supply| supply.count);
        let count = known + usize::from(!record.keeps(model));
        let own = rate / count.max(1) as f64;
        let others = record.held.keys().filter(|held| *held != model);
        let others: f64 = others
            .map(|other| self.expected_rate(record, other, replicas, now))
            .sum();
        let taken = limit * own / (own + others);
        // A full replica serves as many requests a second as fit into a second of work.
        (taken * work / rate).clamp(0.0, full)
    }

    /// Engines that get more requests a second than their limit if the demand of each model is spread evenly over its
    /// replicas.
    pub(crate) fn short_engines(&self, now: MonotonicTime) -> HashSet<Name> {
        let limited = || {
            let engines = self.engines.values();
            engines.filter_map(|record| Some((record, record.request_limit?)))
        };
        if limited().next().is_none() {
            return HashSet::new();
        }
        let replicas = self.replicas(now);
        let short = limited().filter(|(record, limit)| {
            let models = record.held.keys();
            let expected: f64 = models
                .map(|model| self.expected_rate(record, model, &replicas, now))
                .sum();
            expected >= *limit
        });
        short.map(|(record, _)| record.id.clone()).collect()
    }

    /// Requests a second for the model that the engine gets if they are spread evenly over the model's replicas.
    fn expected_rate(
        &self,
        record: &EngineRecord,
        model: &Name,
        replicas: &HashMap<Name, ReplicaSupply>,
        now: MonotonicTime,
    ) -> f64 {
        if !record.keeps(model) {
            return 0.0;
        }
        let count = replicas.get(model).map_or(1, |supply| supply.count);
        self.rate(model, now) / count.max(1) as f64
    }
}
