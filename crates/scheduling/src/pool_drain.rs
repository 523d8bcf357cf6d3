//! Draining, unloading, keep-alive and scale-in of a [`PoolPlanner`].

use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::KeepAliveRule;
use crate::LifecycleStage;
use crate::OrderAction;
use crate::PoolOrder;
use crate::PoolPlanner;
use crate::open_order::OpenOrder;
use crate::replica_record::DrainReason;
use crate::replica_record::DrainRecord;
use crate::replica_record::ReplicaRecord;
use crate::server_record::ServerRecord;

/// Time after which an idle draining replica without a dispatcher counts as drained.
const ORPHAN_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Identifies a replica by its server and model.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaKey {
    pub(crate) server: Name,
    pub(crate) model: Name,
}

impl PoolPlanner {
    /// Returns the keys of the replicas that match.
    pub(crate) fn replica_keys(
        &self,
        matches: impl Fn(&ServerRecord, &Name, &ReplicaRecord) -> bool,
    ) -> Vec<ReplicaKey> {
        let mut keys = Vec::new();
        for (server, record) in &self.servers {
            for (model, replica) in &record.replicas {
                if matches(record, model, replica) {
                    keys.push(ReplicaKey {
                        server: server.clone(),
                        model: model.clone(),
                    });
                }
            }
        }
        keys
    }

    /// Stops new requests to a replica through a new list version.
    pub(crate) fn start_drain(
        &mut self,
        key: &ReplicaKey,
        reason: DrainReason,
        now: MonotonicTime,
    ) {
        let version = self.bump_list_version(&key.model);
        if let Some(replica) = self.replica_mut(&key.server, &key.model) {
            replica.stage = LifecycleStage::Draining;
            replica.drain = Some(DrainRecord {
                reason,
                version,
                since: now,
                acknowledged: false,
            });
        }
    }

    /// Starts drains that make room for no load: withdrawn, idle and surplus replicas.
    pub(crate) fn start_drains(&mut self, now: MonotonicTime) {
        for key in self.replica_keys(|record, model, replica| {
            let withdrawn = record.leaving || !self.catalog.models.contains_key(model);
            withdrawn && replica.stage == LifecycleStage::Ready
        }) {
            self.start_drain(&key, DrainReason::Withdrawn, now);
        }
        for key in self.replica_keys(|_, model, replica| self.is_expired(model, replica, now)) {
            self.start_drain(&key, DrainReason::Idle, now);
        }
        for key in self.surplus_replicas(now) {
            self.start_drain(&key, DrainReason::Surplus, now);
        }
    }

    /// Makes draining replicas ready again if requests wait for their model and no load claims
    /// memory on their server.
    pub(crate) fn cancel_drains(&mut self) {
        let keys = self.replica_keys(|record, model, replica| {
            let reason = replica.drain.map(|drain| drain.reason);
            let draining = replica.stage == LifecycleStage::Draining;
            reason.is_some_and(|reason| draining && self.is_cancellable(record, model, reason))
        });
        for key in keys {
            if let Some(replica) = self.replica_mut(&key.server, &key.model) {
                replica.stage = LifecycleStage::Ready;
                replica.drain = None;
            }
            self.bump_list_version(&key.model);
        }
    }

    /// Returns true if a drain for `reason` is no longer needed.
    fn is_cancellable(&self, record: &ServerRecord, model: &Name, reason: DrainReason) -> bool {
        let demand = self.demands.get(model);
        let waiting = demand.is_some_and(|demand| demand.waiting_count() > 0);
        let usable = !record.leaving && self.catalog.models.contains_key(model);
        let claims = self.claims.values();
        let mut servers = claims.filter_map(|claim| self.servers.get(&claim.server));
        let claimed = servers.any(|server| std::ptr::eq(server, record));
        match reason {
            DrainReason::Idle | DrainReason::Surplus => usable && waiting && !claimed,
            DrainReason::Evicted => usable && waiting && !claimed,
            DrainReason::Withdrawn => usable,
        }
    }

    /// Returns unload orders for all replicas that have drained.
    pub(crate) fn unload_drained(&mut self, now: MonotonicTime) -> Vec<PoolOrder> {
        self.acknowledge_orphaned_drains(now);
        let keys =
            self.replica_keys(|record, _, replica| record.observed && replica.may_unload(now));
        let orders = keys.iter().filter_map(|key| self.unload_model(key, now));
        orders.collect()
    }

    /// Acknowledges the drains of models that were removed from the catalog, because they have no
    /// dispatcher that could.
    fn acknowledge_orphaned_drains(&mut self, now: MonotonicTime) {
        let models = &self.catalog.models;
        for record in self.servers.values_mut() {
            let replicas = record.replicas.iter_mut();
            for (_, replica) in replicas.filter(|(model, _)| !models.contains_key(*model)) {
                let idle = replica.running == 0 && replica.in_flight == 0;
                if let Some(drain) = &mut replica.drain {
                    drain.acknowledged |= idle && now.since(drain.since) >= ORPHAN_DRAIN_TIMEOUT;
                }
            }
        }
    }

