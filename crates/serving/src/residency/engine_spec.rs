use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::Name;

/// A model in the definition of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: Name,
    /// Accelerator memory of the weights, megabytes.
    pub weight_mb: f64,
    /// Load time from the weight store at full speed.
    pub store_load: Duration,
    /// Load time from a copy on the backend server's disk.
    pub disk_load: Duration,
    /// Load time from a copy in the backend server's main memory.
    pub memory_load: Duration,
    /// Accelerator memory of one adapter, megabytes.
    pub adapter_mb: f64,
    /// Number of adapters. They are named `a1`, `a2` and so on.
    pub adapters: u32,
}

/// The model engines of a service, all of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Accelerator memory of one engine for weights and adapters, megabytes.
    pub memory_mb: f64,
    /// Largest number of adapters on one engine, including those being loaded.
    pub max_adapters: usize,
    /// Rate limit of the weight store over all engines, loads a second.
    pub store_loads_per_s: f64,
    /// Number of tokens in the cache of one engine.
    pub token_capacity: u64,
    /// Models by name.
    pub models: HashMap<Name, ModelSpec>,
}
