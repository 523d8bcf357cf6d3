//! Messages to the dispatcher of a model, which queues requests and assigns them to replicas.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::HostId;
use crate::Incarnation;
use crate::Name;
use crate::RequestId;
use crate::TicketId;
use crate::TraceId;

/// Orders waiting requests: a lower value is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Interactive: a person waits for the answer.
    Urgent,
    /// Used when the request names no class.
    #[default]
    Normal,
    /// Background work that may wait until close to its own long deadline.
    Batch,
}

/// Asks for a replica to run a request on.
///
/// The reply is delayed until a replica is free or the request can no longer meet its deadline.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// Identifies the request; a repeat with the same id gets the same ticket.
    pub request_id: RequestId,
    /// Trace id that the request's events carry.
    pub trace_id: TraceId,
    /// Host of the entry process that sends this; its tickets are reclaimed when the host is declared dead.
    pub host: HostId,
    /// Service whose document defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Adapter to apply; `None` runs the base model alone.
    pub adapter: Option<Name>,
    /// Client account that the request runs for.
    pub account: Name,
    /// Priority class, which orders the queue.
    pub class: PriorityClass,
    /// Time left until the request's deadline. Sent as a duration, because clocks of hosts differ.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_in_ms")]
    pub deadline_in: Duration,
    /// Cost for fair queueing, in tokens: prompt plus the largest output allowed.
    pub tokens: u64,
    /// Data centre of the host that sends this; nearer replicas are preferred.
    pub place: Name,
    /// Hash of the prompt's first block; steers requests with equal hashes to the replica that has the prefix cached.
    pub prefix_hash: u64,
    /// Backend servers that already failed this request and must not be chosen again.
    pub excluded: Vec<Name>,
}

/// Permits one request to run on one replica; returned with a [`ReleaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchTicket {
    /// Identifies the ticket in the dispatcher.
    pub ticket_id: TicketId,
    /// Backend server to send the request to.
    pub server: Name,
    /// IP address and port of the backend server.
    pub address: Name,
    /// Incarnation of the dispatcher's process that issued the ticket.
    pub incarnation: Incarnation,
    /// True if the request waited until the model was loaded (a cold start).
    pub cold: bool,
}

/// Answers a [`DispatchRequest`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchReply {
    /// A replica is reserved: send the request to the ticket's backend server.
    Granted(DispatchTicket),
    /// The request was not run and holds no replica.
    Refused {
        /// Why the request was refused.
        reason: RefusalReason,
        /// Time after which a new attempt may succeed.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "retry_after_ms")]
        retry_after: Duration,
    },
    /// The receiver does not own the model's shard; the sender must look up the owner again.
    NotOwner,
}

/// States why a request was refused without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The model's queue is full, or another request displaced this one.
    QueueFull,
    /// No replica can be free, or loaded, before the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The service's active configuration does not define the model or adapter.
    UnknownModel,
    /// The service's active configuration no longer defines the client account.
    AccountWithdrawn,
}

/// Returns a ticket to the dispatcher, so that the replica can take the next request.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Service whose document defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Ticket to return; returning it twice changes nothing.
    pub ticket_id: TicketId,
    /// How the request ended.
    pub outcome: ReleaseOutcome,
    /// Tokens that the request used: prompt plus output.
    pub tokens: u64,
    /// Time from sending the request to its first token; `None` if no token arrived.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: Option<Duration>,
}

/// States how a dispatched request ended, which the dispatcher counts as a success or failure of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseOutcome {
    /// The complete response arrived.
    Finished,
    /// The caller closed the connection before the response was complete.
    Cancelled,
    /// The connection to the backend server failed; no byte of the request was sent.
    ConnectFailed,
    /// The backend server failed after the request was sent; it may have run.
    ServerFailed,
}
