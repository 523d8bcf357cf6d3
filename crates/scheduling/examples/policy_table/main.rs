//! Simulation without I/O that prints the crate's rules next to their baselines.
//!
//! One seeded run per row feeds the same arrivals to a [`PoolPlanner`] and one [`ModelDispatcher`]
//! per model in steps of 50 ms. Loads take the catalog's time for the cache level; there is no
//! network and no failure. The figures compare rules and say nothing about a deployment.

mod arrival;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_scheduling::CacheLevel;
use zinniahinge_scheduling::DispatchDecision;
use zinniahinge_scheduling::DispatcherIdentity;
use zinniahinge_scheduling::DispatcherSettings;
use zinniahinge_scheduling::EnqueueOutcome;
use zinniahinge_scheduling::EvictionRule;
use zinniahinge_scheduling::KeepAliveRule;
use zinniahinge_scheduling::LifecycleStage;
use zinniahinge_scheduling::LoadOrder;
use zinniahinge_scheduling::LoadTimes;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::ModelDispatcher;
use zinniahinge_scheduling::ModelSpec;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PlacementRule;
use zinniahinge_scheduling::PoolCatalog;
use zinniahinge_scheduling::PoolOrder;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_scheduling::QueueOrder;
use zinniahinge_scheduling::ReplicaChoice;
use zinniahinge_scheduling::ServerObservation;
use zinniahinge_types::DemandReply;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::RequestId;
use zinniahinge_types::TicketId;
use zinniahinge_types::TraceId;

use crate::arrival::Arrival;
use crate::arrival::arrivals;

const SERVICE: &str = "trial";
const GB: u64 = 1 << 30;
const SEED: u64 = 20;
const MODELS: usize = 30;
const SERVERS: usize = 10;
const ACCOUNTS: usize = 5;
const FLOODING_ACCOUNT: usize = 0;
const STEP_MS: u64 = 50;
const RUN_MS: u64 = 3600 * 1000;

/// Report interval of dispatchers without requests that wait for a load.
const REPORT_MS: u64 = 1000;
const DEADLINE: Duration = Duration::from_secs(90);
const UNLOAD_MS: u64 = 200;

struct PolicyRow {
    name: &'static str,
    pool: PoolSettings,
    dispatcher: DispatcherSettings,
}

#[derive(Default)]
struct TrialResult {
    cold_waits_ms: Vec<u64>,
    account_waits_ms: BTreeMap<usize, Vec<u64>>,
    idle_ms: u64,
    loads: u32,
    granted: u32,
    /// Refused requests of all accounts but the flooding one.
    refused: u32,
}

struct Trial {
    planner: PoolPlanner,
    dispatchers: Vec<ModelDispatcher>,
    ends: BTreeMap<(u64, TicketId), RunningRequest>,
    orders: Vec<PendingOrder>,
    cached: BTreeMap<(Name, Name), CacheLevel>,
    catalog: PoolCatalog,
    result: TrialResult,
}

struct RunningRequest {
    model: usize,
    tokens: u64,
}

struct PendingOrder {
    done_ms: u64,
    order: PoolOrder,
}

fn main() {
    let arrivals = arrivals();
    println!(
        "Trial of pure code, seed {SEED}: {} requests in 1 h",
        arrivals.len()
    );
    println!("cold: requests that waited for a load; warm: the others; accounts 1 to 4 only");
    println!(
        "{:<32} {:>7} {:>11} {:>7} {:>17} {:>6} {:>8}",
        "rules", "cold %", "cold p99 s", "idle h", "worst warm p99 s", "loads", "refused"
    );
    for row in rows() {
        let name = row.name;
        let result = Trial::new(row).run(&arrivals);
        print_row(name, result);
    }
}

fn print_row(name: &str, mut result: TrialResult) {
    let cold = percentile(&mut result.cold_waits_ms, 99);
    let accounts = result.account_waits_ms.values_mut();
    let worst = accounts.map(|waits| percentile(waits, 99)).max();
    let cold_share = 100.0 * result.cold_waits_ms.len() as f64 / f64::from(result.granted);
    println!(
        "{name:<32} {cold_share:>7.2} {:>11.2} {:>7.2} {:>17.2} {:>6} {:>8}",
        cold as f64 / 1000.0,
        result.idle_ms as f64 / 3_600_000.0,
        worst.unwrap_or_default() as f64 / 1000.0,
        result.loads,
        result.refused
    );
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = (values.len() * percent).div_ceil(100).max(1);
    values.get(rank - 1).copied().unwrap_or_default()
}

// -------------------------------------------------------------------------------------------------
// Rules and catalog

