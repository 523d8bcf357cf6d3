//! Messages between a model's dispatcher and the owner of the service's pool.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::Name;
use crate::PriorityClass;

/// Reports what waits for a model and asks for its replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRequest {
    /// Service whose document defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Version of the newest replica list that the dispatcher applied.
    pub applied_version: u64,
    /// Requests waiting for the base model alone or for an adapter, one entry each.
    pub waiting: Vec<AdapterDemand>,
    /// Requests in flight per backend server, at `applied_version`.
    pub in_flight: Vec<InFlightCount>,
    /// Requests that arrived since the last report; feeds the keep-alive history.
    pub arrivals: u64,
}

/// Waiting requests for one adapter, or for the base model alone.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterDemand {
    /// Adapter; `None` for the base model.
    pub adapter: Option<Name>,
    /// Number of waiting requests.
    pub count: u32,
    /// Most urgent class among them.
    pub class: PriorityClass,
    /// Client account whose request has waited longest.
    pub account: Name,
    /// Shortest time left until a deadline among them.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_in_ms")]
    pub deadline_in: Duration,
    /// Longest wait among them.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "waited_ms")]
    pub waited: Duration,
}

/// Requests in flight on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCount {
    /// Backend server.
    pub server: Name,
    /// Tickets that are out.
    pub count: u32,
}

/// Replicas of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DemandReply {
    /// The complete list at a version. Replicas that are missing get no new request.
    Replicas {
        /// Grows with each change; an older list is ignored.
        version: u64,
        /// All replicas that may get requests.
        replicas: Vec<ReplicaEntry>,
    },
    /// This process does not own the pool's shard now; look the owner up again.
    NotOwner,
}

/// One loaded replica of a base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// Backend server.
    pub server: Name,
    /// IP address and port.
    pub address: Name,
    /// Place of the backend server.
    pub place: Name,
    /// Requests that the replica runs at once.
    pub slots: u32,
    /// Adapters that are loaded on the replica.
    pub adapters: Vec<Name>,
    /// Whether the replica takes new requests.
    pub phase: ReplicaPhase,
    /// Requests running on the backend server by its last load report, which lags.
    pub reported_load: u32,
}

/// Life cycle of a replica as a dispatcher sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaPhase {
    /// Takes new requests.
    Ready,
    /// Finishes what runs and takes nothing new.
    Draining,
}
