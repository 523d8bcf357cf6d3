use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use zinniahinge_types::MonotonicTime;

/// Measures time for leases and authority, including time in which the machine is suspended.
///
/// With a clock that stops during suspension, a host would still believe in its authority after it resumes, although
/// its guardian has declared it dead long before.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            origin: time_since_boot(),
        }
    }
}

impl BootClock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_origin(time_since_boot().saturating_sub(self.origin))
    }
}

/// Returns the time since the machine booted. The system call fails only for an unknown clock id; the clock then stands
/// still at zero, so that no authority is ever gained.
fn time_since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
