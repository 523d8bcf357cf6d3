use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

use crate::BucketLimits;
use crate::ChargeDecision;
use crate::TokenBucket;

/// Baseline for measurements: each host gets an equal, fixed part of the rate and the burst.
///
/// Keeps the bound without messages, but refuses charges on busy hosts while others are idle.
#[derive(Clone, Debug)]
pub struct BaselineStaticSplit {
    buckets: Vec<TokenBucket>,
}

impl BaselineStaticSplit {
    /// Divides `limits` by `hosts`, rounding down.
    pub fn new(limits: BucketLimits, hosts: usize, now: MonotonicTime) -> Self {
        let hosts = hosts.max(1);
        let part = BucketLimits::new(limits.rate() / hosts as u64, limits.burst() / hosts as u64);
        Self {
            buckets: vec![TokenBucket::new(part, now); hosts],
        }
    }

    /// Charges the part of host `host`, counted modulo the number of hosts.
    pub fn charge(
        &mut self,
        host: usize,
        grant_id: GrantId,
        tokens: u64,
        now: MonotonicTime,
    ) -> ChargeDecision {
        self.bucket(host).charge(grant_id, tokens, now)
    }

    /// Refunds at host `host`.
    pub fn refund(&mut self, host: usize, grant_id: GrantId, unused: u64, now: MonotonicTime) {
        self.bucket(host).refund(grant_id, unused, now);
    }

    fn bucket(&mut self, host: usize) -> &mut TokenBucket {
        let index = host % self.buckets.len();
        &mut self.buckets[index]
    }
}
