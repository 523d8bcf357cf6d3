use std::collections::BTreeMap;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::CacheLevel;
use crate::LifecycleStage;
use crate::replica_record::ReplicaRecord;

/// A backend server in the pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerRecord {
    pub(crate) address: Name,
    pub(crate) place: Name,
    pub(crate) boot_id: u64,
    pub(crate) fencing: bool,
    pub(crate) leaving: bool,
    /// False for a server that is only known from a reservation; it gets no orders.
    pub(crate) observed: bool,
    pub(crate) memory_bytes: u64,
    pub(crate) accelerators: u32,
    pub(crate) cached: BTreeMap<Name, CacheLevel>,
    pub(crate) replicas: BTreeMap<Name, ReplicaRecord>,
    /// Time of the last confirmed change; older observations do not contradict it.
    pub(crate) confirmed_at: MonotonicTime,
    /// When the newest observation was asked for.
    pub(crate) observed_at: MonotonicTime,
    /// Failed loads by model or adapter.
    pub(crate) failures: BTreeMap<Name, LoadFailure>,
}

/// Failed loads of one model or adapter on one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadFailure {
    pub(crate) count: u32,
    pub(crate) retry_at: MonotonicTime,
}

impl ServerRecord {
    pub(crate) fn used_bytes(&self) -> u64 {
        let replicas = self.replicas.values();
        replicas.map(ReplicaRecord::total_bytes).sum()
    }

    pub(crate) fn free_bytes(&self) -> u64 {
        self.memory_bytes.saturating_sub(self.used_bytes())
    }

    /// Bytes that are on their way to being free.
    pub(crate) fn freeing_bytes(&self) -> u64 {
        let leaving = self.replicas.values().filter(|replica| {
            matches!(
                replica.stage,
                LifecycleStage::Draining | LifecycleStage::Unloading
            )
        });
        leaving.map(ReplicaRecord::total_bytes).sum()
    }

    pub(crate) fn cache_level(&self, model: &str) -> CacheLevel {
        self.cached.get(model).copied().unwrap_or_default()
    }

    /// True if the model can be loaded now or as soon as an unload of it has finished.
    pub(crate) fn may_load(&self, model: &str, now: MonotonicTime) -> bool {
        let usable = self.observed && !self.leaving;
        let replica = self.replicas.get(model);
        let absent = replica.is_none_or(|replica| replica.stage == LifecycleStage::Unloading);
        usable && !self.is_paused(model, now) && absent
    }

    /// Bytes that a load of `model` can use now.
    pub(crate) fn loadable_bytes(&self, model: &str) -> u64 {
        if self.replicas.contains_key(model) {
            return 0;
        }
        self.free_bytes()
    }

    /// True if a load of this model or adapter failed a short while ago.
    pub(crate) fn is_paused(&self, name: &str, now: MonotonicTime) -> bool {
        let failure = self.failures.get(name);
        failure.is_some_and(|failure| failure.retry_at > now)
    }

    pub(crate) fn record_failure(&mut self, name: &Name, pause: Duration, now: MonotonicTime) {
        let failure = self.failures.entry(name.clone()).or_default();
        let factor = 1_u32 << failure.count.min(6);
        failure.retry_at = now + pause.saturating_mul(factor);
        failure.count += 1;
    }
}
