//! What a [`ResidencyPlanner`] knows of loads that are wanted and not ordered yet, for the log.

use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::LoadHold;
use crate::ResidencyPlanner;

/// Most entries of one kind that are returned.
const MAX_ENTRIES: usize = 3;

/// A load that is wanted and not ordered yet, with the facts that the planner decides by.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldLoad {
    /// Model to load, or whose adapter is to be loaded.
    pub model: Name,
    /// Adapter that requests wait for.
    pub adapter: Option<Name>,
    /// Time for which requests have waited; `None` for a further replica, which no request waits for.
    pub age: Option<Duration>,
    /// Requests for the model, a second.
    pub rate: f64,
    /// Engine time that they take, seconds each second.
    pub work: f64,
    /// Replicas that are loaded or loading.
    pub replicas: usize,
    /// Waiting time that a further replica saves, seconds each second.
    pub saved: f64,
    /// Why the last plan sent no order; `None` if it sent one.
    pub hold: Option<LoadHold>,
}

impl ResidencyPlanner {
    /// Returns the loads that requests have waited for longest, and the further replicas that would save most.
    pub fn held_loads(&self, now: MonotonicTime) -> Vec<HeldLoad> {
        let replicas = self.replicas(now);
        let half_life = self.settings.demand_half_life;
        let held = |model: &Name, adapter, age, hold| {
            let demand = self.demand.get(model);
            let supply = replicas.get(model).copied().unwrap_or_default();
            HeldLoad {
                model: model.clone(),
                adapter,
                age,
                rate: demand.map_or(0.0, |demand| demand.rate(half_life, now)),
                work: demand.map_or(0.0, |demand| demand.work(half_life, now)),
                replicas: supply.count,
                saved: self.saved_waiting(model, supply.capacity, 1.0, now),
                hold,
            }
        };
        let mut oldest: Vec<_> = self.load_requests.iter().collect();
        oldest.sort_by_key(|(_, request)| request.since);
        let oldest = oldest.into_iter().take(MAX_ENTRIES);
        let waiting = oldest.map(|(key, request)| {
            let age = Some(now.since(request.since));
            held(&key.model, key.adapter.clone(), age, request.hold.clone())
        });
        let short = self.short_replicas.iter().take(MAX_ENTRIES);
        let short = short.map(|(model, _, hold)| held(model, None, None, Some(hold.clone())));
        waiting.chain(short).collect()
    }
}
