//! Adapter loads, drains and unloads of a [`PoolPlanner`].

use std::time::Duration;

use zinniahinge_types::AdapterDemand;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AdapterSpec;
use crate::LifecycleStage;
use crate::OrderAction;
use crate::PoolOrder;
use crate::PoolPlanner;
use crate::open_order::OpenOrder;
use crate::pool_drain::ReplicaKey;
use crate::replica_record::DrainReason;
use crate::replica_record::DrainRecord;
use crate::replica_record::ReplicaRecord;

/// An adapter that needs to be loaded on one more replica.
#[derive(Clone, Debug)]
struct AdapterCandidate {
    model: Name,
    adapter: Name,
    demand: AdapterDemand,
    spec: AdapterSpec,
}

/// Identifies an adapter on a replica.
#[derive(Clone, Debug)]
struct AdapterKey {
    server: Name,
    model: Name,
    adapter: Name,
}

impl PoolPlanner {
    /// Returns load orders for adapters that requests wait for, most urgent first, up to the limit
    /// of concurrent adapter loads.
    pub(crate) fn load_adapters(&mut self, now: MonotonicTime) -> Vec<PoolOrder> {
        let mut candidates = self.adapter_candidates(now);
        candidates.sort_by_key(|candidate| (candidate.demand.class, candidate.demand.deadline_in));
        let mut orders = Vec::new();
        for candidate in &candidates {
            if self.open_adapter_loads() >= self.settings.adapter_limit as usize {
                break;
            }
            orders.extend(self.load_adapter(candidate, now));
        }
        orders
    }

    fn open_adapter_loads(&self) -> usize {
        let orders = self.orders.values();
        let loads = orders.filter(|order| order.action == OrderAction::LoadAdapter);
        loads.count()
    }

    /// Returns the adapters that need to be loaded, in any order.
    fn adapter_candidates(&self, now: MonotonicTime) -> Vec<AdapterCandidate> {
        let mut candidates = Vec::new();
        for (model, record) in &self.demands {
            for demand in &record.waiting {
                let waited = demand.waited + now.since(record.reported_at);
                candidates.extend(self.adapter_candidate(model, demand, waited));
            }
        }
        candidates
    }

    /// Returns the adapter if it needs another replica: one at first, however many requests wait,
    /// and further ones while the waiting requests exceed the slots of those that have it.
    fn adapter_candidate(
        &self,
        model: &Name,
        demand: &AdapterDemand,
        waited: Duration,
    ) -> Option<AdapterCandidate> {
        let adapter = demand.adapter.as_ref()?;
        let spec = self.catalog.adapters.get(adapter)?;
        let records = self.servers.values();
        let replicas = records.filter_map(|record| record.replicas.get(model));
        let (mut loading, mut slots) = (false, 0);
        for replica in replicas.filter(|replica| replica.stage == LifecycleStage::Ready) {
            match replica.adapters.get(adapter).map(|record| record.stage) {
                Some(LifecycleStage::Loading) => loading = true,
                Some(LifecycleStage::Ready) => slots += replica.slots,
                _ => {}
            }
        }
        let overloaded = demand.count > slots && waited >= self.settings.scale_out_wait;
        let wanted = spec.model == *model && !loading && (slots == 0 || overloaded);
        wanted.then(|| AdapterCandidate {
            model: model.clone(),
            adapter: adapter.clone(),
            demand: demand.clone(),
            spec: spec.clone(),
        })
    }

