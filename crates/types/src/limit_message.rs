//! Messages to the host that owns a token bucket or an idempotency record.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::GrantId;
use crate::Name;
use crate::RequestId;

/// Asks the owner of a client account's token bucket to charge a request before it runs.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChargeRequest {
    /// Service whose document defines the account.
    pub service: Name,
    /// Client account to charge.
    pub account: Name,
    /// Identifies the charge; a repeat with the same id is counted once.
    pub grant_id: GrantId,
    /// Tokens to charge: prompt plus the largest output allowed.
    pub tokens: u64,
    /// Longest time that the request can wait for the bucket to refill.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
}

/// Answers a [`ChargeRequest`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeReply {
    /// The tokens were taken from the bucket.
    Granted {
        /// Tokens left in the bucket.
        remaining: u64,
        /// Capacity of the bucket in tokens.
        burst: u64,
    },
    /// The bucket cannot cover the charge within `max_wait`; nothing was taken.
    Refused {
        /// Time until the bucket can cover the charge.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "retry_after_ms")]
        retry_after: Duration,
        /// Tokens left in the bucket.
        remaining: u64,
        /// Capacity of the bucket in tokens.
        burst: u64,
    },
    /// The receiver does not own the account's shard; the sender must look up the owner again.
    NotOwner,
}

/// Returns the unused part of a charge once the request has ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefundRequest {
    /// Service whose document defines the account.
    pub service: Name,
    /// Client account that was charged.
    pub account: Name,
    /// Charge to settle. A second refund of the same charge is ignored.
    pub grant_id: GrantId,
    /// Charged tokens that were not used, at most the charged amount.
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
    /// SHA-256 of method, route and body. A later request with the same key must match it.
    #[serde_as(as = "Hex")]
    pub fingerprint: [u8; 32],
    /// Request that claims the key. This message may be sent again with the same id and gets the same answer.
    pub request_id: RequestId,
}

/// Answers a [`BeginRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginReply {
    /// First use of the key: the sender may send the request to a backend server once.
    Run,
    /// The request ran; the sender returns this stored response instead of running it again.
    Stored(StoredAnswer),
    /// The request ran; its response was too large to keep.
    AnswerNotKept,
    /// The first request with the key is still running.
    InProgress,
    /// The request may have run, but its response is lost. It must not be run again.
    OutcomeUnknown,
    /// The key was used before with a different fingerprint.
    Mismatch,
    /// The owner cannot store the record durably now, so the request must not run.
    Unavailable,
    /// The receiver does not own the key's shard; the sender must look up the owner again.
    NotOwner,
}

/// Holds a backend server's response, which is returned to repeated requests with the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: Name,
    /// Complete response body.
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
    /// Fingerprint sent in the [`BeginRequest`].
    #[serde_as(as = "Hex")]
    pub fingerprint: [u8; 32],
    /// Request that claimed the key.
    pub request_id: RequestId,
    /// Response to store. `None` with `ran` true: the outcome is unknown. `None` with `ran` false: the request was
    /// never sent.
    pub answer: Option<StoredAnswer>,
    /// Whether the request may have run. False only if no byte of it was written to a backend server, which frees the
    /// key.
    pub ran: bool,
}
