use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

use crate::BucketLimits;
use crate::ChargeDecision;
use crate::TokenBucket;

/// Gives each host an equal, fixed share of an account's rate and burst; a baseline for measurements only.
///
/// It keeps the rate bound without any messages between hosts, but refuses charges on busy hosts while others are idle.
#[derive(Clone, Debug)]
pub struct BaselineStaticSplit {
    buckets: Vec<TokenBucket>,
}

impl BaselineStaticSplit {
    /// Divides `limits` by `hosts`, rounding down; 0 hosts count as 1. All buckets start full.
    pub fn new(limits: BucketLimits, hosts: usize, now: MonotonicTime) -> Self {
        let hosts = hosts.max(1);
        let share = BucketLimits::new(limits.rate() / hosts as u64, limits.burst() / hosts as u64);
        Self {
            buckets: vec![TokenBucket::new(share, now); hosts],
        }
    }

    /// Charges `tokens` to the bucket of host number `host`, taken modulo the number of hosts.
    pub fn charge(
        &mut self,
        host: usize,
        grant_id: GrantId,
        tokens: u64,
        now: MonotonicTime,
    ) -> ChargeDecision {
        self.bucket(host).charge(grant_id, tokens, now)
    }

    /// Returns `unused` tokens of a grant to the bucket of host number `host`, which must have issued it.
    pub fn refund(&mut self, host: usize, grant_id: GrantId, unused: u64, now: MonotonicTime) {
        self.bucket(host).refund(grant_id, unused, now);
    }

    fn bucket(&mut self, host: usize) -> &mut TokenBucket {
        let index = host % self.buckets.len();
        &mut self.buckets[index]
    }
}