    /// Orders the unload, which also removes the replica from the model's list.
    fn unload_model(&mut self, key: &ReplicaKey, now: MonotonicTime) -> Option<PoolOrder> {
        let record = self.servers.get(&key.server)?;
        let replica = record.replicas.get(&key.model)?;
        let order = OpenOrder {
            action: OrderAction::UnloadModel,
            server: key.server.clone(),
            boot_id: record.boot_id,
            model: key.model.clone(),
            adapter: None,
            bytes: replica.total_bytes(),
            issued_at: now,
            resend_at: now + self.settings.resend_after,
            permit: false,
            account: None,
        };
        let sent = self.open_order(order, now);
        self.bump_list_version(&key.model);
        sent
    }

    // ---------------------------------------------------------------------------------------------
    // Keep-alive and scale-in

    /// Returns true if the replica has been idle for its keep-alive and no request waits for its
    /// model.
    fn is_expired(&self, model: &Name, replica: &ReplicaRecord, now: MonotonicTime) -> bool {
        let waiting = self.demands.get(model).map_or(0, |d| d.waiting_count());
        let ready = replica.stage == LifecycleStage::Ready;
        let idle = now.since(replica.last_busy);
        ready && replica.is_idle() && waiting == 0 && idle >= self.keep_alive(model)
    }

    /// Returns how long an idle replica of `model` stays loaded. The history rule weighs idle time
    /// against cold starts, and uses the default while there are too few samples.
    pub fn keep_alive(&self, model: &str) -> Duration {
        if let KeepAliveRule::Fixed(time) = self.settings.keep_alive {
            return time;
        }
        let demand = self.demands.get(model);
        let Some(demand) = demand.filter(|demand| demand.gaps.has_enough_samples()) else {
            return self.settings.default_keep_alive;
        };
        let load = self.nearest_load_time(model);
        let cold_cost = load.as_secs_f64() * self.settings.idle_per_cold_second;
        let best = demand
            .gaps
            .best_keep_alive(cold_cost, self.settings.max_keep_alive);
        best.max(self.settings.min_residency)
    }

    /// Returns the expected load time on the server with the nearest copy of the checkpoint.
    pub(crate) fn nearest_load_time(&self, model: &str) -> Duration {
        let servers = self.servers.values();
        let usable = servers.filter(|record| record.observed && !record.leaving);
        let nearest = usable.map(|record| record.cache_level(model)).min();
        let spec = self.catalog.models.get(model);
        spec.map_or(Duration::ZERO, |spec| {
            spec.load_times.at(nearest.unwrap_or_default())
        })
    }

    /// Returns one replica of each model that has had surplus replicas for the scale-in time.
    fn surplus_replicas(&mut self, now: MonotonicTime) -> Vec<ReplicaKey> {
        let models: Vec<_> = self.demands.keys().cloned().collect();
        let surplus = models
            .iter()
            .filter_map(|model| self.surplus_replica(model, now));
        surplus.collect()
    }

    /// Returns the least busy replica of `model` if one fewer has sufficed for the scale-in time.
    fn surplus_replica(&mut self, model: &Name, now: MonotonicTime) -> Option<ReplicaKey> {
        let keys = self.replica_keys(|_, name, replica| {
            name == model && replica.stage == LifecycleStage::Ready
        });
        let replicas = keys.iter().filter_map(|key| self.replica(key));
        let (slots, in_flight) = replicas.fold((0, 0), |(slots, in_flight), replica| {
            (slots + replica.slots, in_flight + replica.in_flight)
        });
        let count = u32::try_from(keys.len()).unwrap_or(u32::MAX);
        let scale_in_after = self.settings.scale_in_after;
        let demand = self.demands.get_mut(model)?;
        // Half of the remaining slots must stay free, or the model would scale out again
        // immediately.
        let remaining = slots - slots.checked_div(count).unwrap_or(0);
        let surplus = count > 1 && demand.waiting_count() == 0 && in_flight * 2 <= remaining;
        if !surplus {
            demand.surplus_since = None;
            return None;
        }
        let since = *demand.surplus_since.get_or_insert(now);
        if now.since(since) < scale_in_after {
            return None;
        }
        demand.surplus_since = Some(now);
        keys.into_iter().min_by_key(|key| {
            let replica = self.replica(key);
            replica.map_or((0, MonotonicTime::ZERO), |r| (r.in_flight, r.last_busy))
        })
    }

    pub(crate) fn replica(&self, key: &ReplicaKey) -> Option<&ReplicaRecord> {
        self.servers.get(&key.server)?.replicas.get(&key.model)
    }
}
