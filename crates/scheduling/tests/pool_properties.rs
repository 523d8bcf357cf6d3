//! Invariants of the pool planner under random event sequences against simulated backend servers:
//! messages are delayed, answers are lost, servers restart, and owners change.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use common::GB;
use common::SERVICE;
use common::at;
use common::catalog;
use common::demand;
use common::engine_model::EngineModel;
use common::engine_model::MEMORY;
use common::engine_model::RunningRequest;
use common::in_flight;
use common::observation;
use common::waiting;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use zinniahinge_scheduling::AdapterSpec;
use zinniahinge_scheduling::LifecycleStage;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PoolCatalog;
use zinniahinge_scheduling::PoolOrder;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_scheduling::ServerObservation;
use zinniahinge_types::AdapterDemand;
use zinniahinge_types::DemandReply;
use zinniahinge_types::Name;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::ReplicaPhase;

const MODELS: usize = 5;
const SERVERS: usize = 3;

/// One step of a random run. A `pick` selects among the existing items, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Demand {
        model: usize,
        count: u32,
        adapter: Option<u8>,
        reply_lost: bool,
    },
    Start {
        model: usize,
        pick: usize,
    },
    Finish {
        model: usize,
        pick: usize,
    },
    Plan,
    Deliver {
        pick: usize,
        answer_lost: bool,
        fails: bool,
    },
    Lose {
        pick: usize,
    },
    Observe {
        server: usize,
    },
    /// The server's state is read now and delivered by a later [`Step::Arrive`].
    ObserveLate {
        server: usize,
    },
    Arrive {
        pick: usize,
    },
    /// All orders in flight are delivered, and all dispatchers and servers report.
    Exchange,
    Restart {
        server: usize,
    },
    RestartDispatcher {
        model: usize,
    },
    Takeover,
    Handover,
}

fn step() -> impl Strategy<Value = Step> {
    let model = 0..MODELS;
    let server = 0..SERVERS;
    prop_oneof![
        6 => (1..5000_u64).prop_map(Step::Advance),
        8 => (model.clone(), 0..12_u32, prop::option::of(0..3_u8), prop::bool::weighted(0.2)).prop_map(
            |(model, count, adapter, reply_lost)| Step::Demand { model, count, adapter, reply_lost }
        ),
        6 => (model.clone(), any::<usize>()).prop_map(|(model, pick)| Step::Start { model, pick }),
        6 => (model.clone(), any::<usize>()).prop_map(|(model, pick)| Step::Finish { model, pick }),
        8 => Just(Step::Plan),
        10 => (any::<usize>(), prop::bool::weighted(0.2), prop::bool::weighted(0.1)).prop_map(
            |(pick, answer_lost, fails)| Step::Deliver { pick, answer_lost, fails }
        ),
        1 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        6 => server.clone().prop_map(|server| Step::Observe { server }),
        3 => server.clone().prop_map(|server| Step::ObserveLate { server }),
        3 => any::<usize>().prop_map(|pick| Step::Arrive { pick }),
        10 => Just(Step::Exchange),
        1 => server.prop_map(|server| Step::Restart { server }),
        1 => model.prop_map(|model| Step::RestartDispatcher { model }),
        1 => Just(Step::Takeover),
        1 => Just(Step::Handover),
    ]
}

/// Simulated dispatcher with its applied list and its tickets per server.
#[derive(Clone, Debug, Default)]
struct Dispatcher {
    run: u32,
    version: u64,
    replicas: Vec<ReplicaEntry>,
    tickets: BTreeMap<Name, u32>,
    waiting: Vec<AdapterDemand>,
}

struct Simulation {
    now: u64,
    fence: u64,
    catalog: PoolCatalog,
    planner: PoolPlanner,
    engines: BTreeMap<Name, EngineModel>,
    dispatchers: Vec<Dispatcher>,
    network: Vec<PoolOrder>,
    delayed_states: Vec<ServerObservation>,
}

fn settings() -> PoolSettings {
    PoolSettings {
        loads_per_second: 2.0,
        default_keep_alive: Duration::from_secs(20),
        scale_in_after: Duration::from_secs(5),
        ..PoolSettings::default()
    }
}

fn model_name(model: usize) -> Name {
    format!("m{model}").into()
}

fn adapter_name(model: usize, adapter: u8) -> Name {
    format!("m{model}-{adapter}").into()
}

/// Returns the catalog with three adapters for each model.
fn three_adapter_catalog() -> PoolCatalog {
    let mut catalog = catalog(MODELS);
    for model in 0..MODELS {
        for adapter in 0..3 {
            let spec = AdapterSpec {
                model: model_name(model),
                bytes: GB,
            };
            catalog.adapters.insert(adapter_name(model, adapter), spec);
        }
    }
    catalog
}

