//! Replicas of busy models: while requests wait for other models, after a change of the coordinator, and beside a slow
//! load.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::EngineReport;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_serving::Placement;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;

use crate::common::accept_all;
use crate::common::at;
use crate::common::count_orders;
use crate::common::engine_spec;
use crate::common::entry;
use crate::common::name;
use crate::common::report;
use crate::common::request;

const MODELS: [&str; 9] = ["busy", "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"];

/// Engine with the models that it holds and those that it has on disk.
type HeldCase = (
    &'static str,
    &'static [&'static str],
    &'static [&'static str],
);

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

/// Guards against a plan that unloads all replicas of a model, each because the others are still counted.
#[test]
fn one_plan_keeps_a_replica_of_each_model() {
    let mut planner = planner(&[
        ("e1", &["busy", "r0"], &["r4"]),
        ("e2", &["busy", "r1"], &["r5"]),
        ("e3", &["busy", "r2"], &["r6"]),
    ]);
    // A minute after the start nothing is left of the demand that the planner assumed then.
    for model in ["busy", "busy", "busy", "r0", "r1", "r2"] {
        planner.record_use(&name(model), None, 1, (9_000, 50), at(60_000));
    }
    for model in ["r4", "r5", "r6"] {
        request(&mut planner, model, at(62_000));
    }
    let orders = planner.plan(at(62_000));
    let unloads = count_orders(&orders, ResidencyAction::Unload, "busy");
    assert_that!(unloads, eq(2));
}

/// Guards against a new coordinator that treats all models as unused because it has seen no requests yet.
#[test]
fn a_new_coordinator_keeps_replicas_of_busy_models() {
    let mut planner = planner(&[
        ("e1", &["busy", "r0"], &["r4"]),
        ("e2", &["busy", "r1"], &["r5"]),
        ("e3", &["busy", "r2"], &["r6"]),
    ]);
    for model in ["r4", "r5", "r6"] {
        request(&mut planner, model, at(10));
    }
    let orders = planner.plan(at(10));
    assert_that!(orders.len(), eq(3));
    for order in orders {
        assert_that!(order.action, eq(ResidencyAction::Unload));
        assert_that!(&*order.model, not(eq("busy")));
    }
}

/// Load pattern: a fleet starts some seconds before its first requests. A busy model stands on many engines, and some
/// models on none. Guards against a first coordinator that unloads the replicas to preload models that nobody asks for.
#[test]
fn replicas_found_at_the_start_are_there_when_traffic_begins() {
    let mut planner = planner(&[
        ("e1", &["busy", "r0"], &["r4"]),
        ("e2", &["busy", "r1"], &["r5"]),
        ("e3", &["busy", "r2"], &["r6"]),
        ("e4", &["busy", "r3"], &["r7"]),
    ]);
    let mut unloads = 0;
    for now in (0..8_000).step_by(50) {
        let orders = accept_all(&mut planner, at(now));
        let unloaded = count_orders(&orders, ResidencyAction::Unload, "busy");
        unloads += unloaded;
    }
    assert_that!(unloads, eq(0));
}

/// Guards against requests that wait for the weight store although another engine has a copy.
#[test]
fn a_copy_is_loaded_beside_a_slow_load() {
    let mut planner = planner(&[("e1", &["r1"], &[]), ("e2", &["r2", "r3"], &["r0"])]);
    // The engine with the copy can't take orders at first.
    let busy = EngineReport {
        is_busy: true,
        ..report(5, &["r2", "r3"], &["r0"])
    };
    planner.observe_report("e2", Some(&busy), at(0), at(0));
    request(&mut planner, "r0", at(0));
    let first = planner.plan(at(0));
    assert_that!(first.len(), eq(1));
    assert_that!(&*first[0].backend, eq("e1"));
    planner.apply_order_outcome(&first[0], OrderOutcome::Accepted, at(0));

    let free = report(5, &["r2", "r3"], &["r0"]);
    planner.observe_report("e2", Some(&free), at(600), at(600));
    let placement = request(&mut planner, "r0", at(600));
    let again_in = match placement {
        Placement::Wait { again_in } => again_in,
        other => panic!("{other:?}"),
    };
    assert_that!(again_in <= Duration::from_secs(1), eq(true), "{again_in:?}");
    let second = planner.plan(at(600));
    assert_that!(second.len(), eq(1));
    assert_that!(&*second[0].backend, eq("e2"));
    assert_that!(second[0].action, eq(ResidencyAction::Unload));
}

