//! Engines that take only so many requests a second: replicas of their models elsewhere, where new ones are placed, what
//! is evicted, and where requests are sent.

mod common;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::EngineOrder;
use zinniahinge_serving::EngineReport;
use zinniahinge_serving::Placement;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;
use zinniahinge_types::Name;

use crate::common::accept_all;
use crate::common::at;
use crate::common::count_orders;
use crate::common::engine_spec;
use crate::common::entry;
use crate::common::name;
use crate::common::report;
use crate::common::request;

const MODELS: [&str; 6] = ["busy", "r0", "r1", "r2", "r3", "absent"];

/// Time from which orders are counted, milliseconds.
const START: u64 = 90_000;

/// Time for which demand is recorded before, milliseconds: several half-lives of its average.
const WARM_UP: u64 = 40_000;

/// Step of the simulated time, milliseconds.
const STEP: u64 = 50;

/// Prompt and output tokens of each request, 8 ms of engine time: one engine serves a hundred a second.
const TOKENS: (u64, u64) = (100, 8);

/// Engine with the models that it holds and those that it has on disk.
type HeldCase = (
    &'static str,
    &'static [&'static str],
    &'static [&'static str],
);

/// Engine with the requests a second that it takes.
type LimitCase = (&'static str, f64);

/// Model with the requests a second for it.
type DemandCase = (&'static str, u64);

fn planner(engines: &[HeldCase]) -> ResidencyPlanner {
    let settings = ResidencySettings::default();
    let mut planner = ResidencyPlanner::new(engine_spec(&MODELS), settings, 0);
    for (id, held, _) in engines {
        planner.observe_entry(&entry(id, 1, held), at(0));
    }
    planner.due_reports(at(0));
    for (id, held, disk) in engines {
        planner.observe_report(id, Some(&report(5, held, disk)), at(0), at(0));
    }
    planner
}

fn set_limits(planner: &mut ResidencyPlanner, limits: &[LimitCase]) {
    let limits = limits.iter().map(|(id, limit)| (name(id), *limit));
    let limits: HashMap<Name, f64> = limits.collect();
    planner.set_limits(&limits);
}

/// Records the requests from `from` to `until`, milliseconds.
fn record_demand(planner: &mut ResidencyPlanner, demand: &[DemandCase], from: u64, until: u64) {
    for now in (from..until).step_by(STEP as usize) {
        for (model, per_s) in demand {
            let count = (now + STEP) * per_s / 1_000 - now * per_s / 1_000;
            let tokens = (TOKENS.0 * count, TOKENS.1 * count);
            planner.record_use(&name(model), None, count as u32, tokens, at(now));
        }
    }
}

/// Records the requests from `from` to `until`, milliseconds, and returns the orders of that time, all accepted.
fn play(
    planner: &mut ResidencyPlanner,
    demand: &[DemandCase],
    from: u64,
    until: u64,
) -> Vec<EngineOrder> {
    let steps = (from..until).step_by(STEP as usize);
    let orders = steps.flat_map(|now| {
        record_demand(planner, demand, now, now + STEP);
        accept_all(planner, at(now))
    });
    orders.collect()
}

/// Engines that the orders load the model on.
fn load_targets(orders: &[EngineOrder], model: &str) -> Vec<String> {
    let orders = orders.iter();
    let loads = orders
        .filter(|order| order.action == ResidencyAction::Load && *order.model == *model)
        .map(|order| order.backend.to_string());
    loads.collect()
}

struct ReplicaCase {
    name: &'static str,
    engines: &'static [HeldCase],
    limits: &'static [LimitCase],
    demand: &'static [DemandCase],
    /// Engines that the busy model is loaded on within two seconds.
    loaded_on: &'static [&'static str],
}

/// Load pattern: a model's only engine takes few requests a second. No request is in flight there, so the engine looks
/// idle. Guards against a model that gets no replica elsewhere.
#[test]
fn a_model_whose_engine_takes_too_few_requests_gets_a_replica_elsewhere() {
    let case = ReplicaCase {
        name: "a fifth of the demand",
        engines: &[("e1", &["busy"], &[]), ("e2", &["r0"], &[])],
        limits: &[("e1", 2.0)],
        demand: &[("busy", 10)],
        loaded_on: &["e2"],
    };
    let cases = [
        ReplicaCase {
            name: "no limit",
            limits: &[],
            loaded_on: &[],
            ..case
        },
        ReplicaCase {
            name: "four times the demand",
            limits: &[("e1", 40.0)],
            loaded_on: &[],
            ..case
        },
        ReplicaCase {
            name: "nine tenths of the demand",
            limits: &[("e1", 9.0)],
            ..case
        },
        ReplicaCase {
            name: "no request a second",
            limits: &[("e1", 0.0)],
            ..case
        },
        ReplicaCase {
            name: "a limit of another engine",
            limits: &[("e2", 2.0)],
            loaded_on: &[],
            ..case
        },
        ReplicaCase {
            name: "enough for the model alone, but another one takes half",
            engines: &[("e1", &["busy", "r1"], &[]), ("e2", &["r0"], &[])],
            limits: &[("e1", 15.0)],
            demand: &[("busy", 10), ("r1", 10)],
            loaded_on: &["e2"],
        },
        ReplicaCase {
            name: "enough for both models",
            engines: &[("e1", &["busy", "r1"], &[]), ("e2", &["r0"], &[])],
            limits: &[("e1", 40.0)],
            demand: &[("busy", 10), ("r1", 10)],
            loaded_on: &[],
        },
        ReplicaCase {
            name: "the other engine has no room beside models in more demand",
            engines: &[("e1", &["busy"], &[]), ("e2", &["r0", "r1"], &[])],
            demand: &[("busy", 10), ("r0", 40), ("r1", 40)],
            loaded_on: &[],
            ..case
        },
        ReplicaCase {
            name: "another replica without a limit",
            engines: &[
                ("e1", &["busy"], &[]),
                ("e2", &["r0"], &[]),
                ("e3", &["busy"], &[]),
            ],
            loaded_on: &[],
            ..case
        },
        ReplicaCase {
            name: "two replicas with a limit, an engine with one has a copy",
            engines: &[
                ("e1", &["busy"], &[]),
                ("e2", &["r0"], &[]),
                ("e3", &["busy"], &[]),
                ("e4", &["r1"], &["busy"]),
            ],
            limits: &[("e1", 2.0), ("e3", 2.0), ("e4", 2.0)],
            demand: &[("busy", 20)],
            loaded_on: &["e2"],
        },
        ReplicaCase {
            name: "the same limit on all engines, a replica adds to it",
            engines: &[("e1", &["busy"], &[]), ("e2", &["r0"], &["busy"])],
            limits: &[("e1", 8.0), ("e2", 8.0)],
            loaded_on: &["e2"],
            ..case
        },
        case,
    ];
    for case in cases {
        let mut planner = planner(case.engines);
        set_limits(&mut planner, case.limits);
        record_demand(&mut planner, case.demand, START - WARM_UP, START);
        let orders = play(&mut planner, case.demand, START, START + 2_000);
        let loaded_on = load_targets(&orders, "busy");
        assert_that!(loaded_on, eq(case.loaded_on), "{}", case.name);
    }
}

struct EndCase {
    name: &'static str,
    end: fn(&mut ResidencyPlanner),
    loads: usize,
}

/// Guards against a limit that is remembered after the engine has stopped to state it, or after its run.
#[test]
fn a_limit_ends_when_it_is_lifted_or_the_engine_starts_anew() {
    let demand: &[DemandCase] = &[("busy", 10)];
    let cases = [
        EndCase {
            name: "kept",
            end: |_| {},
            loads: 1,
        },
        EndCase {
            name: "lifted",
            end: |planner| set_limits(planner, &[]),
            loads: 0,
        },
        EndCase {
            name: "started anew",
            end: |planner| {
                planner.observe_entry(&entry("e1", 2, &["busy"]), at(START));
                planner.due_reports(at(START));
                let held = report(0, &["busy"], &[]);
                planner.observe_report("e1", Some(&held), at(START), at(START));
            },
            loads: 0,
        },
    ];
    for case in cases {
        let mut planner = planner(&[("e1", &["busy"], &[]), ("e2", &["r0"], &[])]);
        set_limits(&mut planner, &[("e1", 2.0)]);
        record_demand(&mut planner, demand, START - WARM_UP, START);
        (case.end)(&mut planner);
        let orders = play(&mut planner, demand, START, START + 2_000);
        let loads = load_targets(&orders, "busy").len();
        assert_that!(loads, eq(case.loads), "{}", case.name);
    }
}

/// Guards against replicas that come and go while a limit holds, and after it is lifted.
#[test]
fn a_limit_costs_one_load() {
    let demand: &[DemandCase] = &[("busy", 10), ("r0", 3), ("r1", 3)];
    let mut planner = planner(&[
        ("e1", &["busy", "r1"], &[]),
        ("e2", &["r0"], &["busy"]),
        ("e3", &["r1"], &["busy"]),
    ]);
    set_limits(&mut planner, &[("e1", 4.0)]);
    record_demand(&mut planner, demand, START - WARM_UP, START);
    let mut orders = play(&mut planner, demand, START, START + 30_000);
    set_limits(&mut planner, &[]);
    orders.extend(play(&mut planner, demand, START + 30_000, START + 60_000));
    let loads = count_orders(&orders, ResidencyAction::Load, "busy");
    let unloads = count_orders(&orders, ResidencyAction::Unload, "busy");
    assert_that!((loads, unloads), eq((1, 0)), "{orders:?}");
}

struct TargetCase {
    name: &'static str,
    engines: &'static [HeldCase],
    limits: &'static [LimitCase],
    demand: &'static [DemandCase],
    /// Engine that the requested model is loaded on first.
    loaded_on: &'static str,
}

/// Guards against a model that is loaded on an engine that takes fewer requests than there are for it, or that isn't
/// loaded at all where there is no other one.
#[test]
fn a_requested_model_is_loaded_where_its_requests_are_taken() {
    let case = TargetCase {
        name: "less than the demand, free memory elsewhere",
        // The first engine has a copy and would be chosen otherwise.
        engines: &[("e1", &[], &["absent"]), ("e2", &["r0"], &[])],
        limits: &[("e1", 2.0)],
        demand: &[("absent", 10)],
        loaded_on: "e2",
    };
    let cases = [
        TargetCase {
            name: "no limit",
            limits: &[],
            loaded_on: "e1",
            ..case
        },
        TargetCase {
            name: "more than the demand",
            limits: &[("e1", 40.0)],
            loaded_on: "e1",
            ..case
        },
        TargetCase {
            name: "more than the demand, but the engine's other model takes all",
            // The other model gets a replica, too, on the second engine.
            engines: &[
                ("e1", &["r1"], &["absent"]),
                ("e2", &["r0"], &["r1"]),
                ("e3", &["r0"], &[]),
            ],
            limits: &[("e1", 40.0)],
            demand: &[("absent", 10), ("r1", 80)],
            loaded_on: "e3",
        },
        TargetCase {
            name: "no room on the other engine beside models in more demand",
            engines: &[("e1", &[], &["absent"]), ("e2", &["r0", "r1"], &[])],
            demand: &[("absent", 10), ("r0", 40), ("r1", 40)],
            loaded_on: "e1",
            ..case
        },
        TargetCase {
            name: "all engines have the limit",
            limits: &[("e1", 2.0), ("e2", 2.0)],
            loaded_on: "e1",
            ..case
        },
        case,
    ];
    for case in cases {
        let mut planner = planner(case.engines);
        set_limits(&mut planner, case.limits);
        record_demand(&mut planner, case.demand, START - WARM_UP, START);
        request(&mut planner, "absent", at(START));
        let orders = accept_all(&mut planner, at(START));
        let loaded_on = load_targets(&orders, "absent");
        assert_that!(loaded_on, eq(&[case.loaded_on]), "{}", case.name);
    }
}

struct EvictionCase {
    name: &'static str,
    limits: &'static [LimitCase],
    /// Models that are unloaded, with the engine.
    unloaded: &'static [(&'static str, &'static str)],
}

/// Load pattern: a model stands on two engines of which one takes few requests a second, and memory is needed on the
/// other one. Guards against the eviction of the replica that serves nearly all requests.
#[test]
fn the_replica_without_a_limit_is_not_evicted() {
    let cases = [
        EvictionCase {
            name: "no limit",
            limits: &[],
            unloaded: &[("e2", "busy")],
        },
        EvictionCase {
            name: "more than the demand",
            limits: &[("e1", 100.0)],
            unloaded: &[("e2", "busy")],
        },
        EvictionCase {
            name: "less than the demand",
            limits: &[("e1", 2.0)],
            unloaded: &[("e2", "r1")],
        },
    ];
    for case in cases {
        let mut planner = planner(&[("e1", &["busy"], &[]), ("e2", &["busy", "r1"], &["absent"])]);
        set_limits(&mut planner, case.limits);
        record_demand(
            &mut planner,
            &[("busy", 10), ("r1", 2)],
            START - WARM_UP,
            START,
        );
        // No engine but the second can take orders.
        let busy = EngineReport {
            is_busy: true,
            ..report(5, &["busy"], &[])
        };
        planner.observe_report("e1", Some(&busy), at(START), at(START));
        // Both models were used more than a moment ago.
        let now = at(START + 1_000);
        request(&mut planner, "absent", now);
        let orders = accept_all(&mut planner, now);
        let unloads = orders
            .iter()
            .filter(|order| order.action == ResidencyAction::Unload);
        let unloaded: Vec<(&str, &str)> = unloads
            .map(|order| (&*order.backend, &*order.model))
            .collect();
        assert_that!(unloaded, eq(case.unloaded), "{}", case.name);
    }
}

struct PlaceCase {
    name: &'static str,
    limits: &'static [LimitCase],
    demand: &'static [DemandCase],
    /// Engines that requests for the busy model are sent to.
    sent_to: &'static [&'static str],
}

