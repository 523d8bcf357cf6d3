//! Runs the pools that this process owns: observes backend servers, plans, and gives orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_document::ServiceKind;
use zinniahinge_kv::KvClient;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::MemoryReservation;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderId;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PoolOrder;
use zinniahinge_scheduling::ServerObservation;
use zinniahinge_telemetry::EventLog;
use zinniahinge_types::EventKind;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::ServerEntry;
use zinniahinge_types::ServerState;

use crate::dispatch_table::adapter_id;
use crate::engine_client::EngineClient;
use crate::engine_client::EngineModel;
use crate::engine_client::EnginePhase;
use crate::engine_client::EngineState;
use crate::engine_client::OrderEnd;
use crate::in_force::DocumentEntry;
use crate::in_force::InForceCell;
use crate::in_force::InForceState;
use crate::member_core::MemberCell;
use crate::pool_cell::PoolCell;
use crate::record_keys::reservation_key;
use crate::record_keys::reservations_prefix;
use crate::record_writer::RecordOutcome;
use crate::record_writer::RecordWriter;
use crate::shard_table::ShardTable;
use crate::work_signal::WorkSignal;

/// How often each pool plans while a load or unload is open.
const BUSY_INTERVAL: Duration = Duration::from_millis(25);

/// How often each pool plans otherwise. New demand wakes it at once. A plan at the size of two years takes 1.8 ms.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// How often each backend server is asked for its state.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

/// Runs pools.
#[derive(Clone)]
pub struct PoolController {
    /// Shards.
    pub shards: Arc<ShardTable>,
    /// Authority.
    pub member: Arc<MemberCell>,
    /// Documents and host list.
    pub in_force: Arc<InForceCell>,
    /// Reads reservations.
    pub kv: KvClient,
    /// Writes reservations.
    pub writer: RecordWriter,
    /// Engines.
    pub engines: EngineClient,
    /// Raised when a pool has new demand.
    pub wakeup: Arc<WorkSignal>,
    /// Events.
    pub events: Arc<EventLog>,
    /// Log.
    pub logger: Logger,
}

/// A backend server to ask for its state.
struct ServerAsk {
    entry: ServerEntry,
    fence: u64,
    fencing: bool,
}

/// What one pool has to do now.
#[derive(Default)]
struct PoolWork {
    asks: Vec<ServerAsk>,
    orders: Vec<PoolOrder>,
    must_read: bool,
    is_busy: bool,
}

impl PoolController {
    /// Runs until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        loop {
            let in_force = self.in_force.load();
            let mut is_busy = false;
            for (service, document) in &in_force.documents {
                if document.compiled.document().kind == ServiceKind::Models {
                    is_busy |= self.tick(service, document, &in_force);
                }
            }
            let pause = self.wakeup.pause(is_busy, BUSY_INTERVAL, IDLE_INTERVAL);
            if token.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    /// Returns true if the pool has work that goes on.
    fn tick(&self, service: &Name, document: &DocumentEntry, in_force: &InForceState) -> bool {
        let key = pool_key(service);
        let group = &document.compiled.document().group;
        let listed: Vec<ServerEntry> = in_force
            .servers
            .iter()
            .filter(|entry| entry.group == *group)
            .cloned()
            .collect();
        let work = self.shards.with(&key, |state, owner| {
            let pool = state.pools.entry(service.clone()).or_insert_with(|| {
                let compiled = document.compiled.clone();
                PoolCell::recover(service.clone(), compiled, owner.fence, owner.now)
            });
            pool.apply_document(&document.compiled);
            pool_work(pool, &listed, owner.now)
        });
        let Some(PoolWork {
            asks,
            orders,
            must_read,
            is_busy,
        }) = work
        else {
            return false;
        };
        if must_read {
            let (this, service) = (self.clone(), service.clone());
            tokio::spawn(async move { this.read_reservations(service).await });
        }
        for ask in asks {
            let (this, service) = (self.clone(), service.clone());
            tokio::spawn(async move { this.observe(service, ask).await });
        }
        for order in orders {
            let (this, service) = (self.clone(), service.clone());
            tokio::spawn(async move { this.execute(service, order).await });
        }
        is_busy
    }

    // ------------------------------------------------------------------------

    /// Reads what a former owner may have ordered. Nothing is planned before.
    async fn read_reservations(&self, service: Name) {
        let listing = self.kv.range_prefix(&reservations_prefix(&service)).await;
        let key = pool_key(&service);
        self.shards.with(&key, |state, owner| {
            let Some(pool) = state.pools.get_mut(&service) else {
                return;
            };
            pool.is_reading = false;
            let Ok(listing) = &listing else { return };
            let entries = listing.entries.iter();
            let reservations = entries.filter_map(|entry| {
                serde_json::from_slice::<Vec<MemoryReservation>>(&entry.value).ok()
            });
            pool.finish_reading(reservations.flatten().collect(), owner.now);
        });
    }

