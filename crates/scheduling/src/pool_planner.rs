use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::LifecycleStage;
use crate::MemoryReservation;
use crate::OrderAction;
use crate::OrderId;
use crate::OrderResult;
use crate::PoolCatalog;
use crate::PoolOrder;
use crate::PoolSettings;
use crate::demand_record::DemandRecord;
use crate::load_pacer::LoadPacer;
use crate::open_order::OpenOrder;
use crate::replica_record::AdapterRecord;
use crate::replica_record::ReplicaRecord;
use crate::server_record::ServerRecord;

/// Low bits of list versions and order ids that count within one fence: 16 million of each per
/// owner.
const VERSION_BITS_PER_FENCE: u32 = 24;

/// Decides which models and adapters are loaded on which backend servers of one service.
///
/// Does no I/O. The caller passes observations, demand and results in, sends the orders of
/// [`Self::plan`], and calls it again after every change and at [`Self::next_wakeup`].
#[derive(Debug)]
pub struct PoolPlanner {
    pub(crate) settings: PoolSettings,
    pub(crate) service: Name,
    pub(crate) fence: u64,
    pub(crate) catalog: PoolCatalog,
    pub(crate) servers: BTreeMap<Name, ServerRecord>,
    pub(crate) demands: BTreeMap<Name, DemandRecord>,
    pub(crate) orders: BTreeMap<OrderId, OpenOrder>,
    pub(crate) permits: LoadPacer,
    /// Memory that is being freed for a pending load, by model.
    pub(crate) claims: BTreeMap<Name, MemoryClaim>,
    /// Until this time, demand replies carry no replica list, because some servers may not have
    /// been observed yet.
    pub(crate) recovering_until: Option<MonotonicTime>,
    pub(crate) version: u64,
    /// Id of the newest order.
    pub(crate) last_order: u64,
    pub(crate) rng: StdRng,
}

/// Memory on a server that is set aside for loading a model.
#[derive(Clone, Debug)]
pub(crate) struct MemoryClaim {
    pub(crate) server: Name,
    pub(crate) bytes: u64,
}

impl PoolPlanner {
    /// Creates a planner without servers. `fence` is the assignment revision under which it
    /// decides; it makes list versions and order ids larger than those of any predecessor.
    pub fn new(service: Name, settings: PoolSettings, fence: u64, seed: u64) -> Self {
        Self {
            settings,
            service,
            fence,
            catalog: PoolCatalog::default(),
            servers: BTreeMap::new(),
            demands: BTreeMap::new(),
            orders: BTreeMap::new(),
            permits: LoadPacer::default(),
            claims: BTreeMap::new(),
            recovering_until: None,
            version: fence << VERSION_BITS_PER_FENCE,
            last_order: fence << VERSION_BITS_PER_FENCE,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Replaces the settings, for example when the configured limits of the weight store change.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        self.settings = settings;
    }

    /// Replaces the catalog. The next plan drains replicas of models that are no longer in it.
    pub fn set_catalog(&mut self, catalog: PoolCatalog) {
        self.catalog = catalog;
        let models = &self.catalog.models;
        self.claims.retain(|model, _| models.contains_key(model));
        for record in self.servers.values_mut() {
            for (model, replica) in &mut record.replicas {
                let spec = models.get(model);
                replica.slots = spec.map_or(replica.slots, |spec| spec.slots);
            }
        }
        let known: Vec<_> = self.demands.keys().cloned().collect();
        for model in known {
            self.bump_list_version(&model);
        }
    }

    /// Starts recovery after a takeover without state: replica lists are withheld until
    /// [`Self::finish_recovery`] or `until`, so that dispatchers keep their present lists while the
    /// servers are queried.
    pub fn begin_recovery(&mut self, until: MonotonicTime) {
        self.recovering_until = Some(until);
    }

    /// Ends the recovery; called once all servers have been observed.
    pub fn finish_recovery(&mut self) {
        self.recovering_until = None;
    }

    pub(crate) fn is_recovering(&self, now: MonotonicTime) -> bool {
        self.recovering_until.is_some_and(|until| now < until)
    }

    /// Restores a predecessor's orders whose results are unknown, and delays the next load by 1 s.
    pub fn recover(&mut self, reservations: Vec<MemoryReservation>, now: MonotonicTime) {
        self.permits.delay_until(now + Duration::from_secs(1));
        for reservation in reservations {
            self.recover_order(reservation, now);
        }
    }

    /// Reserves the memory of one order, unless the server has restarted since or shows the
    /// finished load.
    fn recover_order(&mut self, reservation: MemoryReservation, now: MonotonicTime) {
        let MemoryReservation {
            order_id,
            action,
            server,
            boot_id,
            model,
            adapter,
            bytes,
        } = reservation;
        let record = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| ServerRecord {
                boot_id,
                ..ServerRecord::default()
            });
        let restarted = record.boot_id != boot_id;
        if restarted || shows_load(record, action, &model) {
            return;
        }
        let order = OpenOrder {
            action,
            server,
            boot_id,
            model,
            adapter,
            bytes,
            issued_at: now,
            resend_at: now + self.settings.resend_after,
            permit: action == OrderAction::LoadModel,
            account: None,
        };
        reserve(record, &order, now);
        self.orders.insert(order_id, order);
    }

