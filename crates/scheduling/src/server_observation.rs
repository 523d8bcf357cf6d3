use std::collections::BTreeMap;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::CacheLevel;

/// State of a backend server, as its `/v1/state` and the host list show it.
#[derive(Clone, Debug)]
pub struct ServerObservation {
    /// Name of the backend server.
    pub server: Name,
    /// IP address and port.
    pub address: Name,
    /// Place of the backend server.
    pub place: Name,
    /// Changes when the server process restarts; a restart unloads everything.
    pub boot_id: u64,
    /// True if the server refuses orders with an old fencing number.
    pub fencing: bool,
    /// True if the host list shows it as leaving.
    pub leaving: bool,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Loaded models by name.
    pub loaded: BTreeMap<Name, LoadedModel>,
    /// Cache level per checkpoint; a missing one is only in the weight store.
    pub cached: BTreeMap<Name, CacheLevel>,
    /// When the state was asked for, on this process's clock. What was confirmed later than this
    /// is not contradicted by the observation.
    pub asked_at: MonotonicTime,
}

/// A model that a backend server reports as loaded.
#[derive(Clone, Debug, Default)]
pub struct LoadedModel {
    /// Accelerator memory in bytes, adapters left out.
    pub bytes: u64,
    /// Adapters by name, with their bytes.
    pub adapters: BTreeMap<Name, u64>,
    /// Requests that run on the model.
    pub running: u32,
}
