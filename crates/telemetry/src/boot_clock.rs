use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use zinniahinge_types::MonotonicTime;

/// Clock for authority. A clock that stands still while the machine is suspended would let a host act on
/// authority that its guardian has long declared dead.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            origin: since_boot(),
        }
    }
}

impl BootClock {
    /// Time since the clock was created.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_origin(since_boot().saturating_sub(self.origin))
    }
}

/// The system call fails only for an unknown clock id; then no time passes and no authority is ever gained.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
