use std::collections::BTreeMap;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::CacheLevel;

/// State of a backend server, from its `/v1/state` and the host list.
#[derive(Clone, Debug)]
pub struct ServerObservation {
    /// Name of the backend server.
    pub server: Name,
    /// IP address and port.
    pub address: Name,
    /// Data centre of the backend server.
    pub place: Name,
    /// Id that changes when the server process restarts; a restart unloads everything.
    pub boot_id: u64,
    /// Whether the server refuses orders with an old fencing number.
    pub fencing: bool,
    /// Whether the host list marks the server as leaving.
    pub leaving: bool,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Loaded models by name.
    pub loaded: BTreeMap<Name, LoadedModel>,
    /// Cache level of each checkpoint; one without an entry is only in the weight store.
    pub cached: BTreeMap<Name, CacheLevel>,
    /// Time at which the state was requested, on the clock of this process. It doesn't override
    /// results that were confirmed later.
    pub asked_at: MonotonicTime,
}

/// State of a model that a backend server reports as loaded.
#[derive(Clone, Debug, Default)]
pub struct LoadedModel {
    /// Accelerator memory in bytes, without adapters.
    pub bytes: u64,
    /// Accelerator memory of each adapter in bytes, by name.
    pub adapters: BTreeMap<Name, u64>,
    /// Running requests.
    pub running: u32,
}
