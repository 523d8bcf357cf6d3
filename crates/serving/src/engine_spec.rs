use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::Name;

/// A model as its service defines it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub name: Name,
    /// Accelerator memory of the weights, megabytes.
    pub weight_mb: f64,
    /// Load from the weight store.
    pub store_load: Duration,
    /// Load from a copy on the backend server's disk.
    pub disk_load: Duration,
    /// Load from a copy in the backend server's main memory.
    pub memory_load: Duration,
    /// Accelerator memory of one adapter, megabytes.
    pub adapter_mb: f64,
    /// Number of adapters, named `a1`, `a2` and so on.
    pub adapters: u32,
}

/// Model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Accelerator memory of one engine for weights and adapters, megabytes.
    pub memory_mb: f64,
    /// Adapters that one engine holds, those on their way included.
    pub max_adapters: usize,
    /// Loads a second that the weight store allows over all engines.
    pub store_loads_per_s: f64,
    /// Tokens that one engine keeps in memory.
    pub token_capacity: u64,
    /// Models by name.
    pub models: HashMap<Name, ModelSpec>,
}