    /// Orders the load on the least busy replica with enough free memory; otherwise starts to free
    /// memory.
    fn load_adapter(
        &mut self,
        candidate: &AdapterCandidate,
        now: MonotonicTime,
    ) -> Option<PoolOrder> {
        let keys = self.adapter_targets(candidate, now);
        let fits = |key: &&ReplicaKey| {
            let record = self.servers.get(&key.server);
            record.is_some_and(|record| record.free_bytes() >= candidate.spec.bytes)
        };
        let Some(key) = keys.iter().find(fits) else {
            self.free_adapter_memory(candidate, keys.first()?, now);
            return None;
        };
        let record = self.servers.get(&key.server)?;
        let order = OpenOrder {
            action: OrderAction::LoadAdapter,
            server: key.server.clone(),
            boot_id: record.boot_id,
            model: candidate.model.clone(),
            adapter: Some(candidate.adapter.clone()),
            bytes: candidate.spec.bytes,
            issued_at: now,
            resend_at: now + self.settings.resend_after,
            permit: false,
            account: Some(candidate.demand.account.clone()),
        };
        self.open_order(order, now)
    }

    /// Returns the ready replicas that could load the adapter, the least busy first.
    fn adapter_targets(&self, candidate: &AdapterCandidate, now: MonotonicTime) -> Vec<ReplicaKey> {
        let mut keys = self.replica_keys(|record, model, replica| {
            *model == candidate.model
                && replica.stage == LifecycleStage::Ready
                && !record.leaving
                && !record.is_paused(&candidate.adapter, now)
                && !replica.adapters.contains_key(&candidate.adapter)
        });
        keys.sort_by_key(|key| {
            let replica = self.replica(key);
            replica.map_or((0, 0), |replica| {
                (replica.in_flight, replica.adapters.len())
            })
        });
        keys
    }

    // ---------------------------------------------------------------------------------------------
    // Memory for adapters

    /// Starts to free memory on the target's server, unless running drains suffice: drains its
    /// least recently used adapter, or else one idle replica.
    fn free_adapter_memory(
        &mut self,
        candidate: &AdapterCandidate,
        target: &ReplicaKey,
        now: MonotonicTime,
    ) {
        let Some(record) = self.servers.get(&target.server) else {
            return;
        };
        let draining: u64 = record.replicas.values().map(draining_bytes).sum();
        let coming = record.free_bytes() + record.freeing_bytes() + draining;
        if coming >= candidate.spec.bytes {
            return;
        }
        if let Some(victim) = self.least_recently_used_adapter(target, now) {
            self.drain_adapter(&victim, now);
        } else if let Some(victim) = self.idle_replica_beside(target, now) {
            self.start_drain(&victim, DrainReason::Evicted, now);
        }
    }

    /// Returns the least recently used adapter on the target's server that no request waits for.
    /// Adapters used within the minimum residency are left out.
    fn least_recently_used_adapter(
        &self,
        target: &ReplicaKey,
        now: MonotonicTime,
    ) -> Option<AdapterKey> {
        let record = self.servers.get(&target.server)?;
        let mut best: Option<(MonotonicTime, AdapterKey)> = None;
        for (model, replica) in &record.replicas {
            for (adapter, state) in &replica.adapters {
                let fresh = now.since(state.last_used) < self.settings.min_residency;
                let ready = state.stage == LifecycleStage::Ready;
                let older = best.as_ref().is_none_or(|best| state.last_used < best.0);
                if ready && older && !fresh && !self.is_adapter_awaited(model, adapter) {
                    let key = AdapterKey {
                        server: target.server.clone(),
                        model: model.clone(),
                        adapter: adapter.clone(),
                    };
                    best = Some((state.last_used, key));
                }
            }
        }
        best.map(|best| best.1)
    }

