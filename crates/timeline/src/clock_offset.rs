use std::time::Duration;

use serde::Serialize;

/// One round trip to a process's `/clock`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// Own wall clock when the request was sent, microseconds.
    pub sent_us: u64,
    /// Time until the answer came, by the own monotonic clock.
    pub round_trip: Duration,
    /// Wall clock of the process, microseconds.
    pub remote_us: u64,
}

/// How far the wall clock of a process is ahead of ours.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClockOffset {
    /// Microseconds ahead; negative if behind.
    pub ahead_us: i64,
    /// The true offset differs by at most this, microseconds: half the round trip.
    pub uncertainty_us: u64,
}

impl ClockOffset {
    /// Estimate from the sample with the shortest round trip, because its bound is the tightest.
    /// `None` without samples.
    pub fn estimate(samples: &[ClockSample]) -> Option<Self> {
        let best = samples.iter().min_by_key(|sample| sample.round_trip)?;
        let half_us = best.round_trip.as_micros().div_ceil(2) as u64;
        let middle_us = best.sent_us.saturating_add(half_us);
        Some(Self {
            ahead_us: best.remote_us.wrapping_sub(middle_us) as i64,
            uncertainty_us: half_us,
        })
    }

    /// A reading of the process's clock, in our time.
    pub fn correct(&self, at_us: u64) -> u64 {
        at_us.saturating_add_signed(self.ahead_us.saturating_neg())
    }
}
