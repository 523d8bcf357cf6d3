//! Reconciles a [`PoolPlanner`]'s records with the reported state of backend servers.

use std::collections::BTreeSet;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::LifecycleStage;
use crate::LoadedModel;
use crate::OrderAction;
use crate::OrderId;
use crate::OrderResult;
use crate::PoolPlanner;
use crate::ServerObservation;
use crate::open_order::OpenOrder;
use crate::replica_record::AdapterRecord;
use crate::replica_record::ReplicaRecord;
use crate::server_record::ServerRecord;

impl PoolPlanner {
    /// Updates the records from a backend server's state. This covers new and restarted servers,
    /// results of orders whose answers were lost, and loads by a predecessor. Observations older
    /// than the newest one are ignored.
    pub fn observe_server(&mut self, observation: ServerObservation, now: MonotonicTime) {
        let server = observation.server.clone();
        let known = self.servers.get(&server);
        if known.is_some_and(|record| observation.asked_at < record.observed_at) {
            return;
        }
        self.remove_if_restarted(&observation);
        self.update_server_record(&observation);
        let confirmed_at = self.servers.get(&server).map(|record| record.confirmed_at);
        if confirmed_at.is_some_and(|confirmed| observation.asked_at < confirmed) {
            return;
        }
        self.confirm_visible_orders(&observation, now);
        self.remove_missing(&observation);
        for (model, loaded) in &observation.loaded {
            self.record_loaded_model(&observation, model, loaded, now);
        }
    }

    /// Drops the records of a server whose boot id changed, because a restart unloads everything.
    fn remove_if_restarted(&mut self, observation: &ServerObservation) {
        let known = self.servers.get(&observation.server);
        if known.is_some_and(|record| record.boot_id != observation.boot_id) {
            self.remove_server(&observation.server);
        }
    }

    /// Copies the observed server data. If the address or the leaving state changed, the replica
    /// lists of the server's models get a new version.
    fn update_server_record(&mut self, observation: &ServerObservation) {
        let server = observation.server.clone();
        let record = self.servers.entry(server).or_default();
        let listed = record.address != observation.address || record.leaving != observation.leaving;
        record.address = observation.address.clone();
        record.place = observation.place.clone();
        record.boot_id = observation.boot_id;
        record.fencing = observation.fencing;
        record.leaving = observation.leaving;
        record.observed = true;
        record.observed_at = observation.asked_at;
        record.memory_bytes = observation.memory_bytes;
        record.accelerators = observation.accelerators;
        record.cached = observation.cached.clone();
        if listed {
            let models: Vec<_> = record.replicas.keys().cloned().collect();
            for model in models {
                self.bump_list_version(&model);
            }
        }
    }

    /// Confirms open orders whose effect is visible in the observation; their answers may be lost.
    fn confirm_visible_orders(&mut self, observation: &ServerObservation, now: MonotonicTime) {
        let open = self.orders.iter();
        let shown: Vec<OrderId> = open
            .filter(|(_, order)| order.server == observation.server)
            .filter(|(_, order)| shows_effect(observation, order))
            .map(|(order_id, _)| *order_id)
            .collect();
        for order_id in shown {
            self.confirm(order_id, OrderResult::Done, now);
        }
    }

    /// Removes replicas and adapters that the server no longer has. Those with an open order stay,
    /// because the order may not have arrived yet.
    fn remove_missing(&mut self, observation: &ServerObservation) {
        let ordered = self.ordered_models(&observation.server);
        let Some(record) = self.servers.get_mut(&observation.server) else {
            return;
        };
        let mut changed = Vec::new();
        record.replicas.retain(|model, replica| {
            let loaded = observation.loaded.get(model);
            let kept = loaded.is_some() || ordered.contains(model);
            let adapters = replica.adapters.len();
            replica.adapters.retain(|adapter, record| {
                let present = loaded.is_none_or(|loaded| loaded.adapters.contains_key(adapter));
                present || record.has_open_order()
            });
            if !kept || replica.adapters.len() != adapters {
                changed.push(model.clone());
            }
            kept
        });
        for model in changed {
            self.bump_list_version(&model);
        }
    }

