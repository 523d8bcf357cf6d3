use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::HostId;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::RequestId;

use crate::run_estimate::RunEstimate;

/// State of a [`crate::ModelDispatcher`] for a planned handover. Times are relative, because the
/// clocks of two processes have different origins.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DispatcherState {
    /// Version of the replica list.
    pub version: u64,
    /// Replica list.
    pub replicas: Vec<ReplicaEntry>,
    /// Waiting requests in arrival order.
    pub queued: Vec<QueuedState>,
    /// Tickets that have been neither released nor expired.
    pub tickets: Vec<TicketState>,
    /// Arrivals that have not been reported to the pool planner.
    pub arrivals: u64,
    /// Moving averages of run times.
    pub(crate) estimate: RunEstimate,
}

/// A waiting request in a [`DispatcherState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueuedState {
    /// Request; `deadline_in` is the time left when the state was taken.
    pub request: DispatchRequest,
    /// Time that it has waited so far.
    pub waited: Duration,
    /// Whether no replica could serve it when it arrived.
    pub cold: bool,
}

/// A ticket in a [`DispatcherState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TicketState {
    /// Ticket.
    pub ticket: DispatchTicket,
    /// Request that it was granted to.
    pub request_id: RequestId,
    /// Host that holds it.
    pub host: HostId,
    /// Client account.
    pub account: Name,
    /// Priority class.
    pub class: PriorityClass,
    /// Tokens that were charged.
    pub tokens: u64,
    /// Time since the grant.
    pub held: Duration,
    /// Time left until it expires.
    pub expires_in: Duration,
}
