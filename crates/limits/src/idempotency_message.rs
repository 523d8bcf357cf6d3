use std::sync::Arc;

use zinniahinge_types::Name;
use zinniahinge_types::StoredAnswer;

/// Identifies an idempotency record: the keys of two accounts are independent.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct IdempotencyKey {
    /// Client account that sent the key.
    pub account: Name,
    /// Value of the `Idempotency-Key` header.
    pub key: Name,
}

impl IdempotencyKey {
    /// The key `key` of `account`.
    pub fn new(account: &Name, key: &Name) -> Self {
        Self {
            account: account.clone(),
            key: key.clone(),
        }
    }
}

/// Answer to the start of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision {
    /// First use. The caller makes the record durable, calls `confirm_recorded`, and only then lets the
    /// request run.
    Record,
    /// The same attempt asked before and its record is durable: let the request run. Its sender
    /// repeats a question only when it has seen no answer, so it has not run the request.
    Run,
    /// The same attempt asked before and its record is being written: answer as that write ends.
    AwaitRecord,
    /// The request ran; this is its answer.
    Stored(Arc<StoredAnswer>),
    /// The request ran; its answer was too large to keep.
    RanAnswerNotKept,
    /// Another attempt has not finished.
    InProgress,
    /// The request may have run.
    OutcomeUnknown,
    /// The key was used for a different request.
    Mismatch,
    /// The table is full and the key is new: the request is refused and was not run.
    Full,
    /// The table was exported; another process decides now.
    Frozen,
}

/// Answer to [`confirm_recorded`](crate::IdempotencyTable::confirm_recorded).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedDecision {
    /// Let the request run.
    Run,
    /// The attempt no longer holds the key: answer "not run".
    Withdrawn,
    /// The table was exported: answer "not owner". The successor does not know the attempt.
    Frozen,
}

/// How a request with an idempotency key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishOutcome {
    /// It ran, with this answer.
    Answer(StoredAnswer),
    /// It was sent, and its outcome or its answer is unknown.
    Unknown,
}
