use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

/// Answer of `/clock`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Process, as in its events.
    pub process: Name,
    /// Wall clock of the process, microseconds since the Unix epoch.
    pub at_us: u64,
    /// Sequence number of the newest event.
    pub last_sequence: u64,
}

/// Wall clock of this host, microseconds since the Unix epoch; 0 if it is set before the epoch.
pub fn wall_clock_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
