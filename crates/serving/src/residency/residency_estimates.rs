//! Estimates of a [`ResidencyPlanner`] when a model can be used.

use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::PlaceScope;
use crate::ResidencyPlanner;
use crate::residency::engine_record::model_mb;
use crate::residency::residency_demand::WeightSource;
use crate::residency::residency_load::SLOW_LOAD_TIME;

/// Pause stated to a host while no engine that may serve the request accepts anything because of an evacuation, whose end
/// is unknown.
const EVACUATION_PAUSE: Duration = Duration::from_millis(1500);

impl ResidencyPlanner {
    /// Pause before a request that no engine can serve is worth another try; `None` if no evacuation is the cause.
    pub(crate) fn evacuation_pause(&self, model: &Name) -> Option<Duration> {
        let fits = model_mb(&self.spec, model) <= self.spec.memory_mb;
        (fits && self.evacuated.count() > 0).then_some(EVACUATION_PAUSE)
    }

    /// Time until the first replica is ready; `None` if the model is neither loaded nor loading.
    pub(crate) fn time_until_replica(
        &self,
        model: &Name,
        scope: PlaceScope<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let held = self
            .accepting(scope)
            .filter(|record| record.keeps(model))
            .filter_map(|record| record.held.get(model));
        held.map(|held| held.ready_at.since(now)).min()
    }

    /// Time until an engine that doesn't hold the model could load it from a copy; `None` if there is no such copy.
    fn copy_estimate(
        &self,
        model: &Name,
        scope: PlaceScope<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let engines = self
            .accepting(scope)
            .filter(|record| !record.keeps(model) && record.source_of(model) < WeightSource::Store);
        let times = engines.map(|record| record.wait(now) + self.load_time(&record.id, model, now));
        times.min()
    }

    /// Time to load the model from a copy, if that ends before the slow load that is ready in `ready_in`.
    pub(crate) fn faster_copy_time(
        &self,
        model: &Name,
        ready_in: Duration,
        scope: PlaceScope<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let from_copy = self.copy_estimate(model, scope, now)?;
        (ready_in > SLOW_LOAD_TIME && from_copy < ready_in).then_some(from_copy)
    }

    /// Estimated time until a request for the model could be served; `None` if no engine is accepting or the model fits
    /// into none.
    pub(crate) fn estimate(
        &self,
        model: &Name,
        scope: PlaceScope<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if self.is_held(model, scope) {
            return Some(Duration::ZERO);
        }
        let engines = self.accepting(scope);
        let times = engines.map(|record| record.wait(now) + self.load_time(&record.id, model, now));
        let time = times.min()?;
        let fits = model_mb(&self.spec, model) <= self.spec.memory_mb;
        fits.then_some(time)
    }
}
