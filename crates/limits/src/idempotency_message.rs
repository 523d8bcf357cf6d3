use std::sync::Arc;

use zinniahinge_types::Name;
use zinniahinge_types::StoredAnswer;

/// Identifies an idempotency record. Equal keys of two client accounts are independent.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct IdempotencyKey {
    /// Client account that sent the request.
    pub account: Name,
    /// Value of the `Idempotency-Key` header.
    pub key: Name,
}

impl IdempotencyKey {
    /// Combines the client account with the value of the header.
    pub fn new(account: &Name, key: &Name) -> Self {
        Self {
            account: account.clone(),
            key: key.clone(),
        }
    }
}

/// Says whether a request with an idempotency key may run, or which response it gets instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision {
    /// The key is new. The caller makes the record durable, calls `confirm_recorded`, and lets the request run only if
    /// that call answers `Run`.
    Record,
    /// The same attempt asked before and its record is durable, so the request may run. The sender repeats a message
    /// only if it has seen no reply to it, so it has not run the request yet.
    Run,
    /// The same attempt asked before and its record is still being written; reply once that write has ended.
    AwaitRecord,
    /// The request ran, and this is its stored response.
    Stored(Arc<StoredAnswer>),
    /// The request ran, but its response exceeded a size limit and was not stored.
    RanAnswerNotKept,
    /// Another attempt holds the key and has not finished.
    InProgress,
    /// The request may have run, so it must not run again.
    OutcomeUnknown,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// The key is new and the table is full: the request is refused without running.
    Full,
    /// The table was exported in a handover; another process decides from now on.
    Frozen,
}

/// Says whether an attempt may run after its record was made durable.
///
/// Returned by [`confirm_recorded`](crate::IdempotencyTable::confirm_recorded).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedDecision {
    /// The request may run.
    Run,
    /// The attempt no longer holds the key; reply that the request was not run.
    Withdrawn,
    /// The table was exported, and the next owner does not know the attempt; reply that this process is not the owner.
    Frozen,
}

/// Reports how a request with an idempotency key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The request ran and gave this response.
    Answer(StoredAnswer),
    /// The request was sent, and its outcome or response is unknown.
    Unknown,
}
