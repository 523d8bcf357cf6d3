//! Simulates load patterns with rare models, once with the planner and once with a fleet that loads nothing.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::EngineReport;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_serving::Placement;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;
use zinniahinge_types::Name;

use crate::common::MODEL_MB;
use crate::common::at;
use crate::common::engine_spec;
use crate::common::entry;
use crate::common::held_models;
use crate::common::name;

const ENGINES: usize = 4;
const MODELS: [&str; 14] = [
    "b0", "b1", "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10", "r11",
];

/// Carries orders out after realistic times and checks its memory.
#[derive(Default)]
struct SimulatedEngine {
    /// Models, with the time at which each is loaded, milliseconds.
    models: BTreeMap<Name, u64>,
    disk: Vec<Name>,
    sequence: u64,
    busy_until: u64,
    store_loads: usize,
}

struct SimulatedFleet {
    planner: ResidencyPlanner,
    engines: Vec<SimulatedEngine>,
    loads_anything: bool,
}

impl SimulatedFleet {
    fn new(loads_anything: bool) -> Self {
        let settings = ResidencySettings::default();
        let mut planner = ResidencyPlanner::new(engine_spec(&MODELS), settings, 0);
        let mut engines = Vec::new();
        for index in 0..ENGINES {
            // Two busy models on two engines each, with a rare one beside each of them.
            let held = [MODELS[index % 2], MODELS[2 + index]];
            planner.observe_entry(&entry(&format!("e{index}"), 1, &held), at(0));
            let models = held.iter().map(|model| (name(model), 0));
            engines.push(SimulatedEngine {
                models: models.collect(),
                disk: held.iter().map(|model| name(model)).collect(),
                ..SimulatedEngine::default()
            });
        }
        Self {
            planner,
            engines,
            loads_anything,
        }
    }

    /// Advances the fleet to `now_ms`; called in steps of ten milliseconds.
    fn step(&mut self, now_ms: u64) {
        let now = at(now_ms);
        for (backend, _) in self.planner.due_reports(now) {
            let engine = &self.engines[index_of(&backend)];
            let ready = engine.models.iter().filter(|(_, ready)| **ready <= now_ms);
            let ready: Vec<&str> = ready.map(|(model, _)| &**model).collect();
            let report = EngineReport {
                sequence: engine.sequence,
                is_busy: engine.busy_until > now_ms,
                held: held_models(&ready),
                disk_copies: engine.disk.clone(),
                ..EngineReport::default()
            };
            self.planner
                .observe_report(&backend, Some(&report), now, now);
        }
        if !self.loads_anything {
            return;
        }
        for order in self.planner.plan(now) {
            let engine = &mut self.engines[index_of(&order.backend)];
            let outcome = if engine.busy_until > now_ms || order.expected != engine.sequence {
                OrderOutcome::Conflict
            } else {
                engine.carry_out(order.action, &order.model, now_ms);
                OrderOutcome::Accepted
            };
            self.planner.apply_order_outcome(&order, outcome, now);
        }
    }

    /// Returns the time until a request for the model can be sent, asking again as hosts do; `None` if it takes over
    /// `limit_ms` or is refused.
    fn serve(&mut self, model: &str, start_ms: u64, limit_ms: u64) -> Option<u64> {
        let model = name(model);
        self.planner
            .record_use(&model, None, 1, (9_000, 50), at(start_ms));
        let mut now_ms = start_ms;
        while now_ms - start_ms < limit_ms {
            let left = Duration::from_millis(limit_ms - (now_ms - start_ms));
            let placement = self.planner.place(&model, None, 1, left, None, at(now_ms));
            match placement {
                Placement::Ready { backend } => {
                    let ready = self.engines[index_of(&backend)].models.get(&model);
                    assert!(
                        ready.is_some_and(|ready| *ready <= now_ms + 200),
                        "{model} is not loaded on {backend}"
                    );
                    return Some(now_ms - start_ms);
                }
                Placement::Refused { .. } => return None,
                Placement::Loading { .. } | Placement::Wait { .. } => {}
            }
            now_ms += 10;
            self.step(now_ms);
        }
        None
    }
}

