use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Starts of loads at the weight store's rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadPacer {
    next_start: MonotonicTime,
}

impl LoadPacer {
    /// When the next load may start.
    pub(crate) fn next_start(&self) -> MonotonicTime {
        self.next_start
    }

    pub(crate) fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_start
    }

    /// Counts a start. Unused time is not saved up: the store has no burst beyond its rate.
    pub(crate) fn take(&mut self, now: MonotonicTime, loads_per_second: f64) {
        let interval = Duration::from_secs_f64(1.0 / loads_per_second.max(0.001));
        self.next_start = now + interval;
    }

    /// Delays the next start, after a takeover in which the predecessor's last start is unknown.
    pub(crate) fn delay_until(&mut self, start: MonotonicTime) {
        self.next_start = self.next_start.max(start);
    }
}
