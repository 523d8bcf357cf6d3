//! Events that processes record; the timeline tool merges them over all processes.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::TraceId;

/// Classifies an event. Serialized in kebab case, as the timeline tool reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// An entry process accepted a request for processing.
    RequestAdmitted,
    /// A dispatcher put a request into a model's queue.
    RequestQueued,
    /// A dispatcher assigned a request to a replica and issued a ticket.
    RequestDispatched,
    /// The first token of a response arrived.
    FirstToken,
    /// The complete response was sent to the caller.
    RequestFinished,
    /// The request was refused; it did not run.
    RequestRefused,
    /// The request failed after it was sent, or its outcome is unknown.
    RequestFailed,
    /// An open stream was closed because its API key was withdrawn.
    StreamCut,
    /// The pool ordered a backend server to load a model or adapter.
    LoadOrdered,
    /// A backend server finished loading a model or adapter.
    LoadFinished,
    /// Loading a model or adapter failed.
    LoadFailed,
    /// The pool ordered a backend server to unload a model or adapter.
    UnloadOrdered,
    /// A backend server confirmed an unload.
    UnloadFinished,
    /// The process gained authority: it may act for the shards that it owns.
    AuthorityGained,
    /// The process lost authority and stopped acting for its shards.
    AuthorityLost,
    /// A guardian, the host that monitors another one, declared that host dead.
    HostDeclaredDead,
    /// A host chose another guardian.
    GuardianChanged,
    /// The process became the owner of a shard.
    ShardAcquired,
    /// The process handed a shard over or lost it.
    ShardReleased,
    /// A revision of a service's configuration document became active.
    DocumentInForce,
    /// The process became ready to take requests.
    ProcessReady,
    /// The process began a graceful shutdown.
    ProcessStopping,
    /// The key-value service became unreachable or reachable again.
    ServiceContact,
    /// A backend server entered or left the pool.
    ServerChanged,
}

/// Records one event of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventRecord {
    /// Position in the process's sequence of events, from 1; a gap means that the ring buffer overwrote events.
    pub sequence: u64,
    /// Wall clock of the process in microseconds since the Unix epoch. Clocks of hosts differ.
    pub at_us: u64,
    /// Name of the process, for example `entry/wien-a-1`.
    pub process: Name,
    /// Class of the event.
    pub kind: EventKind,
    /// Trace id of the request; `None` if the event belongs to no request.
    pub trace_id: Option<TraceId>,
    /// Name of the model, client account, shard, host or backend server that the event concerns.
    pub subject: Name,
    /// Further detail. Must hold no API keys and no parts of request or response bodies.
    pub detail: Name,
}
