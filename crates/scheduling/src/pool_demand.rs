//! Demand reports to a [`PoolPlanner`], and the replica lists in its replies.

use zinniahinge_types::AdapterDemand;
use zinniahinge_types::DemandReply;
use zinniahinge_types::DemandRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::ReplicaPhase;

use crate::LifecycleStage;
use crate::PoolPlanner;
use crate::replica_record::ReplicaRecord;
use crate::server_record::ServerRecord;

impl PoolPlanner {
    /// Applies a dispatcher's report and returns the model's replica list. During recovery the list
    /// has version 0, which dispatchers ignore.
    pub fn apply_demand(&mut self, request: DemandRequest, now: MonotonicTime) -> DemandReply {
        let DemandRequest {
            service,
            model,
            applied_version,
            waiting,
            in_flight,
            arrivals,
        } = request;
        if service != self.service {
            return DemandReply::NotOwner;
        }
        let restarted = self.record_version(&model, applied_version);
        for (server, record) in &mut self.servers {
            let Some(replica) = record.replicas.get_mut(&model) else {
                continue;
            };
            let counted = in_flight.iter().find(|count| count.server == *server);
            let count = counted.map_or(0, |count| count.count);
            apply_report(replica, count, applied_version, restarted, now);
        }
        let running = in_flight.iter().any(|count| count.count > 0);
        let demand = self.demands.entry(model.clone()).or_default();
        if arrivals > 0 || running || !waiting.is_empty() {
            demand.record_activity(arrivals > 0, self.settings.min_residency, now);
        }
        self.mark_adapters_used(&model, &waiting, now);
        let demand = self.demands.entry(model.clone()).or_default();
        demand.waiting = waiting;
        demand.reported_at = now;
        self.replica_list(&model, now)
    }

    /// Records the applied version; returns true if the dispatcher may have lost tickets, because
    /// it does not have the last list that was sent or has not reported to this planner before. A
    /// lost reply looks the same as a dispatcher that applied the list, granted tickets and died
    /// before it reported again.
    fn record_version(&mut self, model: &Name, applied_version: u64) -> bool {
        if !self.demands.contains_key(model) {
            self.bump_list_version(model);
        }
        let demand = self.demands.entry(model.clone()).or_default();
        let restarted = !demand.reported || applied_version < demand.sent_version;
        demand.applied_version = applied_version;
        demand.reported = true;
        restarted
    }

    /// Updates the last use of the adapters that requests wait for, which protects them from
    /// eviction.
    fn mark_adapters_used(&mut self, model: &Name, waiting: &[AdapterDemand], now: MonotonicTime) {
        let replicas = self.servers.values_mut();
        for replica in replicas.filter_map(|record| record.replicas.get_mut(model)) {
            for adapter in waiting.iter().filter_map(|demand| demand.adapter.as_ref()) {
                if let Some(record) = replica.adapters.get_mut(adapter) {
                    record.last_used = now;
                }
            }
        }
    }

    /// Returns the newest replica list; during recovery an empty one with version 0.
    fn replica_list(&mut self, model: &Name, now: MonotonicTime) -> DemandReply {
        if self.is_recovering(now) {
            return DemandReply::Replicas {
                version: 0,
                replicas: Vec::new(),
            };
        }
        let demand = self.demands.entry(model.clone()).or_default();
        let version = demand.list_version;
        demand.sent_version = version;
        let entries = self.servers.iter().filter_map(|(server, record)| {
            let replica = record.replicas.get(model)?;
            replica_entry(server, record, replica)
        });
        DemandReply::Replicas {
            version,
            replicas: entries.collect(),
        }
    }
}

/// Updates a replica from its dispatcher's report. A drain is acknowledged once the dispatcher has
/// applied the draining list and has nothing in flight.
fn apply_report(
    replica: &mut ReplicaRecord,
    count: u32,
    applied_version: u64,
    restarted: bool,
    now: MonotonicTime,
) {
    replica.in_flight = count;
    if restarted {
        replica.maybe_running = true;
        replica.maybe_running_since = now;
    }
    if count > 0 {
        replica.last_busy = now;
        replica.used = true;
    }
    if let Some(drain) = &mut replica.drain {
        drain.acknowledged = count == 0 && applied_version >= drain.version;
    }
    for adapter in replica.adapters.values_mut() {
        if let Some(drain) = &mut adapter.drain {
            drain.acknowledged = count == 0 && applied_version >= drain.version;
        }
    }
}

/// Returns the list entry of a replica; `None` while it is loading or unloading.
fn replica_entry(
    server: &Name,
    record: &ServerRecord,
    replica: &ReplicaRecord,
) -> Option<ReplicaEntry> {
    let phase = match replica.stage {
        LifecycleStage::Ready if record.leaving => ReplicaPhase::Draining,
        LifecycleStage::Ready => ReplicaPhase::Ready,
        LifecycleStage::Draining => ReplicaPhase::Draining,
        LifecycleStage::Loading | LifecycleStage::Unloading => return None,
    };
    let adapters = replica.adapters.iter();
    let ready = adapters.filter(|(_, adapter)| adapter.stage == LifecycleStage::Ready);
    Some(ReplicaEntry {
        server: server.clone(),
        address: record.address.clone(),
        place: record.place.clone(),
        slots: replica.slots,
        adapters: ready.map(|(name, _)| name.clone()).collect(),
        phase,
        reported_load: replica.running,
    })
}
