use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;

/// Longest time before its slot at which a request may reserve it. Bounds what a host that becomes coordinator doesn't know
/// of, and the time for which a caller is kept waiting.
pub const MAX_SLOT_WAIT: Duration = Duration::from_secs(2);

/// Longest interval between two requests to a limited server, also to one that takes none: without a request now and then,
/// no host would learn that the server has lifted its limit.
pub(crate) const MAX_SEND_INTERVAL: Duration = Duration::from_secs(60);

/// Returns the interval between two requests to a server that takes `limit_per_s` requests a second, at most a minute.
pub fn send_interval(limit_per_s: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / limit_per_s);
    interval.map_or(MAX_SEND_INTERVAL, |interval| {
        interval.min(MAX_SEND_INTERVAL)
    })
}

/// Slots for single requests to a server, one interval apart. Slots that nobody asks for are lost, so that they don't add up
/// to a burst.
#[derive(Clone, Debug)]
pub struct SendSchedule {
    last_slot: MonotonicTime,
}

impl SendSchedule {
    /// Creates a schedule whose first slot is one interval after `last_slot` or later.
    pub fn new(last_slot: MonotonicTime) -> Self {
        Self { last_slot }
    }

    /// Time since the last slot; zero if it is still to come.
    pub(crate) fn idle_time(&self, now: MonotonicTime) -> Duration {
        now.since(self.last_slot)
    }

    /// Reserves the next slot, if it begins within `max_wait`.
    pub fn reserve(
        &mut self,
        interval: Duration,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> SlotDecision {
        let slot = (self.last_slot + interval).max(now);
        let wait = slot.since(now);
        if wait > max_wait {
            return SlotDecision::Refused { again_in: wait };
        }
        self.last_slot = slot;
        SlotDecision::Granted {
            wait,
            next_in: wait + interval,
        }
    }
}
