use std::net::SocketAddr;

use zinniahinge_types::Name;

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendPhase {
    /// Takes requests.
    Ready,
    /// Leaves; takes no new requests.
    Leaving,
}

/// A model on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Model.
    pub model: Name,
    /// Its adapters.
    pub adapters: Vec<Name>,
}

/// What a backend server last said of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Id of this run of the server; mostly a new one at each start.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub place: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub phase: BackendPhase,
    /// Start of this run, milliseconds since the Unix epoch. Tells two runs under one id apart.
    pub born_ms: u64,
    /// Grows with each report of one run.
    pub sequence: u64,
    /// Models that it holds.
    pub held: Vec<HeldModel>,
    /// Models with a copy in its main memory.
    pub memory_copies: Vec<Name>,
    /// Models with a copy on its disk.
    pub disk_copies: Vec<Name>,
}

impl BackendEntry {
    /// True if `other` was said later by this server.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.born_ms, self.sequence) < (other.born_ms, other.sequence)
    }

    /// True if requests are sent to `other` as to this entry. What the server holds doesn't matter: the coordinating
    /// host tells it to all hosts.
    pub fn has_same_routing(&self, other: &Self) -> bool {
        let key = |entry: &Self| (entry.address, entry.slots, entry.phase, entry.born_ms);
        key(self) == key(other) && self.service == other.service && self.place == other.place
    }
}
