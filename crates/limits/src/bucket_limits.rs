use serde::Deserialize;
use serde::Serialize;

/// Micro-tokens in one token; the bucket computes in micro-tokens to avoid rounding upward.
pub(crate) const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Largest rate and burst, in tokens. Keeps micro-tokens within `u64` with room for sums.
const MAX_TOKENS: u64 = 1_000_000_000_000;

/// Rate and burst of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketLimits {
    rate: u64,
    burst: u64,
}

impl BucketLimits {
    /// Limits in tokens per second and tokens; both are capped at 10^12.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: rate.min(MAX_TOKENS),
            burst: burst.min(MAX_TOKENS),
        }
    }

    /// Tokens per second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Size of the bucket, tokens.
    pub fn burst(&self) -> u64 {
        self.burst
    }

    /// The limits with the caps applied again; needed for limits that were deserialized.
    pub(crate) fn capped(self) -> Self {
        let Self { rate, burst } = self;
        Self::new(rate, burst)
    }

    pub(crate) fn rate_micro(&self) -> u64 {
        self.rate * MICRO_PER_TOKEN
    }

    pub(crate) fn burst_micro(&self) -> u64 {
        self.burst * MICRO_PER_TOKEN
    }
}
