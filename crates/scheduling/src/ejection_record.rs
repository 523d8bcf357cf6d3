use std::time::Duration;

use zinniahinge_types::MonotonicTime;

use crate::DispatcherSettings;

/// Failures and ejections of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct EjectionRecord {
    failures: u32,
    ejections: u32,
    until: Option<MonotonicTime>,
}

impl EjectionRecord {
    /// Returns the end of the ejection; `None` if there was none or the replica has succeeded
    /// since.
    pub(crate) fn until(&self) -> Option<MonotonicTime> {
        self.until
    }

    /// Returns true if the replica may get a request. After an ejection it gets one at a time until
    /// one succeeds.
    pub(crate) fn admits(&self, now: MonotonicTime, in_flight: u32) -> bool {
        self.until
            .is_none_or(|until| now >= until && in_flight == 0)
    }

    /// Clears all failures and ejections.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure, and ejects the replica at the limit or at the first failure after an
    /// ejection.
    pub(crate) fn record_failure(&mut self, settings: &DispatcherSettings, now: MonotonicTime) {
        self.failures += 1;
        let is_half_open = self.until.is_some_and(|until| now >= until);
        if !is_half_open && self.failures < settings.ejection_failures {
            return;
        }
        self.until = Some(now + self.ejection_time(settings));
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
    }

    /// Returns the duration of the next ejection, which doubles with each earlier one.
    fn ejection_time(&self, settings: &DispatcherSettings) -> Duration {
        let factor = 1_u32 << self.ejections.min(10);
        let doubled = settings.base_ejection_time.saturating_mul(factor);
        doubled.min(settings.max_ejection_time)
    }
}