    /// Returns the orders on `server` whose results are unknown, in the form that the key-value
    /// service stores.
    pub fn reservations(&self, server: &str) -> Vec<MemoryReservation> {
        let open = self.orders.iter();
        let on_server = open.filter(|(_, order)| &*order.server == server);
        on_server
            .map(|(order_id, order)| order.reservation(*order_id))
            .collect()
    }

    /// Removes a backend server that is no longer in the host list, with its replicas, orders and
    /// claims.
    pub fn remove_server(&mut self, server: &str) {
        let Some(record) = self.servers.remove(server) else {
            return;
        };
        self.drop_orders(server);
        self.claims.retain(|_, claim| &*claim.server != server);
        for model in record.replicas.keys() {
            self.bump_list_version(model);
        }
    }

    /// Removes the open orders of a server without results.
    pub(crate) fn drop_orders(&mut self, server: &str) {
        self.orders.retain(|_, order| &*order.server != server);
    }

    /// Returns the names of the known backend servers.
    pub fn server_names(&self) -> impl Iterator<Item = &Name> {
        self.servers.keys()
    }

    /// Assigns a new version to the model's replica list, so that its dispatcher gets the change.
    pub(crate) fn bump_list_version(&mut self, model: &Name) -> u64 {
        self.version += 1;
        let demand = self.demands.entry(model.clone()).or_default();
        demand.list_version = self.version;
        self.version
    }

    pub(crate) fn replica_mut(&mut self, server: &str, model: &str) -> Option<&mut ReplicaRecord> {
        self.servers.get_mut(server)?.replicas.get_mut(model)
    }

    // ---------------------------------------------------------------------------------------------
    // Orders

    /// Records an order as open and reserves its memory. Memory and replica limits are checked here
    /// again, independently of the rule that chose the order; returns `None` if one would be
    /// violated.
    pub(crate) fn open_order(&mut self, order: OpenOrder, now: MonotonicTime) -> Option<PoolOrder> {
        let below_limit = self.is_below_replica_limit(&order.model);
        let record = self.servers.get_mut(&order.server)?;
        let within_limit = order.action != OrderAction::LoadModel || below_limit;
        if !within_limit || !is_allowed(record, &order, now) {
            return None;
        }
        reserve(record, &order, now);
        self.last_order += 1;
        let order_id = OrderId(self.last_order);
        let sent = self.order_message(order_id, &order, false);
        self.orders.insert(order_id, order);
        sent
    }

    /// Returns true if one more replica may be loaded: none is loading, and fewer are ready than
    /// the catalog allows.
    fn is_below_replica_limit(&self, model: &Name) -> bool {
        let Some(spec) = self.catalog.models.get(model) else {
            return false;
        };
        let records = self.servers.values();
        let replicas = records.filter_map(|record| record.replicas.get(model));
        let mut ready = 0;
        for replica in replicas {
            match replica.stage {
                LifecycleStage::Loading => return false,
                LifecycleStage::Ready => ready += 1,
                LifecycleStage::Draining | LifecycleStage::Unloading => {}
            }
        }
        ready < spec.max_replicas.max(1)
    }

    /// Builds the message for the server; `None` if the server is unknown.
    pub(crate) fn order_message(
        &self,
        order_id: OrderId,
        order: &OpenOrder,
        repeated: bool,
    ) -> Option<PoolOrder> {
        let record = self.servers.get(&order.server)?;
        Some(PoolOrder {
            order_id,
            fence: self.fence,
            action: order.action,
            server: order.server.clone(),
            address: record.address.clone(),
            boot_id: order.boot_id,
            fencing: record.fencing,
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            bytes: order.bytes,
            repeated,
        })
    }

    /// Applies the result of an order; returns false if the order is not open.
    pub fn confirm(&mut self, order_id: OrderId, result: OrderResult, now: MonotonicTime) -> bool {
        let Some(order) = self.orders.remove(&order_id) else {
            return false;
        };
        if let Some(record) = self.servers.get_mut(&order.server) {
            record.confirmed_at = record.confirmed_at.max(now);
        }
        match order.action {
            OrderAction::LoadModel => self.end_model_load(&order, result, now),
            OrderAction::UnloadModel => self.end_model_unload(&order, result, now),
            OrderAction::LoadAdapter => self.end_adapter_load(&order, result, now),
            OrderAction::UnloadAdapter => self.end_adapter_unload(&order, result),
        }
        self.bump_list_version(&order.model);
        true
    }

