//! Base models of a service, as listed in a document.

use std::time::Duration;

use zinniahinge_types::Name;

use crate::MemorySize;

/// A base model that a service offers, with the figures that scheduling needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelEntry {
    /// Name; unique among the models of the service.
    pub name: Name,
    /// Version that engines load; `None` leaves the choice to the engine.
    pub version: Option<Name>,
    /// Memory that one replica takes on a backend server.
    pub memory: MemorySize,
    /// Maximum number of requests that one replica runs concurrently.
    pub slots: u32,
    /// Maximum prompt length, in tokens.
    pub max_prompt_tokens: u64,
    /// Maximum output length, in tokens.
    pub max_output_tokens: u64,
    /// Expected load time for each place that the checkpoint may be loaded from.
    pub load_times: LoadTimes,
    /// Bounds on the time that an idle replica stays loaded.
    pub keep_alive: KeepAliveRange,
}

impl ModelEntry {
    /// Returns the number of tokens that the largest accepted request is charged: prompt and output.
    pub fn max_request_tokens(&self) -> u64 {
        self.max_prompt_tokens
            .saturating_add(self.max_output_tokens)
    }
}

/// Expected load time of a model, by the cache level that holds its checkpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadTimes {
    /// Load time if the checkpoint is in the backend server's memory.
    pub memory: Duration,
    /// Load time if the checkpoint is on the backend server's disk.
    pub disk: Duration,
    /// Load time if the checkpoint is fetched from the weight store.
    pub remote: Duration,
}

/// Bounds on the keep-alive time of idle replicas, which is otherwise derived from the model's request
/// arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeepAliveRange {
    /// Minimum time that an idle replica stays loaded unless its memory is needed; `None` if unbounded.
    pub floor: Option<Duration>,
    /// Maximum time that an idle replica stays loaded; `None` if unbounded.
    pub ceiling: Option<Duration>,
}
