use std::time::Duration;

/// Answer to a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeDecision {
    /// The tokens were taken from the bucket, now or by an earlier charge with the same id.
    Granted {
        /// Tokens left in the bucket when the grant was issued.
        remaining: u64,
    },
    /// The bucket holds too few tokens; nothing was taken.
    Wait {
        /// Time until the bucket covers the charge if nothing else is charged.
        ready_in: Duration,
        /// Tokens left in the bucket.
        remaining: u64,
    },
    /// The charge is larger than the bucket and can never be covered.
    TooLarge,
    /// The id was settled already, or was granted for fewer tokens. The request must not run
    /// under this id, because its tokens would not be counted.
    IdReused,
}
