//! Builders shared by the tests; each test binary uses only some of them.
#![allow(dead_code)]

pub mod engine_model;

use std::collections::BTreeMap;
use std::time::Duration;

use zinniahinge_scheduling::AdapterSpec;
use zinniahinge_scheduling::DispatchDecision;
use zinniahinge_scheduling::DispatcherIdentity;
use zinniahinge_scheduling::DispatcherSettings;
use zinniahinge_scheduling::LifecycleStage;
use zinniahinge_scheduling::LoadTimes;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::ModelDispatcher;
use zinniahinge_scheduling::ModelSpec;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PoolCatalog;
use zinniahinge_scheduling::PoolOrder;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_scheduling::ServerObservation;
use zinniahinge_types::AdapterDemand;
use zinniahinge_types::DemandReply;
use zinniahinge_types::DemandRequest;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::InFlightCount;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::ReplicaPhase;
use zinniahinge_types::RequestId;
use zinniahinge_types::TraceId;

pub const SERVICE: &str = "service";
pub const GB: u64 = 1 << 30;

pub fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

// -------------------------------------------------------------------------------------------------
// Dispatcher

pub fn identity(incarnation: u64) -> DispatcherIdentity {
    DispatcherIdentity {
        service: SERVICE.into(),
        model: "m".into(),
        incarnation,
    }
}

pub fn dispatcher(settings: DispatcherSettings) -> ModelDispatcher {
    ModelDispatcher::new(identity(1), settings, 1)
}

pub fn request(id: u128, account: &str, deadline_ms: u64) -> DispatchRequest {
    DispatchRequest {
        request_id: RequestId(id),
        trace_id: TraceId(id),
        host: "host-1".into(),
        service: SERVICE.into(),
        model: "m".into(),
        adapter: None,
        account: account.into(),
        class: PriorityClass::Normal,
        deadline_in: Duration::from_millis(deadline_ms),
        tokens: 100,
        place: "place-1".into(),
        prefix_hash: u64::try_from(id).unwrap_or_default(),
        excluded: Vec::new(),
    }
}

pub fn replica(server: &str, slots: u32) -> ReplicaEntry {
    ReplicaEntry {
        server: server.into(),
        address: format!("127.0.0.1:{}", server.len()).into(),
        place: "place-1".into(),
        slots,
        adapters: Vec::new(),
        phase: ReplicaPhase::Ready,
        reported_load: 0,
    }
}

pub fn release(ticket: &DispatchTicket, outcome: ReleaseOutcome) -> ReleaseRequest {
    ReleaseRequest {
        service: SERVICE.into(),
        model: "m".into(),
        ticket_id: ticket.ticket_id,
        outcome,
        tokens: 100,
        first_token: None,
    }
}

pub fn granted(decisions: &[DispatchDecision]) -> Vec<(u128, DispatchTicket)> {
    let grants = decisions.iter().filter_map(|decision| match decision {
        DispatchDecision::Granted { request_id, ticket } => Some((request_id.0, ticket.clone())),
        DispatchDecision::Refused { .. } => None,
    });
    grants.collect()
}

pub fn granted_ids(decisions: &[DispatchDecision]) -> Vec<u128> {
    granted(decisions)
        .into_iter()
        .map(|grant| grant.0)
        .collect()
}

pub fn ready_dispatcher(slots: u32) -> ModelDispatcher {
    let mut dispatcher = dispatcher(DispatcherSettings::default());
    dispatcher.apply_replicas(1, vec![replica("s0", slots)]);
    dispatcher
}

pub fn refusals(decisions: &[DispatchDecision]) -> Vec<(u128, RefusalReason)> {
    let refused = decisions.iter().filter_map(|decision| match decision {
        DispatchDecision::Refused {
            request_id, reason, ..
        } => Some((request_id.0, *reason)),
        DispatchDecision::Granted { .. } => None,
    });
    refused.collect()
}

// -------------------------------------------------------------------------------------------------
// Pool

pub fn model_spec(bytes: u64) -> ModelSpec {
    ModelSpec {
        bytes,
        slots: 4,
        load_times: LoadTimes {
            memory: Duration::from_secs(1),
            disk: Duration::from_secs(4),
            remote: Duration::from_secs(10),
        },
        max_replicas: 2,
    }
}