    async fn observe(&self, service: Name, ask: ServerAsk) {
        let ServerAsk {
            entry,
            fence,
            fencing,
        } = ask;
        let mut asked_at = self.member.now();
        let mut state = self.engines.state(&entry.address).await;
        if fencing
            && state
                .as_ref()
                .is_some_and(|state| state.highest_fence < fence)
        {
            // The state counts only after the engine refuses the orders of former owners.
            self.engines.raise_fence(&entry.address, fence).await;
            asked_at = self.member.now();
            state = self.engines.state(&entry.address).await;
            state = state.filter(|state| state.highest_fence >= fence);
        }
        let in_force = self.in_force.load();
        let key = pool_key(&service);
        self.shards.with(&key, |shard, owner| {
            let Some(pool) = shard.pools.get_mut(&service) else {
                return;
            };
            pool.asking.remove(&entry.server);
            pool.next_ask
                .insert(entry.server.clone(), owner.now + OBSERVE_INTERVAL);
            if let Some(state) = state {
                apply_state(pool, &entry, &state, fencing, asked_at, owner.now);
                let group = &entry.group;
                let listed = in_force
                    .servers
                    .iter()
                    .filter(|listed| listed.group == *group);
                pool.end_recovery_if_complete(listed.map(|listed| listed.server.clone()));
            }
        });
    }

    // ------------------------------------------------------------------------

    async fn execute(&self, service: Name, order: PoolOrder) {
        self.note_order(&order);
        let end = self.give(&service, &order).await;
        let result = match end {
            OrderEnd::Known(result) => result,
            OrderEnd::Unknown => {
                warn!(self.logger, "order has no known result"; "server" => &*order.server);
                return;
            }
            OrderEnd::Fenced => {
                warn!(self.logger, "order refused, another owner is newer"; "server" => &*order.server);
                return;
            }
        };
        self.note_result(&order, result);
        self.shards.with(&pool_key(&service), |state, owner| {
            if let Some(pool) = state.pools.get_mut(&service) {
                pool.planner.confirm(order.order_id, result, owner.now);
            }
        });
        self.wakeup.raise();
        if !order.fencing {
            self.write_reservations(&service, &order.server).await;
        }
    }

    /// Records the order first if the engine would carry it out whoever sends it. Authority is checked after the
    /// record was written, as late as possible before the order is sent.
    async fn give(&self, service: &Name, order: &PoolOrder) -> OrderEnd {
        if !order.fencing
            && self.write_reservations(service, &order.server).await != RecordOutcome::Written
        {
            return OrderEnd::Known(OrderResult::NotSent);
        }
        let version = self.shards.with(&pool_key(service), |state, owner| {
            let pool = state.pools.get(service)?;
            let is_current = pool.fence == order.fence && owner.fence >= pool.fence;
            let document = pool.document()?;
            let version = document
                .model(&order.model)
                .and_then(|model| model.version.clone());
            is_current.then_some(version)
        });
        match version.flatten() {
            Some(version) => self.engines.order(order, version.as_deref()).await,
            None => OrderEnd::Known(OrderResult::NotSent),
        }
    }

    /// Writes the open orders of a backend server, which include one that is about to be sent.
    async fn write_reservations(&self, service: &Name, server: &Name) -> RecordOutcome {
        let key = pool_key(service);
        let open = self.shards.with(&key, |state, _owner| {
            state
                .pools
                .get(service)
                .map(|pool| pool.planner.reservations(server))
        });
        let Some(Some(open)) = open else {
            return RecordOutcome::NotOwner;
        };
        let value = serde_json::to_vec(&open).unwrap_or_default();
        let record_key = reservation_key(service, server);
        self.writer
            .write(key.shard(), record_key, Some(Bytes::from(value)))
            .await
    }

    fn note_order(&self, order: &PoolOrder) {
        let kind = match order.action {
            OrderAction::LoadModel | OrderAction::LoadAdapter => EventKind::LoadOrdered,
            OrderAction::UnloadModel | OrderAction::UnloadAdapter => EventKind::UnloadOrdered,
        };
        self.events.record(
            kind,
            None,
            subject(order),
            format!("server {}", order.server),
        );
        info!(self.logger, "order"; "action" => ?order.action, "server" => &*order.server,
            "model" => &*subject(order));
    }

    fn note_result(&self, order: &PoolOrder, result: OrderResult) {
        let is_load = matches!(
            order.action,
            OrderAction::LoadModel | OrderAction::LoadAdapter
        );
        let kind = match (is_load, result) {
            (true, OrderResult::Done) => EventKind::LoadFinished,
            (true, _) => EventKind::LoadFailed,
            (false, _) => EventKind::UnloadFinished,
        };
        let detail = format!("server {}, {result:?}", order.server);
        self.events.record(kind, None, subject(order), detail);
    }
}

