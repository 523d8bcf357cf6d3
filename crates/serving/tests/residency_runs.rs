//! What the planner does about requests in flight: which models and adapters it unloads.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::EngineReport;
use zinniahinge_serving::HeldModel;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_serving::Placement;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_types::BackendUse;
use zinniahinge_types::ModelRuns;
use zinniahinge_types::MonotonicTime;

use crate::common::at;
use crate::common::entry;
use crate::common::name;
use crate::common::planner_with;
use crate::common::report;
use crate::common::request;

/// Requests in flight on `e1`, by model and adapter.
fn usage(runs: &[(&str, Option<&str>, u32)]) -> Vec<BackendUse> {
    let count = runs.iter().map(|(_, _, count)| count).sum();
    let runs = runs.iter().map(|(model, adapter, count)| ModelRuns {
        model: name(model),
        adapter: adapter.map(name),
        count: *count,
        output_tokens: u64::from(*count) * 300,
    });
    vec![BackendUse {
        backend: name("e1"),
        in_flight: count,
        pending_tokens: 0,
        succeeded: 0,
        failed: 0,
        runs: runs.collect(),
        answers: None,
    }]
}

struct VictimCase {
    name: &'static str,
    /// Requests in flight that each host reports.
    hosts: Vec<(&'static str, u64, Vec<BackendUse>)>,
    victim: &'static str,
}

/// Guards against the unload of a model that requests still use, which blocks its engine for seconds, where another model
/// is idle.
#[test]
fn a_model_with_requests_in_flight_is_not_unloaded_before_an_idle_one() {
    let cases = [
        VictimCase {
            name: "nothing in flight",
            hosts: vec![],
            victim: "m1",
        },
        VictimCase {
            name: "a long answer, last asked for first",
            hosts: vec![("h1", 59_900, usage(&[("m1", None, 1)]))],
            victim: "m2",
        },
        VictimCase {
            name: "ended by the host's next report",
            hosts: vec![
                ("h1", 59_600, usage(&[("m1", None, 1)])),
                ("h1", 59_900, usage(&[])),
            ],
            victim: "m1",
        },
        VictimCase {
            name: "ended at one of two hosts",
            hosts: vec![
                ("h1", 59_600, usage(&[("m1", Some("a1"), 2)])),
                ("h2", 59_600, usage(&[("m1", None, 1)])),
                ("h1", 59_900, usage(&[])),
            ],
            victim: "m2",
        },
        VictimCase {
            name: "a host that fell silent",
            hosts: vec![
                ("h1", 56_000, usage(&[("m1", None, 1)])),
                ("h2", 59_900, usage(&[])),
            ],
            victim: "m1",
        },
    ];
    for case in cases {
        let models = ["m1", "m2", "absent"];
        let mut planner = planner_with(&models, &["m1", "m2"], &["m1", "m2", "absent"]);
        planner.record_use(&name("m1"), None, 1, (300, 300), at(57_000));
        planner.record_use(&name("m2"), None, 1, (300, 300), at(58_500));
        for (host, now, usage) in &case.hosts {
            planner.record_runs(&name(host), usage, at(*now));
        }
        request(&mut planner, "absent", at(60_000));
        let orders = planner.plan(at(60_000));
        assert_that!(orders.len(), eq(1), "{}", case.name);
        assert_that!(
            orders[0].action,
            eq(ResidencyAction::Unload),
            "{}",
            case.name
        );
        assert_that!(&*orders[0].model, eq(case.victim), "{}", case.name);
    }
}

/// Asks for an adapter of `m1`.
fn request_adapter(planner: &mut ResidencyPlanner, adapter: &str, now: MonotonicTime) -> Placement {
    let adapter = name(adapter);
    let time_left = Duration::from_secs(4);
    planner.place(&name("m1"), Some(&adapter), 1, time_left, None, now)
}

/// A planner for `e1` with `m1` and eight of its adapters, which is all that an engine holds, and `e2` with `m2` and copies
/// of both models.
fn planner_with_adapters() -> ResidencyPlanner {
    let models = ["m1", "m2"];
    let mut planner = planner_with(&models, &["m1"], &["m1"]);
    planner.observe_entry(&entry("e2", 1, &["m2"]), at(0));
    planner.due_reports(at(0));
    let idle = report(5, &["m2"], &["m1", "m2"]);
    planner.observe_report("e2", Some(&idle), at(0), at(0));
    let adapters = (1..=8).map(|number| name(&format!("a{number}")));
    let full = EngineReport {
        held: vec![HeldModel {
            model: name("m1"),
            adapters: adapters.collect(),
        }],
        ..report(5, &[], &["m1"])
    };
    planner.observe_report("e1", Some(&full), at(0), at(0));
    planner
}

/// Guards against an adapter that is unloaded while its requests run, so that its place is free seconds later, where
/// another adapter is idle.
#[test]
fn an_adapter_with_requests_in_flight_is_not_unloaded_before_an_idle_one() {
    let mut planner = planner_with_adapters();
    for (index, adapter) in ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"]
        .iter()
        .enumerate()
    {
        let now = at(50_000 + index as u64 * 100);
        planner.record_use(&name("m1"), Some(&name(adapter)), 1, (300, 300), now);
    }
    let in_flight = usage(&[
        ("m1", Some("a1"), 1),
        ("m1", Some("a2"), 2),
        ("m1", None, 1),
    ]);
    planner.record_runs(&name("h1"), &in_flight, at(59_900));
    let mut unloaded = Vec::new();
    for (adapter, now) in [("a9", 60_000), ("a10", 60_100), ("a11", 60_200)] {
        request_adapter(&mut planner, adapter, at(now));
        let orders = planner.plan(at(now));
        assert_that!(orders.len(), eq(1), "{adapter}");
        unloaded.extend(orders[0].adapter.clone());
        // The first is in use after all, and its place is free only later.
        let outcome = match adapter {
            "a9" => OrderOutcome::Accepted,
            _ => OrderOutcome::AlreadyHolds,
        };
        planner.apply_order_outcome(&orders[0], outcome, at(now + 5));
        if outcome == OrderOutcome::AlreadyHolds {
            for order in planner.plan(at(now + 10)) {
                planner.apply_order_outcome(&order, OrderOutcome::Accepted, at(now + 15));
            }
        }
    }
    let unloaded: Vec<&str> = unloaded.iter().map(|adapter| &**adapter).collect();
    assert_that!(unloaded, eq(&vec!["a3", "a4", "a5"]));
}

/// Guards against adapters that are never served: their model had one replica, whose places were in use by other adapters
/// all day, and only requests that wait in front of an engine counted for a further one.
#[test]
fn adapters_without_a_place_get_a_further_replica() {
    let mut planner = planner_with_adapters();
    let in_use: Vec<String> = (1..=8).map(|number| format!("a{number}")).collect();
    let mut replica_at = None;
    let mut adapter_at = None;
    for now in (60_000..64_000).step_by(50) {
        for adapter in &in_use {
            if now % 500 == 0 {
                planner.record_use(&name("m1"), Some(&name(adapter)), 1, (30, 30), at(now));
            }
        }
        let runs: Vec<(&str, Option<&str>, u32)> = in_use
            .iter()
            .map(|adapter| ("m1", Some(adapter.as_str()), 1))
            .collect();
        planner.record_runs(&name("h1"), &usage(&runs), at(now));
        for adapter in ["a9", "a10", "a11"] {
            request_adapter(&mut planner, adapter, at(now));
        }
        for order in planner.plan(at(now)) {
            // An unload of an adapter in use doesn't end.
            planner.apply_order_outcome(&order, OrderOutcome::Accepted, at(now));
            if &*order.backend != "e2" || order.action != ResidencyAction::Load {
                continue;
            }
            match order.adapter {
                None => replica_at.get_or_insert(now),
                Some(_) => adapter_at.get_or_insert(now),
            };
        }
    }
    // Callers of short answers leave after 4 s.
    assert_that!(replica_at, some(le(64_000)));
    assert_that!(adapter_at, some(le(64_000)));
}
