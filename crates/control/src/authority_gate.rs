//! Answers "may this process act for this shard now" without a lock.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;
use zinniahinge_types::SHARD_COUNT;
use zinniahinge_types::ShardId;

/// Shards that the newest assignment gives to this process, less those frozen for a handover.
#[derive(Clone, Debug, Default)]
pub struct OwnedShards {
    /// Revision of the assignment: the fencing number.
    pub revision: Revision,
    owned: Vec<bool>,
}

impl OwnedShards {
    /// Shards for which `may_act` returns true.
    pub fn new(revision: Revision, may_act: impl Fn(ShardId) -> bool) -> Self {
        Self {
            revision,
            owned: (0..SHARD_COUNT).map(may_act).collect(),
        }
    }

    fn contains(&self, shard: ShardId) -> bool {
        self.owned.get(usize::from(shard)).copied().unwrap_or(false)
    }
}

/// Authority of this process as the request path reads it.
#[derive(Default)]
pub struct AuthorityGate {
    /// Microseconds on the boot clock until which the process has authority; 0: none.
    until_us: AtomicU64,
    shards: ArcSwap<OwnedShards>,
}

impl AuthorityGate {
    /// Fencing number if the process may act for `shard` at `now`. Call it at the moment of use.
    pub fn check(&self, shard: ShardId, now: MonotonicTime) -> Option<Revision> {
        let shards = self.shards.load();
        (self.has_authority(now) && shards.contains(shard)).then_some(shards.revision)
    }

    /// True if the process has authority at `now`.
    pub fn has_authority(&self, now: MonotonicTime) -> bool {
        (now.since_origin().as_micros() as u64) < self.until_us.load(Ordering::Acquire)
    }

    /// Sets the time until which the process has authority.
    pub fn set_until(&self, until: Option<MonotonicTime>) {
        let until_us = until.map_or(0, |until| until.since_origin().as_micros() as u64);
        self.until_us.store(until_us, Ordering::Release);
    }

    /// Replaces the shards.
    pub fn set_shards(&self, shards: OwnedShards) {
        self.shards.store(std::sync::Arc::new(shards));
    }
}
