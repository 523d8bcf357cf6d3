//! How long requests wait for a model, by the number of its replicas. What a further replica is worth and what the loss of
//! one costs is the difference of two such values, so that no replica is loaded only to be evicted again.

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::ResidencyPlanner;

/// Longest time that a request waits on a crowded engine, seconds: most callers leave then.
const MAX_WAIT_S: f64 = 2.0;

/// Delay of a request whose model has to be loaded from a copy, seconds: the unload, the load and the messages.
pub(crate) const RELOAD_DELAY_S: f64 = 1.0;

impl ResidencyPlanner {
    /// Waiting time that the model's requests have with this number of replicas, in seconds each second: the average
    /// number of requests that wait.
    pub(crate) fn waiting(&self, model: &Name, replicas: usize, now: MonotonicTime) -> f64 {
        let half_life = self.settings.demand_half_life;
        let Some(demand) = self.demand.get(model) else {
            return 0.0;
        };
        let (rate, work) = (demand.rate(half_life, now), demand.work(half_life, now));
        let delay_s = if replicas == 0 {
            RELOAD_DELAY_S + queue_delay(work, rate)
        } else {
            queue_delay(work / replicas as f64, rate / replicas as f64)
        };
        rate * delay_s
    }

    /// Waiting time that one replica more saves, in seconds each second.
    pub(crate) fn saved_waiting(&self, model: &Name, replicas: usize, now: MonotonicTime) -> f64 {
        self.waiting(model, replicas, now) - self.waiting(model, replicas + 1, now)
    }
}

/// Time that a request waits at an engine with `work` seconds of work and `rate` requests each second. A request that
/// an overloaded engine never serves counts as one that waits twice as long as any other.
fn queue_delay(work: f64, rate: f64) -> f64 {
    if rate <= 0.0 {
        return 0.0;
    }
    if work >= 1.0 {
        let unserved = 1.0 - 1.0 / work;
        return MAX_WAIT_S * (1.0 + unserved);
    }
    let service_s = work / rate;
    (service_s * work / (1.0 - work)).min(MAX_WAIT_S)
}