/// Models `m0`, `m1`, … of 10 GB, and adapters `a0` on `m0`, `a1` on `m1`, … of 1 GB.
pub fn catalog(models: usize) -> PoolCatalog {
    let specs = (0..models).map(|index| (format!("m{index}").into(), model_spec(10 * GB)));
    let adapters = (0..models).map(|index| {
        let spec = AdapterSpec {
            model: format!("m{index}").into(),
            bytes: GB,
        };
        (format!("a{index}").into(), spec)
    });
    PoolCatalog {
        models: specs.collect(),
        adapters: adapters.collect(),
    }
}

pub fn observation(server: &str, memory_bytes: u64, asked_at: MonotonicTime) -> ServerObservation {
    ServerObservation {
        server: server.into(),
        address: "127.0.0.1:1".into(),
        place: "place-1".into(),
        boot_id: 1,
        fencing: true,
        leaving: false,
        memory_bytes,
        accelerators: 1,
        loaded: BTreeMap::new(),
        cached: BTreeMap::new(),
        asked_at,
    }
}

/// A planner with servers `s0`, `s1`, … of the given memory and `models` models.
pub fn planner(settings: PoolSettings, servers: &[u64], models: usize) -> PoolPlanner {
    let mut planner = PoolPlanner::new(SERVICE.into(), settings, 1, 1);
    planner.set_catalog(catalog(models));
    for (index, memory) in servers.iter().enumerate() {
        planner.observe_server(observation(&format!("s{index}"), *memory, at(0)), at(0));
    }
    planner
}

pub fn waiting(count: u32) -> AdapterDemand {
    AdapterDemand {
        adapter: None,
        count,
        class: PriorityClass::Normal,
        account: "account-1".into(),
        deadline_in: Duration::from_secs(60),
        waited: Duration::ZERO,
    }
}

pub fn demand(model: &str, applied_version: u64, waiting: Vec<AdapterDemand>) -> DemandRequest {
    DemandRequest {
        service: SERVICE.into(),
        model: model.into(),
        applied_version,
        arrivals: u64::from(!waiting.is_empty()),
        waiting,
        in_flight: Vec::new(),
    }
}

pub fn in_flight(server: &str, count: u32) -> InFlightCount {
    InFlightCount {
        server: server.into(),
        count,
    }
}

pub fn fast_settings() -> PoolSettings {
    PoolSettings {
        loads_per_second: 1000.0,
        ..PoolSettings::default()
    }
}

pub fn list(reply: DemandReply) -> (u64, Vec<ReplicaEntry>) {
    match reply {
        DemandReply::Replicas { version, replicas } => (version, replicas),
        DemandReply::NotOwner => panic!("planner replied NotOwner for its own service"),
    }
}

/// Loads `model` on some server and returns that server's name.
pub fn load(planner: &mut PoolPlanner, model: &str, now: MonotonicTime) -> String {
    planner.apply_demand(demand(model, 0, vec![waiting(1)]), now);
    let orders = planner.plan(now);
    let order = orders
        .iter()
        .find(|order| &*order.model == model)
        .expect("the plan has a load order");
    planner.confirm(order.order_id, OrderResult::Done, now);
    report(planner, model, 0, now);
    order.server.to_string()
}

/// Reports twice for the model's dispatcher: it applies the newest list and then has `running`
/// requests in flight on each server. Returns the version of the list.
pub fn report(planner: &mut PoolPlanner, model: &str, running: u32, now: MonotonicTime) -> u64 {
    let (version, replicas) = list(planner.apply_demand(demand(model, 0, Vec::new()), now));
    observe_idle_servers(planner, now);
    let mut applied = demand(model, version, Vec::new());
    let servers = replicas.iter().map(|entry| &entry.server);
    applied.in_flight = servers.map(|server| in_flight(server, running)).collect();
    planner.apply_demand(applied, now);
    version
}

/// Observes every server with the replicas that the planner has recorded and nothing running.
pub fn observe_idle_servers(planner: &mut PoolPlanner, now: MonotonicTime) {
    let servers: Vec<_> = planner.servers().collect();
    for server in servers {
        let mut seen = observation(&server.server, server.memory_bytes, now);
        for replica in planner.replicas().filter(|r| r.server == server.server) {
            if replica.stage != LifecycleStage::Loading {
                let loaded = LoadedModel {
                    bytes: 10 * GB,
                    adapters: replica.adapters.iter().map(|a| (a.clone(), GB)).collect(),
                    running: 0,
                };
                seen.loaded.insert(replica.model, loaded);
            }
        }
        planner.observe_server(seen, now);
    }
}

pub fn models(orders: &[PoolOrder], action: OrderAction) -> Vec<String> {
    let matching = orders.iter().filter(|order| order.action == action);
    matching.map(|order| order.model.to_string()).collect()
}