    /// Makes draining adapters ready again if requests wait for them. On a replica that is never
    /// idle the drain would not end, and the requests would wait until their deadline.
    pub(crate) fn cancel_adapter_drains(&mut self) {
        let mut cancelled = Vec::new();
        for (server, record) in &self.servers {
            for (model, replica) in &record.replicas {
                let adapters = replica.adapters.iter();
                let awaited = adapters.filter(|(adapter, state)| {
                    let draining = state.stage == LifecycleStage::Draining;
                    draining && self.is_adapter_awaited(model, adapter)
                });
                cancelled.extend(awaited.map(|(adapter, _)| AdapterKey {
                    server: server.clone(),
                    model: model.clone(),
                    adapter: adapter.clone(),
                }));
            }
        }
        for key in &cancelled {
            let replica = self.replica_mut(&key.server, &key.model);
            let adapter = replica.and_then(|replica| replica.adapters.get_mut(&key.adapter));
            if let Some(adapter) = adapter {
                adapter.stage = LifecycleStage::Ready;
                adapter.drain = None;
            }
            self.bump_list_version(&key.model);
        }
    }

    /// Returns true if a request waits for the adapter.
    fn is_adapter_awaited(&self, model: &Name, adapter: &Name) -> bool {
        let demand = self.demands.get(model);
        demand.is_some_and(|demand| {
            let mut waiting = demand.waiting.iter();
            waiting.any(|waiting| waiting.adapter.as_ref() == Some(adapter))
        })
    }

    /// Returns the evictable replica on the target's server that has been idle longest.
    fn idle_replica_beside(&self, target: &ReplicaKey, now: MonotonicTime) -> Option<ReplicaKey> {
        let record = self.servers.get(&target.server)?;
        let replicas = record.replicas.iter();
        let idle = replicas.filter(|(model, replica)| {
            **model != target.model && self.is_evictable(model, replica, false, now)
        });
        let longest = idle.min_by_key(|(_, replica)| replica.last_busy)?;
        Some(ReplicaKey {
            server: target.server.clone(),
            model: longest.0.clone(),
        })
    }

    /// Removes the adapter from the replica list, so that it gets no new requests.
    fn drain_adapter(&mut self, key: &AdapterKey, now: MonotonicTime) {
        let version = self.bump_list_version(&key.model);
        let replica = self.replica_mut(&key.server, &key.model);
        let adapter = replica.and_then(|replica| replica.adapters.get_mut(&key.adapter));
        if let Some(adapter) = adapter {
            adapter.stage = LifecycleStage::Draining;
            adapter.drain = Some(DrainRecord {
                reason: DrainReason::Evicted,
                version,
                since: now,
                acknowledged: false,
            });
        }
    }

    /// Returns unload orders for adapters that have drained. Reports count requests per server, not
    /// per adapter, so an adapter has drained only when nothing is in flight on its replica.
    pub(crate) fn unload_adapters(&mut self, now: MonotonicTime) -> Vec<PoolOrder> {
        let mut due = Vec::new();
        for (server, record) in &self.servers {
            for (model, replica) in &record.replicas {
                let usable = record.observed && replica.stage == LifecycleStage::Ready;
                if !usable || !replica.is_idle() {
                    continue;
                }
                let drained = replica.adapters.iter().filter(|(_, state)| {
                    let acknowledged = state.drain.is_some_and(|drain| drain.acknowledged);
                    state.stage == LifecycleStage::Draining && acknowledged
                });
                due.extend(drained.map(|(adapter, state)| OpenOrder {
                    action: OrderAction::UnloadAdapter,
                    server: server.clone(),
                    boot_id: record.boot_id,
                    model: model.clone(),
                    adapter: Some(adapter.clone()),
                    bytes: state.bytes,
                    issued_at: now,
                    resend_at: now + self.settings.resend_after,
                    permit: false,
                    account: None,
                }));
            }
        }
        let orders = due.into_iter();
        orders
            .filter_map(|order| self.open_order(order, now))
            .collect()
    }
}

/// Returns the bytes of the replica's adapters that are being drained or unloaded.
fn draining_bytes(replica: &ReplicaRecord) -> u64 {
    let adapters = replica.adapters.values();
    let draining = adapters.filter(|adapter| {
        matches!(
            adapter.stage,
            LifecycleStage::Draining | LifecycleStage::Unloading
        )
    });
    draining.map(|adapter| adapter.bytes).sum()
}