/// Guards against requests that are sent to an engine beyond its limit while another one takes them, and against requests
/// that are sent nowhere.
#[test]
fn requests_are_sent_where_they_are_taken() {
    let case = PlaceCase {
        name: "less than its part of the demand",
        limits: &[("e1", 2.0)],
        demand: &[("busy", 10)],
        sent_to: &["e2"],
    };
    let cases = [
        PlaceCase {
            name: "no limit",
            limits: &[],
            sent_to: &["e1", "e2"],
            ..case
        },
        PlaceCase {
            name: "more than its part of the demand",
            limits: &[("e1", 8.0)],
            sent_to: &["e1", "e2"],
            ..case
        },
        PlaceCase {
            name: "more than its part of the demand, but the engine's other model takes all",
            limits: &[("e1", 8.0)],
            demand: &[("busy", 10), ("r0", 20)],
            ..case
        },
        PlaceCase {
            name: "less on both engines",
            limits: &[("e1", 2.0), ("e2", 2.0)],
            sent_to: &["e1", "e2"],
            ..case
        },
        PlaceCase {
            name: "no request a second, before any demand is known",
            limits: &[("e1", 0.0)],
            demand: &[],
            ..case
        },
        case,
    ];
    for case in cases {
        let mut planner = planner(&[("e1", &["busy", "r0"], &[]), ("e2", &["busy"], &[])]);
        set_limits(&mut planner, case.limits);
        record_demand(&mut planner, case.demand, START - WARM_UP, START);
        let placed = (0..6).map(|_| request(&mut planner, "busy", at(START)));
        let placed = placed.map(|placement| match placement {
            Placement::Ready { backend } => backend.to_string(),
            other => panic!("{}: {other:?}", case.name),
        });
        let sent_to: BTreeSet<String> = placed.collect();
        let sent_to: Vec<&str> = sent_to.iter().map(String::as_str).collect();
        assert_that!(sent_to, eq(case.sent_to), "{}", case.name);
    }
}

/// Guards against an adapter that is loaded on the engine that takes few requests, because it has the fewest adapters.
#[test]
fn an_adapter_is_loaded_where_its_requests_are_taken() {
    for (limits, loaded_on) in [(&[][..], "e1"), (&[("e1", 2.0)][..], "e2")] {
        let mut planner = planner(&[("e1", &["busy"], &[]), ("e2", &["busy"], &[])]);
        set_limits(&mut planner, limits);
        record_demand(&mut planner, &[("busy", 10)], START - WARM_UP, START);
        let urgency = 1;
        let left = Duration::from_secs(10);
        let adapter = name("a1");
        let busy = name("busy");
        planner.place(&busy, Some(&adapter), urgency, left, None, at(START));
        let orders = accept_all(&mut planner, at(START));
        assert_that!(load_targets(&orders, "busy"), eq(&[loaded_on]));
    }
}
