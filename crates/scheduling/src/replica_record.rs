use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::LifecycleStage;

/// Why a replica drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DrainReason {
    /// Idle longer than its keep-alive; taken back when a request comes.
    Idle,
    /// Fewer replicas suffice; taken back when requests wait.
    Surplus,
    /// Its memory was promised to another model.
    Evicted,
    /// The server leaves, or the document no longer has the model.
    Withdrawn,
}

/// Drain in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainRecord {
    pub(crate) reason: DrainReason,
    /// List version from which the dispatcher sends nothing new.
    pub(crate) version: u64,
    pub(crate) since: MonotonicTime,
    /// True once the dispatcher applied the version and reported nothing in flight.
    pub(crate) acknowledged: bool,
}

/// A base model on one backend server.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaRecord {
    pub(crate) stage: LifecycleStage,
    /// Bytes of the model alone.
    pub(crate) bytes: u64,
    /// True if the bytes are those of an unload order of a predecessor, which include adapters.
    pub(crate) bytes_include_adapters: bool,
    pub(crate) slots: u32,
    pub(crate) adapters: BTreeMap<Name, AdapterRecord>,
    pub(crate) drain: Option<DrainRecord>,
    /// Tickets by the dispatcher's last report.
    pub(crate) in_flight: u32,
    /// Running requests by the server's last report.
    pub(crate) running: u32,
    /// True while requests of an unknown dispatcher may run; cleared by an observation of none
    /// that was asked for after [`Self::maybe_running_since`].
    pub(crate) maybe_running: bool,
    pub(crate) maybe_running_since: MonotonicTime,
    pub(crate) ready_at: MonotonicTime,
    pub(crate) last_busy: MonotonicTime,
    pub(crate) used: bool,
    /// No unload before this, because the server refused one.
    pub(crate) unload_after: MonotonicTime,
}

/// An adapter on one replica.
#[derive(Clone, Debug)]
pub(crate) struct AdapterRecord {
    pub(crate) stage: LifecycleStage,
    pub(crate) bytes: u64,
    pub(crate) drain: Option<DrainRecord>,
    pub(crate) last_used: MonotonicTime,
}

impl ReplicaRecord {
    pub(crate) fn new(stage: LifecycleStage, bytes: u64, slots: u32, now: MonotonicTime) -> Self {
        Self {
            stage,
            bytes,
            bytes_include_adapters: false,
            slots,
            adapters: BTreeMap::new(),
            drain: None,
            in_flight: 0,
            running: 0,
            maybe_running: false,
            maybe_running_since: MonotonicTime::ZERO,
            ready_at: now,
            last_busy: now,
            used: false,
            unload_after: MonotonicTime::ZERO,
        }
    }

    /// Bytes of the model and its adapters.
    pub(crate) fn total_bytes(&self) -> u64 {
        let adapters: u64 = self.adapters.values().map(|adapter| adapter.bytes).sum();
        self.bytes + adapters
    }

    /// True if no request can be running, as far as anyone knows.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && !self.maybe_running
    }

    /// True if an unload order may be given.
    pub(crate) fn may_unload(&self, now: MonotonicTime) -> bool {
        let acknowledged = self.drain.is_some_and(|drain| drain.acknowledged);
        let settled = self
            .adapters
            .values()
            .all(|adapter| !adapter.has_open_order());
        let draining = self.stage == LifecycleStage::Draining;
        draining && acknowledged && self.is_idle() && settled && now >= self.unload_after
    }

    /// The server did not unload it. A replica that a predecessor wanted unloaded is in use again.
    pub(crate) fn abort_unload(&mut self, unload_after: MonotonicTime) {
        self.unload_after = unload_after;
        self.stage = match self.drain {
            Some(_) => LifecycleStage::Draining,
            None => LifecycleStage::Ready,
        };
    }

    pub(crate) fn has_adapter(&self, adapter: Option<&Name>) -> bool {
        adapter.is_none_or(|adapter| {
            let record = self.adapters.get(adapter);
            record.is_some_and(|record| record.stage == LifecycleStage::Ready)
        })
    }
}

impl AdapterRecord {
    pub(crate) fn new(stage: LifecycleStage, bytes: u64, now: MonotonicTime) -> Self {
        Self {
            stage,
            bytes,
            drain: None,
            last_used: now,
        }
    }

    pub(crate) fn has_open_order(&self) -> bool {
        matches!(
            self.stage,
            LifecycleStage::Loading | LifecycleStage::Unloading
        )
    }
}
