use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

use crate::CacheLevel;

/// Models and adapters of one service, as configured by its current document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCatalog {
    /// Base models by name.
    pub models: BTreeMap<Name, ModelSpec>,
    /// Adapters by name.
    pub adapters: BTreeMap<Name, AdapterSpec>,
}

/// Resource needs and limits of a base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Accelerator memory of one replica, in bytes.
    pub bytes: u64,
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Expected load times.
    pub load_times: LoadTimes,
    /// Most replicas at the same time.
    pub max_replicas: u32,
}

/// Resource needs of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterSpec {
    /// Base model.
    pub model: Name,
    /// Accelerator memory, in bytes.
    pub bytes: u64,
}

/// Expected load times at full speed, by the location of the checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadTimes {
    /// From the server's main memory.
    pub memory: Duration,
    /// From the server's disk.
    pub disk: Duration,
    /// From the weight store.
    pub remote: Duration,
}

impl LoadTimes {
    /// Returns the expected load time from `level`.
    pub fn at(&self, level: CacheLevel) -> Duration {
        match level {
            CacheLevel::Memory => self.memory,
            CacheLevel::Disk => self.disk,
            CacheLevel::Remote => self.remote,
        }
    }
}
