use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use zinniahinge_types::RequestId;
use zinniahinge_types::StoredAnswer;

use crate::IdempotencyKey;

/// What is known about a recorded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordPhase {
    /// The record is being made durable; the request has not run.
    Recording,
    /// The request was allowed to run.
    Running,
    /// It ran, with this answer.
    Answered(Arc<StoredAnswer>),
    /// It ran; its answer was not kept.
    AnswerNotKept,
    /// It may have run.
    Unknown,
}

/// One idempotency record, as made durable and as handed over.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// Account and key.
    pub key: IdempotencyKey,
    /// SHA-256 over method, route and body.
    #[serde_as(as = "Hex")]
    pub fingerprint: [u8; 32],
    /// Attempt that may run the request; `None` if records of several attempts were found.
    pub attempt: Option<RequestId>,
    /// Time since the first use. A reader that does not know it uses zero.
    pub age: Duration,
    /// What is known.
    pub phase: RecordPhase,
}

/// State of an [`IdempotencyTable`](crate::IdempotencyTable) during a planned handover.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyState {
    /// Records that are inside the window, oldest first.
    pub records: Vec<IdempotencyRecord>,
    /// Time for which keys that are not in `records` cannot be ruled out.
    pub in_doubt_for: Duration,
}