impl SimulatedEngine {
    fn carry_out(&mut self, action: ResidencyAction, model: &Name, now_ms: u64) {
        self.sequence += 1;
        match action {
            ResidencyAction::Unload => {
                self.models.remove(model);
                self.busy_until = now_ms + 50;
            }
            ResidencyAction::Load => {
                let is_copied = self.disk.contains(model);
                let time = if is_copied { 800 } else { 6_000 };
                if !is_copied {
                    self.store_loads += 1;
                    self.disk.push(model.clone());
                }
                self.busy_until = now_ms + time + 80;
                self.models.insert(model.clone(), now_ms + time);
                let used = self.models.len() as f64 * MODEL_MB;
                assert!(used <= 150.0, "{used} MB used of 150 MB");
            }
        }
    }
}

fn index_of(backend: &Name) -> usize {
    backend.trim_start_matches('e').parse().unwrap_or(0)
}

struct PatternCase {
    name: &'static str,
    /// Model of the n-th request.
    model: fn(usize) -> &'static str,
    /// Time between requests, milliseconds.
    gap_ms: u64,
    /// Time without requests before the first one, milliseconds.
    idle_ms: u64,
    /// Smallest share that must be served within 2.5 s with the planner.
    min_served: f64,
    /// Largest share that may be served in that time without loads.
    max_baseline: f64,
}

/// Guards against rare models that wait too long for their loads. Each pattern runs for a minute.
#[test]
fn rare_models_are_served_in_time() {
    let cases = [
        PatternCase {
            name: "rare models in turn, all preloaded",
            model: |number| MODELS[2 + number * 5 % 12],
            gap_ms: 900,
            idle_ms: 40_000,
            min_served: 0.9,
            max_baseline: 0.5,
        },
        PatternCase {
            name: "busy models with rare ones between",
            model: |number| {
                if number % 4 == 0 {
                    MODELS[2 + number / 4 * 7 % 12]
                } else {
                    MODELS[number % 2]
                }
            },
            gap_ms: 250,
            idle_ms: 40_000,
            min_served: 0.9,
            max_baseline: 0.9,
        },
        PatternCase {
            name: "demand moves to another model",
            model: |number| if number < 60 { "b0" } else { "r9" },
            gap_ms: 300,
            idle_ms: 40_000,
            min_served: 0.95,
            max_baseline: 0.5,
        },
    ];
    for case in cases {
        let mut shares = [0.0; 2];
        for (share, loads_anything) in shares.iter_mut().zip([true, false]) {
            let mut fleet = SimulatedFleet::new(loads_anything);
            let mut now_ms = 0;
            while now_ms < case.idle_ms {
                now_ms += 10;
                fleet.step(now_ms);
            }
            let (mut requested, mut served) = (0, 0);
            while now_ms < case.idle_ms + 60_000 {
                let start = now_ms;
                requested += 1;
                let waited = fleet.serve((case.model)(requested), start, 10_000);
                served += usize::from(waited.is_some_and(|waited| waited <= 2_500));
                now_ms += waited.unwrap_or(0);
                while now_ms < start + case.gap_ms {
                    now_ms += 10;
                    fleet.step(now_ms);
                }
            }
            *share = served as f64 / requested as f64;
        }
        let [planned, baseline] = shares;
        assert_that!(
            planned >= case.min_served,
            eq(true),
            "{}: {planned:.2} served with the planner",
            case.name
        );
        assert_that!(
            baseline <= case.max_baseline,
            eq(true),
            "{}: {baseline:.2} served without loads",
            case.name
        );
    }
}

/// Guards against more loads from the weight store than its rate limit, also before there are any requests.
#[test]
fn loads_from_the_weight_store_stay_within_its_rate_limit() {
    let mut fleet = SimulatedFleet::new(true);
    let mut starts: Vec<(u64, usize)> = Vec::new();
    for step in 0..6_000_u64 {
        let now_ms = step * 10;
        fleet.step(now_ms);
        let count = fleet.engines.iter().map(|engine| engine.store_loads).sum();
        starts.push((now_ms, count));
        let earlier = starts.iter().rev().find(|(at, _)| at + 5_000 <= now_ms);
        let in_window = count - earlier.map_or(0, |(_, count)| *count);
        // Two a second over five seconds, from the service's definition.
        assert_that!(
            in_window <= 10,
            eq(true),
            "{in_window} loads in 5 s at {now_ms} ms"
        );
    }
    let copies = MODELS.iter().filter(|model| {
        fleet
            .engines
            .iter()
            .any(|engine| engine.disk.contains(&name(model)))
    });
    assert_that!(copies.count(), eq(MODELS.len()));
}
