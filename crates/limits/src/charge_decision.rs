use std::time::Duration;

/// Says whether a charge was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeDecision {
    /// The tokens were taken from the bucket, by this charge or an earlier one with the same id.
    Granted {
        /// Tokens left in the bucket when the grant was issued.
        remaining: u64,
    },
    /// The bucket holds too few tokens; nothing was taken.
    Wait {
        /// Time until the bucket covers the charge, if nothing else is charged meanwhile.
        ready_in: Duration,
        /// Tokens in the bucket.
        remaining: u64,
    },
    /// The charge exceeds the burst, so no wait would help.
    TooLarge,
    /// The id is settled, or was granted for fewer tokens. The request must not run under this id, because its tokens
    /// would not be counted.
    IdReused,
}
