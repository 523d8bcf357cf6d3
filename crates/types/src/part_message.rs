//! Messages about prompt parts that crash the backend servers which process them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::HostId;
use crate::Name;

/// What one host reports about the prompt parts of its requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartReport {
    /// Requests that broke off before their answer was under way, since the coordinator's last answer.
    pub cut: Vec<CutRequest>,
    /// Shared parts of requests whose answer got under way, since the coordinator's last answer, and the same parts combined
    /// with model and adapter.
    pub progressed: Vec<PartProgress>,
    /// Number of these requests.
    pub progressed_requests: u32,
    /// Blocked parts of requests that the host refused since the coordinator's last answer.
    pub refused: Vec<u64>,
    /// Version of the blocked parts that the host knows; 0 for none.
    pub blocked_version: u64,
    /// The blocked parts that it knows, for a coordinator that has not answered it yet.
    pub prior_blocked: Option<BlockedParts>,
}

/// A request whose connection to the backend server ended before the answer was under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CutRequest {
    /// Id of the caller's attempt.
    pub attempt_id: Name,
    /// Backend server.
    pub backend: Name,
    /// Address of the backend server. A server that starts again has another id at the same address.
    pub address: SocketAddr,
    /// Time since then, milliseconds.
    pub age_ms: u64,
    /// Ids of the parts of its prompt that other requests may share, in order.
    pub parts: Vec<u64>,
    /// Ids of the same parts combined with the request's model and adapter, in the same order; empty without a model.
    #[serde(default)]
    pub model_parts: Vec<u64>,
}

/// A prompt part in a request whose answer got under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartProgress {
    /// Id of the part, alone or combined with model and adapter.
    pub part: u64,
    /// Time since the last such request, milliseconds.
    pub age_ms: u64,
}

/// Prompt parts whose requests are refused because they crash backend servers. Sent to the hosts and kept in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedParts {
    /// Grows with each change, over all coordinators.
    pub version: u64,
    /// The parts, by id.
    pub parts: Vec<BlockedPart>,
}

/// A prompt part whose requests are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedPart {
    /// Id of the part, alone or combined with model and adapter.
    pub part: u64,
    /// Number of trials that failed since it was blocked.
    pub failed_trials: u32,
    /// Time until the next trial, as of this version, milliseconds.
    pub next_trial_ms: u64,
    /// Host that may send one request with the part, to find out whether it still crashes servers.
    pub trial_host: Option<HostId>,
}

impl BlockedParts {
    /// The entry of a part; `None` if it is not blocked.
    pub fn find(&self, part: u64) -> Option<&BlockedPart> {
        let index = self.parts.binary_search_by_key(&part, |entry| entry.part);
        index.ok().and_then(|index| self.parts.get(index))
    }
}
