//! Clock reading that is passed into the pure state machines.

use std::ops::Add;
use std::time::Duration;

/// Time since an arbitrary origin in one process. Never compared between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(Duration);

impl MonotonicTime {
    /// The origin of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// A reading `elapsed` after the origin.
    pub const fn from_origin(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// A reading `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time since the origin.
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}