impl Simulation {
    fn new() -> Self {
        let engines = (0..SERVERS).map(|server| {
            let engine = EngineModel {
                boot_id: 1,
                fencing: server != 0,
                newest_fence: 0,
                loaded: BTreeMap::new(),
                done: BTreeSet::new(),
                running: Vec::new(),
            };
            (Name::from(format!("s{server}")), engine)
        });
        let mut simulation = Self {
            now: 0,
            fence: 1,
            catalog: three_adapter_catalog(),
            planner: PoolPlanner::new(SERVICE.into(), settings(), 1, 1),
            engines: engines.collect(),
            dispatchers: vec![Dispatcher::default(); MODELS],
            network: Vec::new(),
            delayed_states: Vec::new(),
        };
        simulation.planner.set_catalog(simulation.catalog.clone());
        simulation.observe_all();
        simulation
    }

    fn apply(&mut self, step: &Step) {
        self.now += 1;
        match step {
            Step::Advance(millis) => self.now += millis,
            Step::Demand {
                model,
                count,
                adapter,
                reply_lost,
            } => {
                self.report_waiting(*model, *count, *adapter, *reply_lost);
            }
            Step::Start { model, pick } => self.start(*model, *pick),
            Step::Finish { model, pick } => self.finish(*model, *pick),
            Step::Plan => {
                let orders = self.planner.plan(at(self.now));
                self.network.extend(orders);
            }
            Step::Deliver {
                pick,
                answer_lost,
                fails,
            } => self.deliver(*pick, *answer_lost, *fails),
            Step::Lose { pick } => {
                self.take_order(*pick);
            }
            Step::Observe { server } => self.observe(&format!("s{server}")),
            Step::ObserveLate { server } => {
                let seen = self.request_state(&format!("s{server}"));
                self.delayed_states.push(seen);
            }
            Step::Arrive { pick } => self.arrive(*pick),
            Step::Exchange => self.exchange(),
            Step::Restart { server } => self.restart(&format!("s{server}")),
            Step::RestartDispatcher { model } => self.restart_dispatcher(*model),
            Step::Takeover => self.takeover(),
            Step::Handover => self.handover(),
        }
        self.check();
    }

    // ---------------------------------------------------------------------------------------------
    // Requests

    fn report_waiting(&mut self, model: usize, count: u32, adapter: Option<u8>, reply_lost: bool) {
        let mut entry = waiting(count);
        entry.waited = Duration::from_millis(self.now % 5000);
        entry.adapter = adapter.map(|adapter| adapter_name(model, adapter));
        self.dispatchers[model].waiting = if count > 0 { vec![entry] } else { Vec::new() };
        self.send_demand(model, reply_lost);
    }

    fn report(&mut self, model: usize) {
        self.send_demand(model, false);
    }

    fn send_demand(&mut self, model: usize, reply_lost: bool) {
        let dispatcher = &mut self.dispatchers[model];
        let waiting = dispatcher.waiting.clone();
        let mut report = demand(&model_name(model), dispatcher.version, waiting);
        let tickets = dispatcher.tickets.iter();
        report.in_flight = tickets
            .map(|(server, count)| in_flight(server, *count))
            .collect();
        let reply = self.planner.apply_demand(report, at(self.now));
        let DemandReply::Replicas { version, replicas } = reply else {
            panic!("planner replied NotOwner for its own service");
        };
        if !reply_lost && version > dispatcher.version {
            dispatcher.version = version;
            dispatcher.replicas = replicas;
        }
    }

    fn start(&mut self, model: usize, pick: usize) {
        let dispatcher = &mut self.dispatchers[model];
        let replicas = dispatcher.replicas.iter();
        let ready: Vec<_> = replicas
            .filter(|entry| entry.phase == ReplicaPhase::Ready)
            .collect();
        let Some(index) = pick.checked_rem(ready.len()) else {
            return;
        };
        let entry = ready[index];
        let adapter = entry.adapters.get(pick / 7 % 4).cloned();
        let request = RunningRequest {
            model: model_name(model),
            adapter,
            dispatcher_run: dispatcher.run,
        };
        let engine = self.engines.get_mut(&entry.server).expect("known server");
        // A restarted server refuses the request; the next list tells its dispatcher.
        if engine.has(&request) {
            engine.running.push(request);
            *dispatcher.tickets.entry(entry.server.clone()).or_default() += 1;
        }
    }

    fn finish(&mut self, model: usize, pick: usize) {
        let name = model_name(model);
        let mut running = Vec::new();
        for (server, engine) in &self.engines {
            let requests = engine.running.iter().enumerate();
            let matching = requests.filter(|(_, request)| request.model == name);
            running.extend(matching.map(|(index, _)| (server.clone(), index)));
        }
        let Some(chosen) = pick.checked_rem(running.len()) else {
            return;
        };
        let (server, index) = &running[chosen];
        let engine = self.engines.get_mut(server).expect("known server");
        let request = engine.running.remove(*index);
        let dispatcher = &mut self.dispatchers[model];
        if request.dispatcher_run != dispatcher.run {
            return;
        }
        if let Some(count) = dispatcher.tickets.get_mut(server) {
            *count -= 1;
            dispatcher.tickets.retain(|_, count| *count > 0);
        }
    }

    fn restart_dispatcher(&mut self, model: usize) {
        let dispatcher = &mut self.dispatchers[model];
        *dispatcher = Dispatcher {
            run: dispatcher.run + 1,
            ..Dispatcher::default()
        };
    }

