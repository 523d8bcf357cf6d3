use std::time::Duration;

use zinniahinge_types::DispatchReply;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::RequestId;

/// What became of one queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request may run.
    Granted {
        /// Request.
        request_id: RequestId,
        /// Where and under which ticket.
        ticket: DispatchTicket,
    },
    /// The request does not run.
    Refused {
        /// Request.
        request_id: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When a new attempt makes sense.
        retry_after: Duration,
    },
}

impl DispatchDecision {
    /// Request that the decision is about.
    pub fn request_id(&self) -> RequestId {
        match self {
            Self::Granted { request_id, .. } | Self::Refused { request_id, .. } => *request_id,
        }
    }

    /// Message for the asking host.
    pub fn into_reply(self) -> DispatchReply {
        match self {
            Self::Granted { ticket, .. } => DispatchReply::Granted(ticket),
            Self::Refused {
                reason,
                retry_after,
                ..
            } => DispatchReply::Refused {
                reason,
                retry_after,
            },
        }
    }
}
