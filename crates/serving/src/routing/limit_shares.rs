use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::BackendRun;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;

use crate::MAX_SLOT_WAIT;
use crate::SendSchedule;
use crate::send_interval;

/// Divisor of a host's share. Other hosts may still reach the coordinator, which grants them the whole limit, and slots of
/// several hosts may fall together by chance.
const SHARE_DIVISOR: u32 = 4;

/// Time for which a host uses its own share after the coordinator did not answer it. Requests meanwhile don't wait for
/// another timeout.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// This host's own schedules for servers that limit requests, for the time in which no coordinator answers.
#[derive(Debug, Default)]
pub struct LimitShares {
    schedules: HashMap<BackendRun, SendSchedule>,
    ask_after: MonotonicTime,
}

impl LimitShares {
    /// Records that the coordinator did not answer at `now`.
    pub fn record_silence(&mut self, now: MonotonicTime) {
        self.ask_after = now + ASK_PAUSE;
    }

    /// True if the coordinator may be asked at `now`.
    pub fn may_ask(&self, now: MonotonicTime) -> bool {
        now >= self.ask_after
    }

    /// Reserves a slot for one request in the share of a host among `hosts`.
    ///
    /// The first slot is after the part `phase` of an interval, a random number between 0 and 1, and so is the next one after an
    /// idle interval, since hosts begin to use their shares at the same time.
    pub fn reserve(
        &mut self,
        run: &BackendRun,
        (limit_per_s, hosts): (f64, u32),
        max_wait: Duration,
        phase: f64,
        now: MonotonicTime,
    ) -> SlotDecision {
        let interval = send_interval(limit_per_s) * (hosts.max(1) * SHARE_DIVISOR);
        let passed = interval.mul_f64((1.0 - phase).clamp(0.0, 1.0));
        let first = SendSchedule::new(now.before(passed));
        let schedule = self.schedules.entry(run.clone());
        let schedule = schedule.or_insert_with(|| first.clone());
        if schedule.idle_time(now) > interval {
            *schedule = first;
        }
        schedule.reserve(interval, max_wait.min(MAX_SLOT_WAIT), now)
    }

    /// Drops the schedules of the runs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&BackendRun) -> bool) {
        self.schedules.retain(|run, _| keep(run));
    }
}