fn pool_work(pool: &mut PoolCell, listed: &[ServerEntry], now: MonotonicTime) -> PoolWork {
    if !pool.is_ready {
        let must_read = !pool.is_reading;
        pool.is_reading = true;
        return PoolWork {
            must_read,
            is_busy: true,
            ..PoolWork::default()
        };
    }
    forget_gone(pool, listed);
    let asks = due_asks(pool, listed, now);
    let orders = pool.planner.plan(now);
    let wakeup = pool.planner.next_wakeup(now);
    let is_busy = pool.planner.open_orders() > 0
        || wakeup.is_some_and(|wakeup| wakeup.since(now) < IDLE_INTERVAL);
    PoolWork {
        asks,
        orders,
        must_read: false,
        is_busy,
    }
}

fn forget_gone(pool: &mut PoolCell, listed: &[ServerEntry]) {
    let is_listed = |server: &Name| listed.iter().any(|entry| entry.server == *server);
    let gone: Vec<Name> = pool
        .planner
        .server_names()
        .filter(|server| !is_listed(server))
        .cloned()
        .collect();
    for server in gone {
        pool.planner.remove_server(&server);
        pool.next_ask.remove(&server);
    }
}

fn due_asks(pool: &mut PoolCell, listed: &[ServerEntry], now: MonotonicTime) -> Vec<ServerAsk> {
    let Some(document) = pool.document().cloned() else {
        return Vec::new();
    };
    let mut asks = Vec::new();
    for entry in listed {
        let due = pool.next_ask.get(&entry.server).is_none_or(|at| *at <= now);
        if due && pool.asking.insert(entry.server.clone()) {
            let fencing = document.document().fencing;
            asks.push(ServerAsk {
                entry: entry.clone(),
                fence: pool.fence,
                fencing,
            });
        }
    }
    asks
}

fn apply_state(
    pool: &mut PoolCell,
    entry: &ServerEntry,
    state: &EngineState,
    fencing: bool,
    asked_at: MonotonicTime,
    now: MonotonicTime,
) {
    adopt_open_orders(pool, entry, state, now);
    let ready = state
        .models
        .iter()
        .filter(|model| model.phase == EnginePhase::Ready);
    let observation = ServerObservation {
        server: entry.server.clone(),
        address: entry.address.clone(),
        place: entry.place.clone(),
        boot_id: state.boot_number(),
        fencing,
        leaving: entry.state == ServerState::Leaving,
        memory_bytes: state.memory_capacity_bytes,
        accelerators: 1,
        loaded: ready.map(loaded_model).collect(),
        cached: cached_models(state),
        asked_at,
    };
    pool.planner.observe_server(observation, now);
    pool.observed.insert(entry.server.clone());
}

/// A load or unload that runs on the engine but is not an order of this planner was given by a former owner. Its
/// memory counts as used until the engine reports the result.
fn adopt_open_orders(
    pool: &mut PoolCell,
    entry: &ServerEntry,
    state: &EngineState,
    now: MonotonicTime,
) {
    let known = pool.planner.reservations(&entry.server);
    let mut foreign = Vec::new();
    for model in &state.models {
        let action = match model.phase {
            EnginePhase::Loading => OrderAction::LoadModel,
            EnginePhase::Unloading => OrderAction::UnloadModel,
            EnginePhase::Ready => continue,
        };
        if known.iter().any(|order| order.model == model.model) {
            continue;
        }
        foreign.push(MemoryReservation {
            order_id: OrderId(model.order_id.parse().unwrap_or_default()),
            action,
            server: entry.server.clone(),
            boot_id: state.boot_number(),
            model: model.model.clone(),
            adapter: None,
            bytes: model.bytes,
        });
    }
    if !foreign.is_empty() {
        pool.planner.recover(foreign, now);
    }
}

fn loaded_model(model: &EngineModel) -> (Name, LoadedModel) {
    let adapters = model.adapters.iter();
    let adapters = adapters.map(|(name, bytes)| (adapter_id(&model.model, name), *bytes));
    let loaded = LoadedModel {
        bytes: model.bytes,
        adapters: adapters.collect(),
        running: model.running,
    };
    (model.model.clone(), loaded)
}

/// Best level of each model over its versions.
fn cached_models(state: &EngineState) -> BTreeMap<Name, zinniahinge_scheduling::CacheLevel> {
    let mut levels = BTreeMap::new();
    for (checkpoint, level) in &state.cache {
        let model = checkpoint.split('@').next().unwrap_or(checkpoint);
        let entry = levels.entry(Name::from(model)).or_insert(*level);
        *entry = (*entry).min(*level);
    }
    levels
}

fn pool_key(service: &Name) -> ResourceKey {
    ResourceKey::Pool {
        service: service.clone(),
    }
}

fn subject(order: &PoolOrder) -> Name {
    order.adapter.clone().unwrap_or_else(|| order.model.clone())
}
