//! Messages to the dispatcher of a model.

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

/// Order of service between requests; lower is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// A person waits for the answer.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// May wait until its own long deadline.
    Batch,
}

/// Asks for a replica to run a request on. The answer comes when one is free or the deadline nears.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// Identifies the request; a repeat with the same id gets the same ticket.
    pub request_id: RequestId,
    /// Trace id for events.
    pub trace_id: TraceId,
    /// Host whose entry process asks; its tickets are reclaimed when the host is declared dead.
    pub host: HostId,
    /// Service whose document defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Adapter on the base model.
    pub adapter: Option<Name>,
    /// Client account that the request runs for.
    pub account: Name,
    /// Priority class.
    pub class: PriorityClass,
    /// Time left until the request's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_in_ms")]
    pub deadline_in: Duration,
    /// Cost for fair queueing, in tokens: prompt plus largest output.
    pub tokens: u64,
    /// Place of the asking host.
    pub place: Name,
    /// Hash of the prompt's first block, for prefix cache affinity.
    pub prefix_hash: u64,
    /// Backend servers that failed this request and are not tried again.
    pub excluded: Vec<Name>,
}

/// Permission to run one request on one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchTicket {
    /// Identifies the ticket.
    pub ticket_id: TicketId,
    /// Backend server.
    pub server: Name,
    /// IP address and port of the backend server.
    pub address: Name,
    /// Incarnation of the dispatcher's process.
    pub incarnation: Incarnation,
    /// True if the request waited for a load.
    pub cold: bool,
}

/// Answer to a [`DispatchRequest`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchReply {
    /// Send the request to the ticket's backend server.
    Granted(DispatchTicket),
    /// The request was not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When a new attempt makes sense.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "retry_after_ms")]
        retry_after: Duration,
    },
    /// This process does not own the model's shard now; look the owner up again.
    NotOwner,
}

/// Why a request was refused without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The model or adapter is not in the document in force.
    UnknownModel,
    /// The client account is no longer in the document in force.
    AccountWithdrawn,
}

/// Returns a ticket.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Service whose document defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Ticket that is returned.
    pub ticket_id: TicketId,
    /// How the request ended.
    pub outcome: ReleaseOutcome,
    /// Tokens that were used.
    pub tokens: u64,
    /// Time from sending to the first token, if one came.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: Option<Duration>,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseOutcome {
    /// The whole answer arrived.
    Finished,
    /// The caller left.
    Cancelled,
    /// The backend server could not be reached; nothing was sent.
    ConnectFailed,
    /// The backend server failed after the request was sent.
    ServerFailed,
}
