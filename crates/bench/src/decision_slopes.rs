use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use zinniahinge_limits::BucketLimits;
use zinniahinge_limits::TokenBucket;
use zinniahinge_scheduling::AdapterSpec;
use zinniahinge_scheduling::DispatchDecision;
use zinniahinge_scheduling::DispatcherIdentity;
use zinniahinge_scheduling::DispatcherSettings;
use zinniahinge_scheduling::LoadTimes;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::ModelDispatcher;
use zinniahinge_scheduling::ModelSpec;
use zinniahinge_scheduling::PoolCatalog;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_scheduling::ServerObservation;
use zinniahinge_types::DemandRequest;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::ReplicaPhase;
use zinniahinge_types::RequestId;
use zinniahinge_types::TraceId;

const SERVICE: &str = "service";
const GIB: u64 = 1 << 30;

/// Time that each figure is measured for.
const MEASURE_TIME: Duration = Duration::from_millis(400);

/// Figures of the decision code on one core, without messages.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DecisionFigures {
    /// Dispatch and release, by number of replicas.
    pub dispatch: Vec<DispatchFigure>,
    /// Pool plans.
    pub plans: Vec<PlanFigure>,
    /// Bucket charges and refunds per second.
    pub charges_per_second: f64,
}

/// Speed of a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DispatchFigure {
    /// Replicas of the model.
    pub replicas: usize,
    /// Requests enqueued, granted and released per second.
    pub requests_per_second: f64,
}

/// Time of a pool plan with nothing to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PlanFigure {
    /// Backend servers.
    pub servers: usize,
    /// Models in the document, half of them loaded.
    pub models: usize,
    /// Adapters in the document, one in ten loaded.
    pub adapters: usize,
    /// Mean time of a plan.
    pub plan_us: f64,
    /// Resident memory that the planner added, bytes.
    pub memory_bytes: u64,
}

/// Measures all.
pub fn measure_decisions() -> DecisionFigures {
    let sizes = [
        (24, 45, 100),
        (100, 120, 1_000),
        (320, 120, 5_500),
        (640, 120, 11_000),
    ];
    DecisionFigures {
        dispatch: [1, 4, 16].map(measure_dispatch).to_vec(),
        plans: sizes.map(measure_plan).to_vec(),
        charges_per_second: measure_charges(),
    }
}

/// Calls `step` for [`MEASURE_TIME`] and returns the calls per second.
fn rate(mut step: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < MEASURE_TIME {
        // Reading the clock once per hundred calls keeps it out of the figure.
        for _ in 0..100 {
            step(count);
            count += 1;
        }
    }
    count as f64 / started.elapsed().as_secs_f64()
}

fn at_micros(micros: u64) -> MonotonicTime {
    MonotonicTime::from_origin(Duration::from_micros(micros))
}

fn measure_charges() -> f64 {
    let limits = BucketLimits::new(1_000_000_000, 1_000_000_000);
    let mut bucket = TokenBucket::new(limits, at_micros(0));
    rate(|count| {
        let now = at_micros(count * 100);
        let grant_id = GrantId(u128::from(count));
        black_box(bucket.charge(grant_id, 100, now));
        black_box(bucket.refund(grant_id, 50, now));
    })
}

fn measure_dispatch(replicas: usize) -> DispatchFigure {
    let identity = DispatcherIdentity {
        service: SERVICE.into(),
        model: "m".into(),
        incarnation: 1,
    };
    let mut dispatcher = ModelDispatcher::new(identity, DispatcherSettings::default(), 1);
    let entries = (0..replicas).map(|index| ReplicaEntry {
        server: format!("s{index}").into(),
        address: "127.0.0.1:1".into(),
        place: "place-1".into(),
        slots: 16,
        adapters: Vec::new(),
        phase: ReplicaPhase::Ready,
        reported_load: 0,
    });
    dispatcher.apply_replicas(1, entries.collect());
    let requests_per_second = rate(|count| {
        let now = at_micros(count * 100);
        dispatcher.enqueue(request(count), now);
        for decision in dispatcher.poll(now) {
            if let DispatchDecision::Granted { ticket, .. } = decision {
                let release = ReleaseRequest {
                    service: SERVICE.into(),
                    model: "m".into(),
                    ticket_id: ticket.ticket_id,
                    outcome: ReleaseOutcome::Finished,
                    tokens: 100,
                    first_token: None,
                };
                black_box(dispatcher.release(&release, now));
            }
        }
    });
    DispatchFigure {
        replicas,
        requests_per_second,
    }
}

