//! Messages between a model's dispatcher and the owner of the service's pool, which decides what is loaded where.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::Name;
use crate::PriorityClass;

/// Reports the demand for a model to the pool and asks for the model's replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemandRequest {
    /// Service whose document defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Version of the newest replica list that the dispatcher applied.
    pub applied_version: u64,
    /// Waiting requests, with one entry for each adapter and one for the base model alone.
    pub waiting: Vec<AdapterDemand>,
    /// Requests in flight per backend server, counted after `applied_version` was applied.
    pub in_flight: Vec<InFlightCount>,
    /// Requests that arrived since the last report. The pool derives from them how long to keep an idle model loaded.
    pub arrivals: u64,
}

/// Sums up the requests that wait for one adapter, or for the base model alone.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterDemand {
    /// Adapter; `None` for the base model alone.
    pub adapter: Option<Name>,
    /// Number of waiting requests.
    pub count: u32,
    /// Most urgent priority class among them.
    pub class: PriorityClass,
    /// Client account of the request that has waited longest.
    pub account: Name,
    /// Shortest time left until the deadline of any of them.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_in_ms")]
    pub deadline_in: Duration,
    /// Longest time that any of them has waited.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "waited_ms")]
    pub waited: Duration,
}

/// Counts a dispatcher's requests in flight on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCount {
    /// Backend server.
    pub server: Name,
    /// Tickets that were issued and not yet returned.
    pub count: u32,
}

/// Answers a [`DemandRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DemandReply {
    /// Complete list of the model's replicas. The dispatcher sends no new request to a replica that is not on it.
    Replicas {
        /// Version of the list, which grows with each change; the dispatcher ignores an older list.
        version: u64,
        /// All replicas that may get requests.
        replicas: Vec<ReplicaEntry>,
    },
    /// The receiver does not own the pool's shard; the sender must look up the owner again.
    NotOwner,
}

/// Describes one backend server that has a base model loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// Backend server.
    pub server: Name,
    /// IP address and port.
    pub address: Name,
    /// Data centre of the backend server.
    pub place: Name,
    /// Number of requests that the replica runs at the same time.
    pub slots: u32,
    /// Adapters that are loaded on the replica.
    pub adapters: Vec<Name>,
    /// Whether the replica takes new requests.
    pub phase: ReplicaPhase,
    /// Requests running on the backend server according to its last load report, which lags behind.
    pub reported_load: u32,
}

/// States whether a dispatcher may send new requests to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaPhase {
    /// Takes new requests.
    Ready,
    /// Finishes running requests and takes no new ones, because it will be unloaded.
    Draining,
}
