//! Messages to the owner of a token bucket or an idempotency record.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::GrantId;
use crate::Name;
use crate::RequestId;

/// Asks the owner of an account's bucket for tokens.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChargeRequest {
    /// Service whose document defines the account.
    pub service: Name,
    /// Client account to charge.
    pub account: Name,
    /// Identifies the charge; a repeat with the same id is counted once.
    pub grant_id: GrantId,
    /// Tokens: prompt plus largest output.
    pub tokens: u64,
    /// How long the caller can wait for tokens.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
}

/// Answer to a [`ChargeRequest`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeReply {
    /// The tokens were taken from the bucket.
    Granted {
        /// Tokens left in the bucket.
        remaining: u64,
        /// Size of the bucket.
        burst: u64,
    },
    /// The bucket cannot cover the charge within the stated wait.
    Refused {
        /// Time until the bucket could cover the charge.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "retry_after_ms")]
        retry_after: Duration,
        /// Tokens left in the bucket.
        remaining: u64,
        /// Size of the bucket.
        burst: u64,
    },
    /// This process does not own the account's shard now; look the owner up again.
    NotOwner,
}

/// Returns the unused part of a charge.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefundRequest {
    /// Service whose document defines the account.
    pub service: Name,
    /// Client account that was charged.
    pub account: Name,
    /// Charge that is settled. A second refund of the same charge is ignored.
    pub grant_id: GrantId,
    /// Tokens that were not used, at most the charged amount.
    pub unused: u64,
}

/// Asks the owner of an idempotency key whether the request may be sent.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BeginRequest {
    /// Client account that sent the key.
    pub account: Name,
    /// Value of the `Idempotency-Key` header.
    pub key: Name,
    /// SHA-256 over method, route and body; a repeat must match it.
    #[serde_as(as = "Hex")]
    pub fingerprint: [u8; 32],
    /// Request that claims the key; a repeat of this message with the same id is answered the same.
    pub request_id: RequestId,
}

/// Answer to a [`BeginRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// First use: the request may be sent once.
    Run,
    /// The request ran; this is its answer.
    Stored(StoredAnswer),
    /// The request ran; its answer was too large to keep.
    AnswerNotKept,
    /// The first use has not finished.
    InProgress,
    /// The request may have run; its answer is lost.
    OutcomeUnknown,
    /// The key was used for a different request.
    Mismatch,
    /// The record cannot be made durable now, so the request was not run.
    Unavailable,
    /// This process does not own the key's shard now; look the owner up again.
    NotOwner,
}

/// Answer of a backend server kept for repeats of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: Name,
    /// Body bytes.
    #[serde(with = "serde_with::As::<serde_with::Bytes>")]
    pub body: Vec<u8>,
}

/// Records the result of a request that was sent under an idempotency key.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinishRequest {
    /// Client account that sent the key.
    pub account: Name,
    /// Value of the `Idempotency-Key` header.
    pub key: Name,
    /// Fingerprint given in the [`BeginRequest`].
    #[serde_as(as = "Hex")]
    pub fingerprint: [u8; 32],
    /// Request that claimed the key.
    pub request_id: RequestId,
    /// `Some`: answer to store. `None` with `ran` false: the request was never sent.
    pub answer: Option<StoredAnswer>,
    /// False only when no byte of the request was written to a backend server.
    pub ran: bool,
}
