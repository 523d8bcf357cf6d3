use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Where a checkpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheLevel {
    /// In the memory of the engine's host.
    Memory,
    /// On the disk of the engine's host.
    Disk,
    /// Only in the weight store.
    Remote,
}

impl FromStr for CacheLevel {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "memory" => Ok(Self::Memory),
            "disk" => Ok(Self::Disk),
            "remote" => Ok(Self::Remote),
            _ => Err(format!("no cache level {s}")),
        }
    }
}

/// What an engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingMode {
    /// Refuses it with status 409.
    Honour,
    /// Obeys it.
    Ignore,
}

impl FromStr for FencingMode {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "honour" => Ok(Self::Honour),
            "ignore" => Ok(Self::Ignore),
            _ => Err(format!("no fencing mode {s}")),
        }
    }
}

/// Settings of the model engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Memory for models and adapters.
    pub memory_capacity_bytes: u64,
    /// Whether a load beyond the capacity is refused; otherwise it is recorded.
    pub memory_check: bool,
    /// What happens to old fencing numbers.
    pub fencing: FencingMode,
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Time to the first token without a cached prefix.
    pub first_token_time: Duration,
    /// Time to the first token with a cached prefix.
    pub cached_first_token_time: Duration,
    /// Time between tokens.
    pub token_time: Duration,
    /// Share of the token limit that answers use, above 0 and up to 1.
    pub answer_share: f64,
    /// Time of a load from the host's memory.
    pub memory_load_time: Duration,
    /// Time of a load from the host's disk.
    pub disk_load_time: Duration,
    /// Time of a load from remote without a weight store.
    pub remote_load_time: Duration,
    /// Time of an adapter load without a weight store.
    pub adapter_load_time: Duration,
    /// Time of an unload.
    pub unload_time: Duration,
    /// Weight store.
    pub store: Option<SocketAddr>,
    /// Cache level by checkpoint (`model@version`) at the start.
    pub cached: BTreeMap<String, CacheLevel>,
    /// Unloaded checkpoints that stay in the host's memory.
    pub memory_checkpoints: usize,
    /// Prefixes that the prefix cache holds.
    pub prefix_entries: usize,
    /// Age that the load figures in `/v1/state` may have.
    pub report_lag: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            memory_capacity_bytes: 80_000_000_000,
            memory_check: false,
            fencing: FencingMode::Honour,
            slots: 4,
            first_token_time: Duration::from_millis(20),
            cached_first_token_time: Duration::from_millis(5),
            token_time: Duration::from_millis(2),
            answer_share: 1.0,
            memory_load_time: Duration::from_millis(50),
            disk_load_time: Duration::from_millis(300),
            remote_load_time: Duration::from_millis(1_000),
            adapter_load_time: Duration::from_millis(8),
            unload_time: Duration::from_millis(5),
            store: None,
            cached: BTreeMap::new(),
            memory_checkpoints: 2,
            prefix_entries: 64,
            report_lag: Duration::ZERO,
        }
    }
}
