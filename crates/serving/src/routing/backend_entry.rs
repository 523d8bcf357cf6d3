use std::net::SocketAddr;
use std::time::Duration;

use zinniahinge_types::BackendRun;
use zinniahinge_types::Name;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendPhase {
    /// Accepts new requests.
    Ready,
    /// Draining: finishes its requests and accepts no new ones.
    Leaving,
}

/// A model that is loaded on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: Name,
    /// Adapters of the model that are loaded.
    pub adapters: Vec<Name>,
}

/// The latest record that a backend server published about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Id of the server, usually a new one for each run.
    pub id: Name,
    /// Service that the server belongs to.
    pub service: Name,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub place: Name,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub phase: BackendPhase,
    /// Start of this run, milliseconds since the Unix epoch. Distinguishes two runs under one id.
    pub born_ms: u64,
    /// Version of the record; grows with each one of the same run.
    pub sequence: u64,
    /// Time for which the server is still cold, as of the record.
    pub cold_left: Duration,
    /// Loaded models.
    pub held: Vec<HeldModel>,
    /// Models with weights cached in main memory.
    pub memory_copies: Vec<Name>,
    /// Models with weights cached on disk.
    pub disk_copies: Vec<Name>,
}

impl BackendEntry {
    /// Names the run.
    pub fn run(&self) -> BackendRun {
        BackendRun {
            backend: self.id.clone(),
            born_ms: self.born_ms,
        }
    }

    /// True if the server published `other` after this entry.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.born_ms, self.sequence) < (other.born_ms, other.sequence)
    }

    /// True if requests are sent to the server in the same way under both entries. Loaded models don't matter, because
    /// the coordinator sends them to all hosts, and neither does it that less of the same cold time is left.
    pub fn has_same_routing(&self, other: &Self) -> bool {
        if other.cold_left > self.cold_left {
            return false;
        }
        let key = |entry: &Self| (entry.address, entry.slots, entry.phase, entry.born_ms);
        key(self) == key(other) && self.service == other.service && self.place == other.place
    }
}
