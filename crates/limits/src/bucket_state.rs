use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::GrantId;

use crate::BucketLimits;

/// Carries a [`TokenBucket`](crate::TokenBucket) from one owner to the next in a planned handover.
///
/// It holds no clock reading, because the monotonic clocks of two processes cannot be compared. The account earns no
/// tokens between export and import.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketState {
    /// Rate and burst at the time of the export.
    pub limits: BucketLimits,
    /// Tokens missing from a full bucket, split by grant, oldest first.
    pub debts: Vec<DebtRecord>,
    /// Grants kept for refunds and repeats, in the order of expiry.
    pub grants: Vec<GrantRecord>,
    /// Sequence number of the next debt entry or grant.
    pub next_sequence: u64,
}

/// Counts the tokens that one grant left missing from a full bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DebtRecord {
    /// Sequence number of the grant that caused the debt.
    pub sequence: u64,
    /// Missing amount in micro-tokens.
    pub micro_tokens: u64,
}

/// Describes a grant that is kept for refunds and repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// Id under which the tokens were charged.
    pub grant_id: GrantId,
    /// Sequence number of the grant in its bucket.
    pub sequence: u64,
    /// Tokens charged.
    pub tokens: u64,
    /// Tokens left in the bucket when the grant was issued; a repeat is answered with the same value.
    pub remaining: u64,
    /// True after a refund: the entry only stops the id from being granted again.
    pub settled: bool,
    /// Time until the entry expires.
    pub expires_in: Duration,
}
