use std::collections::BTreeMap;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::CacheLevel;
use crate::LifecycleStage;
use crate::replica_record::ReplicaRecord;

/// Record of a backend server in the pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerRecord {
    pub(crate) address: Name,
    pub(crate) place: Name,
    pub(crate) boot_id: u64,
    pub(crate) fencing: bool,
    pub(crate) leaving: bool,
    /// Whether the server has been observed; one that is known only from a reservation gets no
    /// orders.
    pub(crate) observed: bool,
    pub(crate) memory_bytes: u64,
    pub(crate) accelerators: u32,
    pub(crate) cached: BTreeMap<Name, CacheLevel>,
    pub(crate) replicas: BTreeMap<Name, ReplicaRecord>,
    /// Time of the last confirmed result; observations requested earlier do not override it.
    pub(crate) confirmed_at: MonotonicTime,
    /// Time at which the newest observation was requested.
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
    /// Returns the memory of all replicas and adapters, including those with open orders.
    pub(crate) fn used_bytes(&self) -> u64 {
        let replicas = self.replicas.values();
        replicas.map(ReplicaRecord::total_bytes).sum()
    }

    pub(crate) fn free_bytes(&self) -> u64 {
        self.memory_bytes.saturating_sub(self.used_bytes())
    }

    /// Returns the bytes of replicas that are being drained or unloaded.
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

    /// Returns true if the model can be loaded now, or as soon as its running unload has finished.
    pub(crate) fn may_load(&self, model: &str, now: MonotonicTime) -> bool {
        let usable = self.observed && !self.leaving;
        let replica = self.replicas.get(model);
        let absent = replica.is_none_or(|replica| replica.stage == LifecycleStage::Unloading);
        usable && !self.is_paused(model, now) && absent
    }

    /// Returns the bytes that a load of `model` can use now; 0 while a replica of it is still
    /// there.
    pub(crate) fn loadable_bytes(&self, model: &str) -> u64 {
        if self.replicas.contains_key(model) {
            return 0;
        }
        self.free_bytes()
    }

    /// Returns true if a load of this model or adapter failed and its retry delay has not passed.
    pub(crate) fn is_paused(&self, name: &str, now: MonotonicTime) -> bool {
        let failure = self.failures.get(name);
        failure.is_some_and(|failure| failure.retry_at > now)
    }

    /// Counts a failed load and delays the next by `pause` × 2 per earlier failure, at most × 64.
    pub(crate) fn record_failure(&mut self, name: &Name, pause: Duration, now: MonotonicTime) {
        let failure = self.failures.entry(name.clone()).or_default();
        let factor = 1_u32 << failure.count.min(6);
        failure.retry_at = now + pause.saturating_mul(factor);
        failure.count += 1;
    }
}