/// Guards against estimates that make requests wait for a load that ends much later.
#[test]
fn estimates_follow_the_measured_speed_of_the_weight_store() {
    let mut planner = planner(&[
        ("e1", &["r1"], &[]),
        ("e2", &["r2"], &[]),
        ("e3", &["r3"], &[]),
        ("e4", &["r3"], &[]),
    ]);
    for model in ["r4", "r5"] {
        request(&mut planner, model, at(0));
    }
    for order in planner.plan(at(0)) {
        planner.apply_order_outcome(&order, OrderOutcome::Accepted, at(0));
    }
    // The first ends in time; the second takes twice as long, so one runs at full speed.
    planner.observe_report(
        "e1",
        Some(&report(6, &["r1", "r4"], &[])),
        at(6_100),
        at(6_100),
    );
    planner.observe_report(
        "e2",
        Some(&report(6, &["r2", "r5"], &[])),
        at(12_000),
        at(12_000),
    );
    request(&mut planner, "r6", at(13_000));
    request(&mut planner, "r7", at(13_000));
    for order in planner.plan(at(13_000)) {
        planner.apply_order_outcome(&order, OrderOutcome::Accepted, at(13_000));
    }
    let longest = ["r6", "r7"].into_iter().filter_map(|model| {
        match request(&mut planner, model, at(13_000)) {
            Placement::Loading { ready_in, .. } => Some(ready_in),
            _ => None,
        }
    });
    assert_that!(longest.max(), some(eq(Duration::from_secs(12))));
}

/// Guards against a load that is slow for a reason of its own and makes all later loads wait for each other.
#[test]
fn a_single_slow_load_does_not_block_others() {
    let mut planner = planner(&[
        ("e1", &["r1"], &[]),
        ("e2", &["r2"], &[]),
        ("e3", &["r3"], &[]),
        ("e4", &["r3"], &[]),
    ]);
    request(&mut planner, "r4", at(0));
    for order in planner.plan(at(0)) {
        planner.apply_order_outcome(&order, OrderOutcome::Accepted, at(0));
    }
    let held = report(6, &["r1", "r4"], &[]);
    planner.observe_report("e1", Some(&held), at(11_000), at(11_000));
    for model in ["r5", "r6", "r7"] {
        request(&mut planner, model, at(12_000));
    }
    assert_that!(planner.plan(at(12_000)).len(), eq(3));
}

struct WaitingCase {
    name: &'static str,
    engines: usize,
    /// Requests a second for the busy model, of 224 ms each. One engine serves one and a half in time.
    per_s: u32,
    /// Models of each engine but the first, which holds the busy model.
    held: &'static [&'static str],
    gets_replica: bool,
}

/// Guards against a busy model that gets no replica as long as any request waits for another model: its engines process
/// prompts without a pause then, and every answer is late. Also guards against replicas that displace requested models.
#[test]
fn an_overloaded_model_gets_a_replica_while_other_models_are_requested() {
    let case = WaitingCase {
        name: "twice what its engine can serve, memory free elsewhere",
        engines: 24,
        per_s: 4,
        held: &["r0"],
        gets_replica: true,
    };
    let cases = [
        WaitingCase {
            name: "what its engine can serve",
            per_s: 1,
            gets_replica: false,
            ..case
        },
        WaitingCase {
            name: "all other engines hold two models in use",
            held: &["r0", "r1"],
            gets_replica: false,
            ..case
        },
        WaitingCase {
            name: "few engines, memory free elsewhere",
            engines: 8,
            ..case
        },
        WaitingCase {
            name: "few engines, all others hold two models in use",
            engines: 8,
            held: &["r0", "r1"],
            gets_replica: false,
            ..case
        },
        case,
    ];
    for case in cases {
        let settings = ResidencySettings::default();
        let mut planner = ResidencyPlanner::new(engine_spec(&MODELS), settings, 0);
        let held = |index: usize| if index == 0 { &["busy"] } else { case.held };
        for index in 0..case.engines {
            planner.observe_entry(&entry(&format!("e{index}"), 1, held(index)), at(0));
        }
        planner.due_reports(at(0));
        for index in 0..case.engines {
            let report = report(5, held(index), &[]);
            planner.observe_report(&format!("e{index}"), Some(&report), at(0), at(0));
        }
        for second in 0..10 {
            let tokens = (9_000 * u64::from(case.per_s), 50 * u64::from(case.per_s));
            planner.record_use(&name("busy"), None, case.per_s, tokens, at(second * 1_000));
            // The demand is high enough that an engine with one of these models is no cheap target.
            for other in ["r0", "r1"] {
                planner.record_use(&name(other), None, 40, (9_000, 50), at(second * 1_000));
            }
        }
        // Its load waits for the weight store.
        request(&mut planner, "r7", at(9_500));
        let orders = planner.plan(at(9_500));
        let replicas = orders.iter().filter(|order| &*order.model == "busy");
        let found = format!("{}: {orders:?}", case.name);
        assert_that!(replicas.count() > 0, eq(case.gets_replica), "{found}");
    }
}

