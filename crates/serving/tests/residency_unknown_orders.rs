//! Orders whose end the planner doesn't know: a predecessor's, unanswered ones, and ones for an earlier run.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::EngineReport;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_serving::ResidencyAction;

use crate::common::accept_all;
use crate::common::at;
use crate::common::entry;
use crate::common::name;
use crate::common::planner_with;
use crate::common::report;
use crate::common::request;

/// Guards against a new coordinator that counts memory as free which its predecessor's load is about to use.
#[test]
fn no_order_is_sent_while_a_predecessors_order_runs() {
    let mut planner = planner_with(&["x", "y", "z"], &["x"], &["y"]);
    let busy = EngineReport {
        is_busy: true,
        ..report(5, &["x"], &["y"])
    };
    planner.observe_report("e1", Some(&busy), at(1000), at(1000));
    for millis in (1000..6000).step_by(100) {
        request(&mut planner, "y", at(millis));
        assert_that!(planner.plan(at(millis)).len(), eq(0), "after {millis} ms");
        planner.due_reports(at(millis));
        planner.observe_report("e1", Some(&busy), at(millis), at(millis));
    }
    // The load has ended and the engine is full, so a model has to be unloaded first.
    planner.due_reports(at(6000));
    let full = report(5, &["x", "z"], &["y"]);
    planner.observe_report("e1", Some(&full), at(6000), at(6000));
    request(&mut planner, "y", at(6000));
    let orders = planner.plan(at(6000));
    assert_that!(orders.len(), eq(1));
    assert_that!(orders[0].action, eq(ResidencyAction::Unload));
}

struct UnansweredCase {
    name: &'static str,
    /// Time from the unanswered order to the restart, milliseconds.
    restart_after: u64,
    /// Expected second order: another load, or an unload that makes room for it.
    second: ResidencyAction,
}

/// Guards against memory that is allocated twice: an order is carried out seconds late, by a run that started meanwhile
/// under the same id.
#[test]
fn an_unanswered_load_counts_as_memory_in_use() {
    let cases = [
        UnansweredCase {
            name: "the order may still be carried out",
            restart_after: 6_000,
            second: ResidencyAction::Unload,
        },
        UnansweredCase {
            name: "the order can no longer be carried out",
            restart_after: 14_000,
            second: ResidencyAction::Load,
        },
    ];
    for case in cases {
        let copies = ["x", "y", "z"];
        let mut planner = planner_with(&["w", "x", "y", "z"], &[], &copies);
        request(&mut planner, "x", at(0));
        let orders = planner.plan(at(0));
        assert_that!(orders.len(), eq(1), "{}", case.name);
        planner.apply_order_outcome(&orders[0], OrderOutcome::Unknown, at(600));
        let restarted = case.restart_after;
        planner.observe_entry(&entry("e1", 2, &[]), at(restarted));
        planner.due_reports(at(restarted));
        let idle = report(0, &[], &copies);
        planner.observe_report("e1", Some(&idle), at(restarted), at(restarted));
        let mut ordered = Vec::new();
        for step in 0..40 {
            let now = at(restarted + step * 50);
            request(&mut planner, "y", now);
            request(&mut planner, "z", now);
            ordered.extend(accept_all(&mut planner, now));
        }
        let actions: Vec<_> = ordered.iter().map(|order| order.action).collect();
        assert_that!(actions[0], eq(ResidencyAction::Load), "{}", case.name);
        assert_that!(actions[1], eq(case.second), "{}", case.name);
    }
}

/// Guards against forgetting a load that was carried out late. A newer order confirms that the engine's number of
/// orders has gone past it, but the last report was older than the load.
#[test]
fn a_late_load_counts_until_a_report_shows_it() {
    let copies = ["x", "y", "z"];
    let mut planner = planner_with(&["v", "x", "y", "z"], &["v"], &copies);
    request(&mut planner, "x", at(0));
    let orders = planner.plan(at(0));
    assert_that!(orders.len(), eq(1));
    planner.apply_order_outcome(&orders[0], OrderOutcome::Unknown, at(600));
    let stale = report(6, &["v"], &copies);
    planner.observe_report("e1", Some(&stale), at(3_000), at(3_000));
    // Models that the engine really holds; two fit.
    let mut held = vec![name("v"), name("x")];
    for step in 0..40 {
        let now = at(3_000 + step * 50);
        request(&mut planner, "y", now);
        request(&mut planner, "z", now);
        for order in accept_all(&mut planner, now) {
            match order.action {
                ResidencyAction::Load => held.push(order.model),
                ResidencyAction::Unload => held.retain(|model| *model != order.model),
            }
            assert_that!(held.len() <= 2, eq(true), "{held:?}");
        }
    }
}

/// Guards against memory that is allocated twice because an engine that has the model rejected a request: the request
/// may have come before the load ended, and the host's message about it after.
#[test]
fn a_refused_request_frees_no_memory() {
    let copies = ["w", "x", "y", "z"];
    let mut planner = planner_with(&copies, &["w", "x"], &copies);
    let refused_by = name("e1");
    for model in ["w", "x"] {
        let time_left = Duration::from_secs(10);
        planner.place(&name(model), None, 1, time_left, Some(&refused_by), at(100));
    }
    request(&mut planner, "y", at(110));
    let orders = planner.plan(at(110));
    let actions: Vec<_> = orders.iter().map(|order| order.action).collect();
    assert_that!(actions, eq(&vec![ResidencyAction::Unload]));
}

/// Guards against views that list an adapter to which the planner itself sends no request.
#[test]
fn an_unverified_adapter_is_not_in_the_view() {
    let mut planner = planner_with(&["x"], &["x"], &["x"]);
    let (model, adapter) = (name("x"), name("a1"));
    let time_left = Duration::from_secs(10);
    planner.place(&model, Some(&adapter), 1, time_left, None, at(0));
    accept_all(&mut planner, at(10));
    let (views, version) = planner.views_since(0, at(100));
    assert_that!(views[0].models[0].adapters, eq(&vec![adapter.clone()]));
    let refused_by = name("e1");
    planner.place(
        &model,
        Some(&adapter),
        1,
        time_left,
        Some(&refused_by),
        at(110),
    );
    let (views, _) = planner.views_since(version, at(120));
    assert_that!(views.len(), eq(1));
    assert_that!(views[0].models[0].adapters.len(), eq(0));
}