fn rows() -> Vec<PolicyRow> {
    let row = |name, pool, dispatcher| PolicyRow {
        name,
        pool,
        dispatcher,
    };
    let ours = PoolSettings::default;
    let fair = DispatcherSettings::default;
    let lru = |keep_alive_s| PoolSettings {
        eviction: EvictionRule::LeastRecentlyUsed,
        keep_alive: KeepAliveRule::Fixed(Duration::from_secs(keep_alive_s)),
        ..ours()
    };
    let placed = |placement| PoolSettings {
        placement,
        ..ours()
    };
    let chosen = |replica_choice| DispatcherSettings {
        replica_choice,
        ..fair()
    };
    let patient = PoolSettings {
        idle_per_cold_second: 60.0,
        ..ours()
    };
    let first_in = PoolSettings {
        load_order: LoadOrder::FirstInFirstOut,
        ..ours()
    };
    let first_out = DispatcherSettings {
        queue_order: QueueOrder::FirstInFirstOut,
        ..fair()
    };
    vec![
        row("ours", ours(), fair()),
        row("ours, cold second worth 60 idle", patient, fair()),
        row("LRU, keep-alive 60 s", lru(60), fair()),
        row("LRU, keep-alive 600 s", lru(600), fair()),
        row(
            "random placement",
            placed(PlacementRule::Random),
            chosen(ReplicaChoice::Random),
        ),
        row(
            "least-loaded placement",
            placed(PlacementRule::LeastLoaded),
            chosen(ReplicaChoice::LeastLoaded),
        ),
        row("first in first out, loads", first_in, fair()),
        row("first in first out, requests", ours(), first_out),
    ]
}

fn catalog() -> PoolCatalog {
    let specs = (0..MODELS).map(|model| {
        let gigabytes = [16, 24, 40][model % 3];
        let spec = ModelSpec {
            bytes: gigabytes * GB,
            slots: 8,
            load_times: LoadTimes {
                memory: Duration::from_millis(40 * gigabytes),
                disk: Duration::from_millis(150 * gigabytes),
                remote: Duration::from_millis(500 * gigabytes),
            },
            max_replicas: 3,
        };
        (model_name(model), spec)
    });
    PoolCatalog {
        models: specs.collect(),
        ..PoolCatalog::default()
    }
}