    // ---------------------------------------------------------------------------------------------
    // Servers

    fn take_order(&mut self, pick: usize) -> Option<PoolOrder> {
        let index = pick.checked_rem(self.network.len())?;
        Some(self.network.remove(index))
    }

    fn deliver(&mut self, pick: usize, answer_lost: bool, fails: bool) {
        let Some(order) = self.take_order(pick) else {
            return;
        };
        let engine = self.engines.get_mut(&order.server).expect("known server");
        let stale = engine.fencing && order.fence < engine.newest_fence;
        if stale || order.boot_id != engine.boot_id {
            return;
        }
        engine.newest_fence = engine.newest_fence.max(order.fence);
        let repeated = engine.done.contains(&order.order_id);
        let result = if fails && !repeated {
            OrderResult::Failed
        } else {
            OrderResult::Done
        };
        if result == OrderResult::Done && !repeated {
            engine.done.insert(order.order_id);
            engine.execute(&order);
        }
        if !answer_lost && order.fence == self.fence {
            self.planner.confirm(order.order_id, result, at(self.now));
        }
    }

    fn request_state(&mut self, server: &str) -> ServerObservation {
        let engine = self.engines.get_mut(server).expect("known server");
        engine.newest_fence = self.fence;
        let mut seen = observation(server, MEMORY, at(self.now));
        seen.boot_id = engine.boot_id;
        seen.fencing = engine.fencing;
        seen.loaded = engine.state();
        seen
    }

    fn observe(&mut self, server: &str) {
        let seen = self.request_state(server);
        self.planner.observe_server(seen, at(self.now));
    }

    fn arrive(&mut self, pick: usize) {
        let Some(index) = pick.checked_rem(self.delayed_states.len()) else {
            return;
        };
        let seen = self.delayed_states.remove(index);
        self.planner.observe_server(seen, at(self.now));
    }

    fn observe_all(&mut self) {
        for server in 0..SERVERS {
            self.observe(&format!("s{server}"));
        }
    }

    fn exchange(&mut self) {
        while !self.network.is_empty() {
            self.deliver(0, false, false);
        }
        for model in 0..MODELS {
            self.report(model);
        }
        self.now += 1;
        self.observe_all();
    }

    fn restart(&mut self, server: &str) {
        let engine = self.engines.get_mut(server).expect("known server");
        engine.boot_id += 1;
        engine.loaded.clear();
        engine.running.clear();
        for dispatcher in &mut self.dispatchers {
            dispatcher.tickets.remove(server);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Owners

    /// Replaces the planner without its state. The new owner knows only the reservations of servers
    /// that ignore fencing, while orders of the old one are still in the network.
    fn takeover(&mut self) {
        self.fence += 1;
        self.delayed_states.clear();
        let reservations = self.planner.reservations("s0");
        self.planner = PoolPlanner::new(SERVICE.into(), settings(), self.fence, self.fence);
        self.planner.set_catalog(self.catalog.clone());
        self.planner.recover(reservations, at(self.now));
        self.planner.begin_recovery(at(self.now + 5000));
        self.observe_all();
        self.planner.finish_recovery();
    }

    fn handover(&mut self) {
        self.fence += 1;
        self.delayed_states.clear();
        let state = self.planner.export_state(at(self.now));
        self.planner = PoolPlanner::from_state(
            SERVICE.into(),
            settings(),
            self.fence,
            self.fence,
            state,
            at(self.now),
        );
        self.planner.set_catalog(self.catalog.clone());
        self.observe_all();
    }

    // ---------------------------------------------------------------------------------------------
    // Invariants

    fn check(&self) {
        for server in self.planner.servers() {
            assert!(
                server.used_bytes <= MEMORY,
                "planned overcommit on {}",
                server.server
            );
        }
        let mut loading = BTreeMap::new();
        let mut kept = BTreeMap::new();
        for replica in self.planner.replicas() {
            let counts = match replica.stage {
                LifecycleStage::Loading => [Some(&mut loading), Some(&mut kept)],
                LifecycleStage::Ready => [None, Some(&mut kept)],
                LifecycleStage::Draining | LifecycleStage::Unloading => [None, None],
            };
            for count in counts.into_iter().flatten() {
                *count.entry(replica.model.clone()).or_insert(0) += 1;
            }
        }
        let single = loading.values().all(|count| *count <= 1);
        assert!(single, "more than one load of a model: {loading:?}");
        if self.fence == 1 {
            let within = kept.values().all(|count| *count <= 2);
            assert!(within, "more replicas than allowed: {kept:?}");
        }
    }
}

/// Guards against overcommitted memory (invariant I2), unloads under running requests, and more
/// loads or replicas than allowed (invariant I1), in any order of events.
#[test]
fn invariants_hold_under_random_events() {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 40..300);
    runner
        .run(&steps, |steps| {
            let mut simulation = Simulation::new();
            for step in &steps {
                simulation.apply(step);
            }
            Ok(())
        })
        .unwrap();
}
