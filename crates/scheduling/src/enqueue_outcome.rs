use std::time::Duration;

use zinniahinge_types::DispatchTicket;
use zinniahinge_types::RefusalReason;

/// Immediate result of [`crate::ModelDispatcher::enqueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request waits; the decision comes from [`crate::ModelDispatcher::poll`].
    Queued,
    /// The same request waits already.
    AlreadyQueued,
    /// The same request was granted before; this is its ticket.
    Granted(DispatchTicket),
    /// The request does not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When a new attempt makes sense.
        retry_after: Duration,
    },
}
