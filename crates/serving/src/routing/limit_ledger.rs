use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::BackendRun;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;

use crate::MAX_SLOT_WAIT;
use crate::SendSchedule;
use crate::routing::send_schedule::MAX_SEND_INTERVAL;
use crate::send_interval;

/// Schedules of all hosts' requests to servers that limit them, one for each run of a server. Kept by the coordinator.
#[derive(Debug)]
pub struct LimitLedger {
    schedules: HashMap<BackendRun, SendSchedule>,
    /// End of the slots that an earlier coordinator may have granted.
    granted_until: MonotonicTime,
}

impl LimitLedger {
    /// Creates the schedules of a host that begins to coordinate at `now`.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            schedules: HashMap::new(),
            granted_until: now + MAX_SLOT_WAIT,
        }
    }

    /// Reserves a slot for one request to a server that takes `limit_per_s` requests a second, if it begins within
    /// `max_wait`, or [`MAX_SLOT_WAIT`] if that is shorter.
    pub fn reserve(
        &mut self,
        run: &BackendRun,
        limit_per_s: f64,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> SlotDecision {
        let last_slot = self.granted_until.max(now);
        let schedule = self.schedules.entry(run.clone());
        let schedule = schedule.or_insert_with(|| SendSchedule::new(last_slot));
        schedule.reserve(send_interval(limit_per_s), max_wait.min(MAX_SLOT_WAIT), now)
    }

    /// Drops the schedules whose last slot was longer ago than any interval. Other hosts may send to a server that this one
    /// doesn't know any more, so that its slots count for as long.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.schedules
            .retain(|_, schedule| schedule.idle_time(now) <= MAX_SEND_INTERVAL);
    }
}
