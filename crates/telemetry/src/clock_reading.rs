use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

/// Response of the route `/clock`, from which a reader of events estimates the offset between clocks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Name of the process, as in its events.
    pub process: Name,
    /// Wall clock of the process in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Sequence number of the newest event; 0 if there is none.
    pub last_sequence: u64,
}

/// Returns the wall clock of this host in microseconds since the Unix epoch; 0 if it is set before the epoch.
pub fn wall_clock_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
