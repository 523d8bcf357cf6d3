use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::LoadHold;
use crate::PlaceScope;

/// Sources of a model's weights, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WeightSource {
    Memory,
    Disk,
    /// The weight store, over the network.
    Store,
}

/// Requests for a model, as the larger of two decaying averages: the fast one notices within seconds that a model has
/// become busy, the slow one remembers a busy model through a pause.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelDemand {
    fast: DemandAverage,
    slow: DemandAverage,
    /// True once a request was counted.
    is_measured: bool,
}

/// Decaying averages of the requests for a model and of the work that they are.
#[derive(Clone, Copy, Debug, Default)]
struct DemandAverage {
    /// Requests a second.
    rate: f64,
    /// Engine time that the requests take: seconds each second, so 1 keeps one engine busy.
    work: f64,
    updated_at: MonotonicTime,
}

/// Half-life of the fast average as a share of that of the slow one.
const FAST_HALF_LIFE: f64 = 0.25;

/// Standard deviations of random arrivals that are taken off the fast average.
const DEVIATIONS: f64 = 1.0;

impl ModelDemand {
    /// Adds `count` requests that took `work_ms` milliseconds of engine time together.
    pub(crate) fn add(
        &mut self,
        count: u32,
        work_ms: f64,
        half_life: Duration,
        now: MonotonicTime,
    ) {
        let fast_half_life = half_life.mul_f64(FAST_HALF_LIFE);
        self.fast.add(count, work_ms, fast_half_life, now);
        self.slow.add(count, work_ms, half_life, now);
        self.is_measured = true;
    }

    /// True once a request was counted; before, the demand is at most assumed.
    pub(crate) fn is_measured(&self) -> bool {
        self.is_measured
    }

    /// Raises the demand to at least `rate` requests a second and the work of `work` engines.
    pub(crate) fn assume(&mut self, rate: f64, work: f64, half_life: Duration, now: MonotonicTime) {
        self.slow.decay(half_life, now);
        self.slow.rate = self.slow.rate.max(rate);
        self.slow.work = self.slow.work.max(work);
    }

    /// Requests a second.
    pub(crate) fn rate(&self, half_life: Duration, now: MonotonicTime) -> f64 {
        let (slow, fast, share) = self.averages(half_life, now);
        slow.rate.max(fast.rate * share)
    }

    /// Engine time that the requests take, seconds each second.
    pub(crate) fn work(&self, half_life: Duration, now: MonotonicTime) -> f64 {
        let (slow, fast, share) = self.averages(half_life, now);
        slow.work.max(fast.work * share)
    }

    /// The slow and the fast average at `now`, and the share of the fast one that random arrivals don't explain.
    fn averages(
        &self,
        half_life: Duration,
        now: MonotonicTime,
    ) -> (DemandAverage, DemandAverage, f64) {
        let fast_half_life = half_life.mul_f64(FAST_HALF_LIFE);
        let fast = self.fast.at(fast_half_life, now);
        let share = fast.significant_share(fast_half_life);
        (self.slow.at(half_life, now), fast, share)
    }
}

impl DemandAverage {
    fn add(&mut self, count: u32, work_ms: f64, half_life: Duration, now: MonotonicTime) {
        self.decay(half_life, now);
        let weight = request_weight(half_life);
        self.rate += f64::from(count) * weight;
        self.work += work_ms / 1000.0 * weight;
    }

    /// The averages as they have decayed at `now`.
    fn at(&self, half_life: Duration, now: MonotonicTime) -> Self {
        let mut current = *self;
        current.decay(half_life, now);
        current
    }

    /// Share of the averages that random arrivals don't explain.
    fn significant_share(&self, half_life: Duration) -> f64 {
        if self.rate <= 0.0 {
            return 0.0;
        }
        // The variance of the decaying average is the rate times half of one request's weight.
        let deviation = (self.rate * request_weight(half_life) / 2.0).sqrt();
        (1.0 - DEVIATIONS * deviation / self.rate).max(0.0)
    }

    fn decay(&mut self, half_life: Duration, now: MonotonicTime) {
        let kept = self.kept(half_life, now);
        self.rate *= kept;
        self.work *= kept;
        self.updated_at = now;
    }

    /// Share of the averages that remains at `now`.
    fn kept(&self, half_life: Duration, now: MonotonicTime) -> f64 {
        0.5_f64.powf(now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64())
    }
}

/// What one request adds to a decaying average of requests a second. With it, a steady rate of r converges to r.
fn request_weight(half_life: Duration) -> f64 {
    std::f64::consts::LN_2 / half_life.as_secs_f64()
}

/// Model or adapter that requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LoadKey {
    pub(crate) model: Name,
    pub(crate) adapter: Option<Name>,
    /// Data centres in which the requests may run; `None` for all.
    pub(crate) places: Option<Vec<Name>>,
}

impl LoadKey {
    pub(crate) fn scope(&self) -> PlaceScope<'_> {
        PlaceScope {
            places: self.places.as_deref(),
        }
    }
}

/// Requests that wait until a model or an adapter is loaded.
#[derive(Clone, Debug)]
pub(crate) struct LoadRequest {
    /// Priority of the most urgent request; 0 is the most urgent.
    pub(crate) urgency: u8,
    pub(crate) since: MonotonicTime,
    /// The load request is dropped at this time, unless a host asks again.
    pub(crate) until: MonotonicTime,
    /// Why the last plan sent no order for it.
    pub(crate) hold: Option<LoadHold>,
}
