//! Engines that refuse orders for seconds, because an unload waits for the requests that use the model.

mod common;

use googletest::prelude::*;
use zinniahinge_serving::EngineReport;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;

use crate::common::at;
use crate::common::engine_spec;
use crate::common::entry;
use crate::common::name;
use crate::common::report;
use crate::common::request;

const MODELS: [&str; 5] = ["r0", "r1", "r2", "r3", "absent"];

/// Guards against a busy model that no engine holds and that waits for one engine: while that unloaded a model in use, its
/// load was ordered there 34 times in eleven seconds, without effect.
#[test]
fn a_requested_model_is_loaded_elsewhere_while_an_engine_refuses_orders() {
    let mut planner = ResidencyPlanner::new(engine_spec(&MODELS), ResidencySettings::default(), 0);
    let held: [(&str, [&str; 2]); 2] = [("e1", ["r0", "r1"]), ("e2", ["r2", "r3"])];
    for (id, models) in &held {
        planner.observe_entry(&entry(id, 1, models), at(0));
    }
    planner.due_reports(at(0));
    for (id, models) in &held {
        let report = report(5, models, &["absent"]);
        planner.observe_report(id, Some(&report), at(0), at(0));
    }
    // All models are in use all the time, and most requests are for the absent one.
    let mut unloading = None;
    let mut loaded_at = None;
    for now in (60_000..70_000).step_by(50) {
        for model in MODELS {
            let count = if model == "absent" {
                1
            } else {
                u32::from(now % 500 == 0)
            };
            planner.record_use(&name(model), None, count, (300, 50), at(now));
        }
        request(&mut planner, "absent", at(now));
        for (backend, _) in planner.due_reports(at(now)) {
            let is_busy = unloading.as_ref() == Some(&backend);
            let (_, models) = held[usize::from(&*backend == "e2")];
            let report = EngineReport {
                is_busy,
                ..report(if is_busy { 6 } else { 5 }, &models, &["absent"])
            };
            planner.observe_report(&backend, Some(&report), at(now), at(now));
        }
        for order in planner.plan(at(now)) {
            // The first unload waits for requests; until it ends, the engine refuses all orders.
            let first = unloading.get_or_insert(order.backend.clone());
            let is_first = *first == order.backend;
            let outcome = if is_first && order.action == ResidencyAction::Load {
                OrderOutcome::Conflict
            } else {
                OrderOutcome::Accepted
            };
            planner.apply_order_outcome(&order, outcome, at(now));
            let is_load = order.action == ResidencyAction::Load && &*order.model == "absent";
            if is_load && outcome == OrderOutcome::Accepted {
                loaded_at.get_or_insert(now);
            }
        }
    }
    // Callers of short answers leave after 4 s.
    assert_that!(loaded_at, some(le(64_000)));
}

/// Guards against an engine that is asked for a report in each plan, every few milliseconds, while an order to it has no
/// answer.
#[test]
fn an_unanswered_order_causes_few_reports() {
    let mut planner = ResidencyPlanner::new(engine_spec(&MODELS), ResidencySettings::default(), 0);
    planner.observe_entry(&entry("e1", 1, &["r0", "r1"]), at(0));
    planner.due_reports(at(0));
    let answer = report(5, &["r0", "r1"], &["absent"]);
    planner.observe_report("e1", Some(&answer), at(0), at(0));
    request(&mut planner, "absent", at(60_000));
    let orders = planner.plan(at(60_000));
    assert_that!(orders.len(), eq(1));
    let mut reports = 0;
    for now in (60_000..61_000).step_by(5) {
        for (backend, _) in planner.due_reports(at(now)) {
            reports += 1;
            planner.observe_report(&backend, Some(&answer), at(now), at(now));
        }
    }
    // One each 90 ms, as while a load is expected to end.
    assert_that!(reports, le(12));
}
