use std::time::Duration;

use zinniahinge_types::DispatchTicket;
use zinniahinge_types::RefusalReason;

/// Immediate result of [`crate::ModelDispatcher::enqueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request is queued; [`crate::ModelDispatcher::poll`] returns its decision.
    Queued,
    /// The same request is already queued.
    AlreadyQueued,
    /// The same request was granted before; this is its ticket.
    Granted(DispatchTicket),
    /// The request is refused and must not run.
    Refused {
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
}