    /// Makes the replica ready, or removes it; a failure delays the next load on this server.
    fn end_model_load(&mut self, order: &OpenOrder, result: OrderResult, now: MonotonicTime) {
        let pause = self.settings.load_retry_delay;
        let spec = self.catalog.models.get(&order.model);
        let slots = spec.map_or(1, |spec| spec.slots);
        let Some(record) = self.servers.get_mut(&order.server) else {
            return;
        };
        match result {
            OrderResult::Done => {
                record.failures.remove(&order.model);
                if let Some(replica) = record.replicas.get_mut(&order.model) {
                    replica.stage = LifecycleStage::Ready;
                    replica.slots = slots;
                    replica.ready_at = now;
                    replica.last_busy = now;
                }
            }
            OrderResult::Failed => {
                record.replicas.remove(&order.model);
                record.record_failure(&order.model, pause, now);
            }
            OrderResult::NotSent => {
                record.replicas.remove(&order.model);
            }
        }
    }

    /// Removes the replica, or keeps it and allows the next unload after a delay.
    fn end_model_unload(&mut self, order: &OpenOrder, result: OrderResult, now: MonotonicTime) {
        let pause = self.settings.load_retry_delay;
        let Some(record) = self.servers.get_mut(&order.server) else {
            return;
        };
        if result == OrderResult::Done {
            record.replicas.remove(&order.model);
        } else if let Some(replica) = record.replicas.get_mut(&order.model) {
            replica.abort_unload(now + pause);
        }
    }

    /// Makes the adapter ready, or removes it; a failure delays the next load on this server.
    fn end_adapter_load(&mut self, order: &OpenOrder, result: OrderResult, now: MonotonicTime) {
        if let (OrderResult::Failed, Some(adapter)) = (result, &order.adapter) {
            let pause = self.settings.load_retry_delay;
            if let Some(record) = self.servers.get_mut(&order.server) {
                record.record_failure(adapter, pause, now);
            }
        }
        let Some((replica, adapter)) = self.adapter_target(order) else {
            return;
        };
        if result != OrderResult::Done {
            replica.adapters.remove(&adapter);
        } else if let Some(record) = replica.adapters.get_mut(&adapter) {
            record.stage = LifecycleStage::Ready;
            record.last_used = now;
        }
    }

    /// Removes the adapter, or makes it ready again.
    fn end_adapter_unload(&mut self, order: &OpenOrder, result: OrderResult) {
        let Some((replica, adapter)) = self.adapter_target(order) else {
            return;
        };
        if result == OrderResult::Done {
            replica.adapters.remove(&adapter);
        } else if let Some(record) = replica.adapters.get_mut(&adapter) {
            record.stage = LifecycleStage::Ready;
            record.drain = None;
        }
    }

    /// Returns the replica of an adapter order and the adapter's name.
    fn adapter_target(&mut self, order: &OpenOrder) -> Option<(&mut ReplicaRecord, Name)> {
        let adapter = order.adapter.clone()?;
        let replica = self.replica_mut(&order.server, &order.model)?;
        Some((replica, adapter))
    }
}

/// Returns true if the server's state shows that a predecessor's load succeeded.
fn shows_load(record: &ServerRecord, action: OrderAction, model: &Name) -> bool {
    action == OrderAction::LoadModel && record.observed && record.replicas.contains_key(model)
}

/// Checks an order against the server's free memory and the replica's stage; the last check before
/// it is sent.
fn is_allowed(record: &ServerRecord, order: &OpenOrder, now: MonotonicTime) -> bool {
    let replica = record.replicas.get(&order.model);
    match order.action {
        OrderAction::LoadModel => replica.is_none() && record.free_bytes() >= order.bytes,
        OrderAction::LoadAdapter => {
            let ready = replica.is_some_and(|replica| replica.stage == LifecycleStage::Ready);
            ready && record.free_bytes() >= order.bytes
        }
        OrderAction::UnloadModel => replica.is_some_and(|replica| replica.may_unload(now)),
        OrderAction::UnloadAdapter => {
            let adapter = order.adapter.as_ref();
            let record = replica.and_then(|replica| replica.adapters.get(adapter?));
            let drain = record.and_then(|record| record.drain);
            drain.is_some_and(|drain| drain.acknowledged)
        }
    }
}

/// Applies an order's effect on memory and stages before its result is known, so that no later
/// order uses the same memory.
fn reserve(record: &mut ServerRecord, order: &OpenOrder, now: MonotonicTime) {
    let stage = match order.action {
        OrderAction::LoadModel | OrderAction::LoadAdapter => LifecycleStage::Loading,
        OrderAction::UnloadModel | OrderAction::UnloadAdapter => LifecycleStage::Unloading,
    };
    let model_bytes = if order.adapter.is_none() {
        order.bytes
    } else {
        0
    };
    let replica = record
        .replicas
        .entry(order.model.clone())
        .or_insert_with(|| ReplicaRecord {
            bytes_include_adapters: order.action == OrderAction::UnloadModel,
            ..ReplicaRecord::new(stage, model_bytes, 1, now)
        });
    match &order.adapter {
        None => replica.stage = stage,
        Some(adapter) => {
            let adapter = replica.adapters.entry(adapter.clone());
            let adapter = adapter.or_insert_with(|| AdapterRecord::new(stage, order.bytes, now));
            adapter.stage = stage;
        }
    }
}