    /// Returns the models with an open load or unload order on `server`.
    fn ordered_models(&self, server: &Name) -> BTreeSet<Name> {
        let orders = self.orders.values();
        let open = orders.filter(|order| order.server == *server && order.adapter.is_none());
        open.map(|order| order.model.clone()).collect()
    }

    /// Updates the record of a loaded model, or adds one for a model that a predecessor loaded.
    fn record_loaded_model(
        &mut self,
        observation: &ServerObservation,
        model: &Name,
        loaded: &LoadedModel,
        now: MonotonicTime,
    ) {
        let slots = self.catalog.models.get(model).map_or(1, |spec| spec.slots);
        let ordered = self.ordered_models(&observation.server).contains(model);
        let Some(record) = self.servers.get_mut(&observation.server) else {
            return;
        };
        let known = record.replicas.contains_key(model);
        let replica = replica_entry_mut(record, model, loaded, slots, now);
        let in_order = matches!(
            replica.stage,
            LifecycleStage::Loading | LifecycleStage::Unloading
        );
        if in_order && !ordered {
            // Until now, the replica was known only from a predecessor's adapter order.
            replica.stage = LifecycleStage::Ready;
            replica.slots = slots;
        }
        let changed = record_adapters(replica, loaded, now) || (in_order && !ordered);
        let load_changed = replica.running != loaded.running;
        replica.running = loaded.running;
        if loaded.running == 0 && observation.asked_at >= replica.maybe_running_since {
            replica.maybe_running = false;
        }
        if !known || changed || load_changed {
            self.bump_list_version(model);
        }
    }
}

/// Returns the record of a loaded model, and adds it if it is unknown.
fn replica_entry_mut<'a>(
    record: &'a mut ServerRecord,
    model: &Name,
    loaded: &LoadedModel,
    slots: u32,
    now: MonotonicTime,
) -> &'a mut ReplicaRecord {
    let replica = record.replicas.entry(model.clone()).or_insert_with(|| {
        let mut replica = ReplicaRecord::new(LifecycleStage::Ready, loaded.bytes, slots, now);
        // Its running requests may belong to tickets that no dispatcher has reported yet.
        replica.maybe_running = loaded.running > 0;
        replica.maybe_running_since = now;
        replica
    });
    if std::mem::take(&mut replica.bytes_include_adapters) {
        replica.bytes = loaded.bytes;
    }
    replica.bytes = replica.bytes.max(loaded.bytes);
    replica
}

/// Adds records for unknown adapters; returns true if there were any.
fn record_adapters(replica: &mut ReplicaRecord, loaded: &LoadedModel, now: MonotonicTime) -> bool {
    let known = replica.adapters.len();
    for (adapter, bytes) in &loaded.adapters {
        let record = replica
            .adapters
            .entry(adapter.clone())
            .or_insert_with(|| AdapterRecord::new(LifecycleStage::Ready, *bytes, now));
        record.bytes = record.bytes.max(*bytes);
    }
    replica.adapters.len() != known
}

/// Returns true if the observation shows the order's effect. The absence of a model or adapter
/// counts only if the state was requested after the order.
fn shows_effect(observation: &ServerObservation, order: &OpenOrder) -> bool {
    let loaded = observation.loaded.get(&order.model);
    let adapter = order.adapter.as_ref();
    let has_adapter = adapter
        .is_some_and(|adapter| loaded.is_some_and(|loaded| loaded.adapters.contains_key(adapter)));
    let later = observation.asked_at >= order.issued_at;
    match order.action {
        OrderAction::LoadModel => loaded.is_some(),
        OrderAction::UnloadModel => later && loaded.is_none(),
        OrderAction::LoadAdapter => has_adapter,
        OrderAction::UnloadAdapter => later && !has_adapter,
    }
}
