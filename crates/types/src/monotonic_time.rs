//! Clock reading that callers pass into state machines, which read no clock themselves and so can be tested in steps.

use std::ops::Add;
use std::time::Duration;

/// Holds the time since an arbitrary origin in one process. Readings of different processes must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(Duration);

impl MonotonicTime {
    /// Reading at the origin of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Creates a reading that is `elapsed` after the origin.
    pub const fn from_origin(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Creates a reading that is `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time since the origin.
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// Returns the reading that is `age` earlier; the origin of the clock if that is later.
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(age))
    }

    /// Returns the time from `earlier` to `self`; zero if `earlier` is later.
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
