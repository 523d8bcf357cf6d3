//! Base model of a service.

use std::time::Duration;

use zinniahinge_types::Name;

use crate::MemorySize;

/// Base model that a service offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelEntry {
    /// Name, unique in the service.
    pub name: Name,
    /// Version that engines are told to load; `None` leaves the choice to the engine.
    pub version: Option<Name>,
    /// Memory that one replica takes on a backend server.
    pub memory: MemorySize,
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Largest prompt, tokens.
    pub max_prompt_tokens: u64,
    /// Largest output, tokens.
    pub max_output_tokens: u64,
    /// Expected load time by where the checkpoint is.
    pub load_times: LoadTimes,
    /// Bounds on how long an idle replica is kept.
    pub keep_alive: KeepAliveRange,
}

impl ModelEntry {
    /// Tokens charged for the largest request that the model accepts.
    pub fn largest_request(&self) -> u64 {
        self.max_prompt_tokens
            .saturating_add(self.max_output_tokens)
    }
}

/// Expected load time of a model by cache level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadTimes {
    /// Checkpoint is in the backend server's memory.
    pub memory: Duration,
    /// Checkpoint is on the backend server's disk.
    pub disk: Duration,
    /// Checkpoint has to come from the weight store.
    pub remote: Duration,
}

/// Bounds on the keep-alive time that the pool derives from a model's arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeepAliveRange {
    /// An idle replica is kept at least this long unless its memory is needed.
    pub floor: Option<Duration>,
    /// An idle replica is kept at most this long.
    pub ceiling: Option<Duration>,
}
