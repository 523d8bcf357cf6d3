use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Rate limit for load starts on the weight store, without a burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadPacer {
    next_start: MonotonicTime,
}

impl LoadPacer {
    /// Returns when the next load may start.
    pub(crate) fn next_start(&self) -> MonotonicTime {
        self.next_start
    }

    pub(crate) fn is_due(&self, now: MonotonicTime) -> bool {
        now >= self.next_start
    }

    /// Records a start. Unused time earns no credit, because the store sustains no burst beyond its
    /// rate.
    pub(crate) fn take(&mut self, now: MonotonicTime, loads_per_second: f64) {
        let interval = Duration::from_secs_f64(1.0 / loads_per_second.max(0.001));
        self.next_start = now + interval;
    }

    /// Delays the next start; used after a takeover, when the predecessor's last start is unknown.
    pub(crate) fn delay_until(&mut self, start: MonotonicTime) {
        self.next_start = self.next_start.max(start);
    }
}
