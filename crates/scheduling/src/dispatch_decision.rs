use std::time::Duration;

use zinniahinge_types::DispatchReply;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::RequestId;

/// Final decision about one queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request may run.
    Granted {
        /// Request.
        request_id: RequestId,
        /// Ticket, which names the backend server.
        ticket: DispatchTicket,
    },
    /// The request is refused and must not run.
    Refused {
        /// Request.
        request_id: RequestId,
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
}

impl DispatchDecision {
    /// Returns the request that was decided.
    pub fn request_id(&self) -> RequestId {
        match self {
            Self::Granted { request_id, .. } | Self::Refused { request_id, .. } => *request_id,
        }
    }

    /// Converts the decision into the reply to the host that sent the request.
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
