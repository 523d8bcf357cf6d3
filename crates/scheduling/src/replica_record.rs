use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::LifecycleStage;

/// Reason for draining a replica or adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DrainReason {
    /// Idle for longer than its keep-alive; cancelled when a request waits for the model.
    Idle,
    /// One replica fewer suffices; cancelled when requests wait for the model.
    Surplus,
    /// Its memory is needed for another model or adapter.
    Evicted,
    /// The server is leaving, or the model was removed from the catalog.
    Withdrawn,
}

/// State of a drain in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainRecord {
    pub(crate) reason: DrainReason,
    /// First list version by which the dispatcher sends no new requests.
    pub(crate) version: u64,
    pub(crate) since: MonotonicTime,
    /// Whether the dispatcher has applied the version and reported nothing in flight.
    pub(crate) acknowledged: bool,
}

/// Record of a base model on one backend server.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaRecord {
    pub(crate) stage: LifecycleStage,
    /// Bytes of the model alone.
    pub(crate) bytes: u64,
    /// Whether the bytes come from an unload order of a predecessor and so include adapters.
    pub(crate) bytes_include_adapters: bool,
    pub(crate) slots: u32,
    pub(crate) adapters: BTreeMap<Name, AdapterRecord>,
    pub(crate) drain: Option<DrainRecord>,
    /// Tickets by the dispatcher's last report.
    pub(crate) in_flight: u32,
    /// Running requests by the server's last report.
    pub(crate) running: u32,
    /// Whether requests of an unknown dispatcher may be running. Cleared by an observation without
    /// running requests that was requested after [`Self::maybe_running_since`].
    pub(crate) maybe_running: bool,
    pub(crate) maybe_running_since: MonotonicTime,
    pub(crate) ready_at: MonotonicTime,
    pub(crate) last_busy: MonotonicTime,
    pub(crate) used: bool,
    /// Earliest time of the next unload order, after the server refused one.
    pub(crate) unload_after: MonotonicTime,
}

/// Record of an adapter on one replica.
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

    /// Returns the memory of the model and its adapters, in bytes.
    pub(crate) fn total_bytes(&self) -> u64 {
        let adapters: u64 = self.adapters.values().map(|adapter| adapter.bytes).sum();
        self.bytes + adapters
    }

    /// Returns true if no ticket is out and no request of an unknown dispatcher may be running.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && !self.maybe_running
    }

    /// Returns true if an unload order may be sent: the drain is acknowledged, nothing runs, and no
    /// adapter order is open.
    pub(crate) fn may_unload(&self, now: MonotonicTime) -> bool {
        let acknowledged = self.drain.is_some_and(|drain| drain.acknowledged);
        let settled = self
            .adapters
            .values()
            .all(|adapter| !adapter.has_open_order());
        let draining = self.stage == LifecycleStage::Draining;
        draining && acknowledged && self.is_idle() && settled && now >= self.unload_after
    }

    /// Restores the stage after a failed unload. A replica without a drain, which a predecessor had
    /// ordered to be unloaded, becomes ready.
    pub(crate) fn abort_unload(&mut self, unload_after: MonotonicTime) {
        self.unload_after = unload_after;
        self.stage = match self.drain {
            Some(_) => LifecycleStage::Draining,
            None => LifecycleStage::Ready,
        };
    }

    /// Returns true if the adapter is ready on the replica; `None` stands for the base model.
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

    /// Returns true while a load or unload of the adapter is ordered.
    pub(crate) fn has_open_order(&self) -> bool {
        matches!(
            self.stage,
            LifecycleStage::Loading | LifecycleStage::Unloading
        )
    }
}