fn model_name(model: usize) -> Name {
    format!("model-{model:02}").into()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

// -------------------------------------------------------------------------------------------------
// Run

impl Trial {
    fn new(row: PolicyRow) -> Self {
        let mut planner = PoolPlanner::new(SERVICE.into(), row.pool, 1, SEED);
        planner.set_catalog(catalog());
        let dispatchers = (0..MODELS).map(|model| {
            let identity = DispatcherIdentity {
                service: SERVICE.into(),
                model: model_name(model),
                incarnation: 1,
            };
            ModelDispatcher::new(identity, row.dispatcher.clone(), SEED)
        });
        let mut trial = Self {
            planner,
            dispatchers: dispatchers.collect(),
            ends: BTreeMap::new(),
            orders: Vec::new(),
            cached: initial_cache(),
            catalog: catalog(),
            result: TrialResult::default(),
        };
        trial.observe(0);
        trial
    }

    fn run(mut self, arrivals: &[Arrival]) -> TrialResult {
        let mut next = 0;
        for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            self.finish_requests(now_ms);
            self.finish_orders(now_ms);
            while let Some(arrival) = arrivals.get(next).filter(|a| a.at_ms <= now_ms) {
                self.enqueue(next, arrival, now_ms);
                next += 1;
            }
            self.report(now_ms);
            self.plan(now_ms);
            self.dispatch(arrivals, now_ms);
            if now_ms % REPORT_MS == 0 {
                self.observe(now_ms);
            }
            self.count_idle();
        }
        self.result
    }

    fn enqueue(&mut self, index: usize, arrival: &Arrival, now_ms: u64) {
        let request = DispatchRequest {
            request_id: RequestId(index as u128),
            trace_id: TraceId(0),
            host: "host".into(),
            service: SERVICE.into(),
            model: model_name(arrival.model),
            adapter: None,
            account: format!("account-{}", arrival.account).into(),
            class: PriorityClass::Normal,
            deadline_in: DEADLINE,
            tokens: arrival.tokens,
            place: "place".into(),
            prefix_hash: index as u64,
            excluded: Vec::new(),
        };
        let outcome = self.dispatchers[arrival.model].enqueue(request, at(now_ms));
        let queued = outcome == EnqueueOutcome::Queued;
        if !queued {
            self.count_refusal(arrival);
        }
    }

    fn dispatch(&mut self, arrivals: &[Arrival], now_ms: u64) {
        for model in 0..MODELS {
            for decision in self.dispatchers[model].poll(at(now_ms)) {
                match decision {
                    DispatchDecision::Refused { request_id, .. } => {
                        self.count_refusal(&arrivals[request_id.0 as usize]);
                    }
                    DispatchDecision::Granted { request_id, ticket } => {
                        let arrival = &arrivals[request_id.0 as usize];
                        self.count_wait(arrival, ticket.cold, now_ms);
                        let end = (now_ms + arrival.run_ms, ticket.ticket_id);
                        let tokens = arrival.tokens;
                        self.ends.insert(end, RunningRequest { model, tokens });
                    }
                }
            }
        }
    }

    fn count_refusal(&mut self, arrival: &Arrival) {
        self.result.refused += u32::from(arrival.account != FLOODING_ACCOUNT);
    }

    fn count_wait(&mut self, arrival: &Arrival, cold: bool, now_ms: u64) {
        if arrival.account == FLOODING_ACCOUNT {
            return;
        }
        let waited_ms = now_ms - arrival.at_ms;
        self.result.granted += 1;
        if cold {
            self.result.cold_waits_ms.push(waited_ms);
        } else {
            let waits = self.result.account_waits_ms.entry(arrival.account);
            waits.or_default().push(waited_ms);
        }
    }

    fn finish_requests(&mut self, now_ms: u64) {
        while let Some(entry) = self.ends.first_entry() {
            let (end_ms, ticket_id) = *entry.key();
            if end_ms > now_ms {
                return;
            }
            let RunningRequest { model, tokens } = entry.remove();
            let release = ReleaseRequest {
                service: SERVICE.into(),
                model: model_name(model),
                ticket_id,
                outcome: ReleaseOutcome::Finished,
                tokens,
                first_token: Some(Duration::from_millis(100)),
            };
            self.dispatchers[model].release(&release, at(now_ms));
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Pool

    fn report(&mut self, now_ms: u64) {
        for dispatcher in &mut self.dispatchers {
            let due = dispatcher.waits_for_load() || now_ms.is_multiple_of(REPORT_MS);
            if !due {
                continue;
            }
            let reply = self
                .planner
                .apply_demand(dispatcher.demand(at(now_ms)), at(now_ms));
            if let DemandReply::Replicas { version, replicas } = reply {
                dispatcher.apply_replicas(version, replicas);
            }
        }
    }

    fn plan(&mut self, now_ms: u64) {
        for order in self
            .planner
            .plan(at(now_ms))
            .into_iter()
            .filter(|order| !order.repeated)
        {
            let key = (order.server.clone(), order.model.clone());
            let level = self.cached.get(&key).copied().unwrap_or_default();
            let takes_ms = match order.action {
                OrderAction::LoadModel => {
                    self.result.loads += 1;
                    let times = self.catalog.models[&order.model].load_times;
                    u64::try_from(times.at(level).as_millis()).unwrap_or(u64::MAX)
                }
                _ => UNLOAD_MS,
            };
            let done_ms = now_ms + takes_ms;
            self.orders.push(PendingOrder { done_ms, order });
        }
    }

    fn finish_orders(&mut self, now_ms: u64) {
        let due = self
            .orders
            .extract_if(.., |pending| pending.done_ms <= now_ms);
        for PendingOrder { order, .. } in due {
            self.planner
                .confirm(order.order_id, OrderResult::Done, at(now_ms));
            if order.action == OrderAction::LoadModel {
                let key = (order.server, order.model);
                let level = self.cached.entry(key).or_default();
                *level = (*level).min(CacheLevel::Disk);
            }
        }
    }

    fn observe(&mut self, now_ms: u64) {
        let mut loaded: BTreeMap<Name, BTreeMap<Name, LoadedModel>> = BTreeMap::new();
        let replicas = self.planner.replicas();
        for replica in replicas.filter(|replica| replica.stage != LifecycleStage::Loading) {
            let model = LoadedModel {
                bytes: replica.bytes,
                running: replica.in_flight,
                ..LoadedModel::default()
            };
            let server = loaded.entry(replica.server).or_default();
            server.insert(replica.model, model);
        }
        for index in 0..SERVERS {
            let server = server_name(index);
            let cached = self.cached.iter().filter(|(key, _)| key.0 == server);
            let observation = ServerObservation {
                address: "127.0.0.1:1".into(),
                place: "place".into(),
                boot_id: 1,
                fencing: true,
                leaving: false,
                memory_bytes: 80 * GB,
                accelerators: 1,
                loaded: loaded.remove(&server).unwrap_or_default(),
                cached: cached.map(|(key, level)| (key.1.clone(), *level)).collect(),
                asked_at: at(now_ms),
                server,
            };
            self.planner.observe_server(observation, at(now_ms));
        }
    }

    /// Adds the time of idle replicas, weighted by their share of the server's memory.
    fn count_idle(&mut self) {
        for replica in self.planner.replicas() {
            let loaded = replica.stage != LifecycleStage::Loading;
            if loaded && replica.in_flight == 0 {
                self.result.idle_ms += STEP_MS * (replica.bytes / GB) / 80;
            }
        }
    }
}

fn server_name(index: usize) -> Name {
    format!("server-{index}").into()
}

/// Returns the initial cache: each checkpoint on two random servers, one copy in three of them in
/// memory and the others on disk.
fn initial_cache() -> BTreeMap<(Name, Name), CacheLevel> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut cached = BTreeMap::new();
    for model in 0..MODELS {
        for copy in 0..2 {
            let server = server_name(rng.random_range(0..SERVERS));
            let level = if (model + copy) % 3 == 0 {
                CacheLevel::Memory
            } else {
                CacheLevel::Disk
            };
            cached.insert((server, model_name(model)), level);
        }
    }
    cached
}
