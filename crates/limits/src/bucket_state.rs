use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::GrantId;

use crate::BucketLimits;

/// State of a [`TokenBucket`](crate::TokenBucket) during a planned handover.
///
/// Holds no clock reading, because monotonic clocks of two processes cannot be compared. Time that
/// passes between export and import is credited to nobody.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketState {
    /// Limits at the time of the export.
    pub limits: BucketLimits,
    /// What the bucket lacks to be full, oldest first.
    pub debts: Vec<DebtRecord>,
    /// Remembered grants, first to expire first.
    pub grants: Vec<GrantRecord>,
    /// Sequence number of the next grant.
    pub next_sequence: u64,
}

/// Part of what the bucket lacks to be full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DebtRecord {
    /// Sequence number of the grant that caused it.
    pub sequence: u64,
    /// Micro-tokens.
    pub micro_tokens: u64,
}

/// A remembered grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// Identifies the charge.
    pub grant_id: GrantId,
    /// Position among all grants of the bucket.
    pub sequence: u64,
    /// Tokens charged.
    pub tokens: u64,
    /// Tokens left when the grant was issued.
    pub remaining: u64,
    /// True after a refund.
    pub settled: bool,
    /// Time until the grant is forgotten.
    pub expires_in: Duration,
}
