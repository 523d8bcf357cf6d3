use serde::Deserialize;
use serde::Serialize;

/// Nearest storage from which a backend server can load a checkpoint, the fastest first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum CacheLevel {
    /// In the server's main memory.
    Memory,
    /// On the server's disk.
    Disk,
    /// Only in the weight store.
    #[default]
    Remote,
}