/// Guards against a busy model that is starved: rare models that no engine has a copy of took the weight store's whole
/// bandwidth for 18 s, one after the other, while many more requests waited for its second replica.
#[test]
fn a_busy_model_gets_a_replica_while_rare_models_wait_for_the_weight_store() {
    let rare: Vec<String> = (0..40).map(|number| format!("r{number}")).collect();
    let rare: Vec<&str> = rare.iter().map(String::as_str).collect();
    let models: Vec<&str> = ["busy"].into_iter().chain(rare.iter().copied()).collect();
    let mut planner = ResidencyPlanner::new(engine_spec(&models), ResidencySettings::default(), 0);
    let ids: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    for (index, id) in ids.iter().enumerate() {
        let held: &[&str] = if index == 0 { &["busy"] } else { &[] };
        planner.observe_entry(&entry(id, 1, held), at(0));
        planner.due_reports(at(0));
        planner.observe_report(id, Some(&report(5, held, &[])), at(0), at(0));
    }
    let mut replica_at = None;
    for now in (0..12_000).step_by(100) {
        if now % 500 == 0 {
            planner.record_use(&name("busy"), None, 4, (36_000, 200), at(now));
        }
        // Each second four more rare models are asked for, more than the weight store can bring.
        let asked = (4 + now as usize / 250).min(rare.len());
        for (index, model) in rare[..asked].iter().enumerate() {
            request(&mut planner, model, at(now));
            if now % 4_000 == index as u64 % 40 * 100 {
                planner.record_use(&name(model), None, 1, (300, 50), at(now));
            }
        }
        let orders = accept_all(&mut planner, at(now));
        if count_orders(&orders, ResidencyAction::Load, "busy") > 0 {
            replica_at.get_or_insert(now);
        }
    }
    // One load of 6 s must end before the weight store is free for the replica.
    assert_that!(replica_at, some(le(7_000)));
}

/// Guards against a replica that seems to cost more the more requests there are, because requests wait for an adapter of
/// the model.
#[test]
fn a_requested_adapter_does_not_make_a_replica_of_its_model_dearer() {
    for adapter in [None, Some(name("a1"))] {
        let mut planner = planner(&[("e1", &["busy"], &[]), ("e2", &["r0"], &[])]);
        let now = at(60_000);
        // Engine time of 1.6 s each second; the weight store needs 6 s.
        for _ in 0..30 {
            planner.record_use(&name("busy"), None, 15, (23_000, 1_000), now);
        }
        let urgency = 1;
        let placed = planner.place(
            &name("busy"),
            adapter.as_ref(),
            urgency,
            Duration::from_secs(10),
            None,
            now,
        );
        let orders = planner.plan(now);
        let replicas = count_orders(&orders, ResidencyAction::Load, "busy");
        assert_that!(replicas, ge(1), "{adapter:?}: {placed:?}, {orders:?}");
        let is_replica = orders.iter().any(|order| &*order.backend == "e2");
        assert_that!(is_replica, eq(true), "{adapter:?}: {orders:?}");
    }
}