fn request(number: u64) -> DispatchRequest {
    DispatchRequest {
        request_id: RequestId(u128::from(number)),
        trace_id: TraceId(u128::from(number)),
        host: "host-1".into(),
        service: SERVICE.into(),
        model: "m".into(),
        adapter: None,
        account: format!("account-{}", number % 5).into(),
        class: PriorityClass::Normal,
        deadline_in: Duration::from_secs(60),
        tokens: 100,
        place: "place-1".into(),
        prefix_hash: number % 64,
        excluded: Vec::new(),
    }
}

// ----------------------------------------------------------------------------------------------

fn measure_plan((servers, models, adapters): (usize, usize, usize)) -> PlanFigure {
    let before = own_memory();
    let mut planner = PoolPlanner::new(SERVICE.into(), PoolSettings::default(), 1, 1);
    planner.set_catalog(catalog(models, adapters));
    for server in 0..servers {
        planner.observe_server(observation(server, servers, models, adapters), at_micros(0));
    }
    for model in 0..models {
        let demand = DemandRequest {
            service: SERVICE.into(),
            model: format!("m{model}").into(),
            applied_version: 0,
            waiting: Vec::new(),
            in_flight: Vec::new(),
            arrivals: 1,
        };
        planner.apply_demand(demand, at_micros(0));
    }
    planner.plan(at_micros(0));
    let memory_bytes = own_memory().saturating_sub(before);
    // Within the shortest keep-alive, so that there is nothing to do.
    let plans_per_second = rate(|count| {
        black_box(planner.plan(at_micros(1000 + count % 1000)));
    });
    PlanFigure {
        servers,
        models,
        adapters,
        plan_us: 1e6 / plans_per_second,
        memory_bytes,
    }
}

fn catalog(models: usize, adapters: usize) -> PoolCatalog {
    let spec = ModelSpec {
        bytes: 10 * GIB,
        slots: 16,
        load_times: LoadTimes {
            memory: Duration::from_secs(1),
            disk: Duration::from_secs(4),
            remote: Duration::from_secs(10),
        },
        max_replicas: 8,
    };
    let models_specs = (0..models).map(|index| (format!("m{index}").into(), spec.clone()));
    let adapters = (0..adapters).map(|index| {
        let spec = AdapterSpec {
            model: format!("m{}", index % models).into(),
            bytes: GIB / 10,
        };
        (format!("m{}:a{index}", index % models).into(), spec)
    });
    PoolCatalog {
        models: models_specs.collect(),
        adapters: adapters.collect(),
    }
}

/// Each server holds one model; adapters 0, 10, 20 and so on are loaded on the first server of
/// their model.
fn observation(server: usize, servers: usize, models: usize, adapters: usize) -> ServerObservation {
    let loaded_models = models.div_ceil(2).min(servers);
    let model = server % loaded_models;
    let is_first = server < loaded_models;
    let own = (0..adapters).filter(|index| is_first && index % 10 == 0 && index % models == model);
    let loaded = LoadedModel {
        bytes: 10 * GIB,
        adapters: own
            .map(|index| (format!("m{model}:a{index}").into(), GIB / 10))
            .collect(),
        running: 0,
    };
    ServerObservation {
        server: format!("s{server}").into(),
        address: "127.0.0.1:1".into(),
        place: "place-1".into(),
        boot_id: 1,
        fencing: true,
        leaving: false,
        memory_bytes: 80 * GIB,
        accelerators: 8,
        loaded: BTreeMap::from([(format!("m{model}").into(), loaded)]),
        cached: BTreeMap::new(),
        asked_at: at_micros(0),
    }
}

/// Resident memory of this process.
fn own_memory() -> u64 {
    let usage = crate::ProcessUsage::read(std::process::id());
    usage.map(|usage| usage.resident_bytes).unwrap_or_default()
}
