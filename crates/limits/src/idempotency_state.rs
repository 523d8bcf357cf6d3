use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use zinniahinge_types::RequestId;
use zinniahinge_types::StoredAnswer;

use crate::IdempotencyKey;

/// Says how far a recorded request has got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordPhase {
    /// The record is being made durable; the request has not run.
    Recording,
    /// The record is durable and the request was allowed to run.
    Running,
    /// The request ran and gave this response.
    Answered(Arc<StoredAnswer>),
    /// The request ran; its response exceeded a size limit and was not stored.
    AnswerNotKept,
    /// The request may have run.
    Unknown,
}

/// Describes one use of an idempotency key, in the form that is stored durably and handed over.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// Client account and the key that it sent.
    pub key: IdempotencyKey,
    /// SHA-256 over method, route and body.
    #[serde_as(as = "Hex")]
    pub fingerprint: [u8; 32],
    /// Attempt that may run the request; `None` if records of several attempts were found.
    pub attempt: Option<RequestId>,
    /// Time since the first use of the key. A reader that does not know it passes zero, which keeps the key longest.
    pub age: Duration,
    /// Progress of the request.
    pub phase: RecordPhase,
}

/// Carries an [`IdempotencyTable`](crate::IdempotencyTable) from one owner to the next in a planned handover.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyState {
    /// Records inside the window, oldest first.
    pub records: Vec<IdempotencyRecord>,
    /// Time for which a key that is not in `records` may still have been used; zero if `records` is complete.
    pub in_doubt_for: Duration,
}
