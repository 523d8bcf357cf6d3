//! How long requests wait for a model, by the number of its replicas, in which one on an engine with a limit counts as a
//! fraction. What a further replica is worth and what the loss of one costs is the difference of two such values, so that
//! no replica is loaded only to be evicted again.

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::ResidencyPlanner;

/// Longest time that a request waits on a crowded engine, seconds: most callers leave then.
const MAX_WAIT_S: f64 = 2.0;

/// Delay of a request whose model has to be loaded from a copy, seconds: the unload, the load and the messages.
pub(crate) const RELOAD_DELAY_S: f64 = 1.0;

/// Shortest engine time of a request, seconds. With none at all, a limit of requests would be no limit of work.
const MIN_SERVICE_S: f64 = 1e-6;

impl ResidencyPlanner {
    /// Waiting time that the model's requests have with this number of replicas, in seconds each second: the average
    /// number of requests that wait.
    fn waiting(&self, model: &Name, replicas: f64, now: MonotonicTime) -> f64 {
        let (rate, work) = self.model_load(model, now);
        let absent_s = RELOAD_DELAY_S + queue_delay(work, rate);
        let delay_s = if replicas <= 0.0 {
            absent_s
        } else {
            // A fraction of a replica is not worse than none.
            queue_delay(work / replicas, rate / replicas).min(absent_s)
        };
        rate * delay_s
    }

    /// Waiting time that `added` replicas save beside `replicas`, in seconds each second.
    pub(crate) fn saved_waiting(
        &self,
        model: &Name,
        replicas: f64,
        added: f64,
        now: MonotonicTime,
    ) -> f64 {
        self.waiting(model, replicas, now) - self.waiting(model, replicas + added, now)
    }

    /// Requests for the model, a second, and the engine time that they take, seconds each second.
    pub(crate) fn model_load(&self, model: &Name, now: MonotonicTime) -> (f64, f64) {
        let half_life = self.settings.demand_half_life;
        let demand = self.demand.get(model);
        let rate = demand.map_or(0.0, |demand| demand.rate(half_life, now));
        let work = demand.map_or(0.0, |demand| demand.work(half_life, now));
        (rate, work.max(rate * MIN_SERVICE_S))
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
