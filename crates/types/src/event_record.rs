//! Events that make up the time line over all processes.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::TraceId;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// An entry process accepted a request for processing.
    RequestAdmitted,
    /// A dispatcher queued a request.
    RequestQueued,
    /// A dispatcher issued a ticket.
    RequestDispatched,
    /// The first token of an answer arrived.
    FirstToken,
    /// The whole answer was sent.
    RequestFinished,
    /// The request was refused; it did not run.
    RequestRefused,
    /// The request failed after it was sent, or its outcome is unknown.
    RequestFailed,
    /// An open stream was cut because its key was withdrawn.
    StreamCut,
    /// The pool ordered a load.
    LoadOrdered,
    /// A load finished.
    LoadFinished,
    /// A load failed.
    LoadFailed,
    /// The pool ordered an unload.
    UnloadOrdered,
    /// An unload was confirmed.
    UnloadFinished,
    /// The process gained authority.
    AuthorityGained,
    /// The process lost authority.
    AuthorityLost,
    /// A guardian declared a host dead.
    HostDeclaredDead,
    /// A host appointed another guardian.
    GuardianChanged,
    /// A shard was acquired.
    ShardAcquired,
    /// A shard was handed over or lost.
    ShardReleased,
    /// A document revision came into force.
    DocumentInForce,
    /// The process became ready.
    ProcessReady,
    /// The process began a graceful shutdown.
    ProcessStopping,
    /// The key-value service became unreachable or reachable again.
    ServiceContact,
    /// A backend server entered or left the pool.
    ServerChanged,
}

/// One event in one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventRecord {
    /// Position in the process's stream; gaps show that the ring buffer overflowed.
    pub sequence: u64,
    /// Wall clock of the process, microseconds since the Unix epoch.
    pub at_us: u64,
    /// Process, for example `entry/wien-a-1`.
    pub process: Name,
    /// What happened.
    pub kind: EventKind,
    /// Trace id of the request, if the event belongs to one.
    pub trace_id: Option<TraceId>,
    /// What the event is about: model, account, shard or host.
    pub subject: Name,
    /// Further detail, free of keys and bodies.
    pub detail: Name,
}
