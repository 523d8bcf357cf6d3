use serde::Deserialize;
use serde::Serialize;

/// Micro-tokens in one token. Buckets count in micro-tokens so that no rounding favours the account.
pub(crate) const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Largest rate (tokens per second) and burst (tokens). In micro-tokens both fit `u64` with room for sums.
const MAX_TOKENS: u64 = 1_000_000_000_000;

/// Holds the rate and burst that one client account may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketLimits {
    rate: u64,
    burst: u64,
}

impl BucketLimits {
    /// Takes `rate` in tokens per second and `burst` in tokens, and caps both at 10^12.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: rate.min(MAX_TOKENS),
            burst: burst.min(MAX_TOKENS),
        }
    }

    /// Returns the refill rate in tokens per second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Returns the bucket size in tokens, which is also the largest single charge.
    pub fn burst(&self) -> u64 {
        self.burst
    }

    /// Applies the caps again. Deserialized limits bypass [`Self::new`] and need this before use.
    pub(crate) fn capped(self) -> Self {
        let Self { rate, burst } = self;
        Self::new(rate, burst)
    }

    /// Returns the refill rate in micro-tokens per second.
    pub(crate) fn rate_micro(&self) -> u64 {
        self.rate * MICRO_PER_TOKEN
    }

    /// Returns the bucket size in micro-tokens.
    pub(crate) fn burst_micro(&self) -> u64 {
        self.burst * MICRO_PER_TOKEN
    }
}
