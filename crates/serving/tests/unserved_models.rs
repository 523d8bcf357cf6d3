//! Which models and adapters count as asked for and not served, and what the planner says of loads that it holds back.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::LoadHold;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_serving::UnservedModels;
use zinniahinge_types::ModelUse;

use crate::common::at;
use crate::common::name;
use crate::common::planner_with;
use crate::common::request;

/// Requests for a model or adapter in one report.
struct UseCase {
    at_ms: u64,
    adapter: Option<&'static str>,
    asked: u32,
    served: u32,
}

struct SummaryCase {
    name: &'static str,
    uses: Vec<UseCase>,
    at_ms: u64,
    /// Number, adapter and age in milliseconds.
    expected: Option<(usize, Option<&'static str>, u64)>,
}

fn used(at_ms: u64, adapter: Option<&'static str>, asked: u32, served: u32) -> UseCase {
    UseCase {
        at_ms,
        adapter,
        asked,
        served,
    }
}

#[test]
fn models_without_a_served_request_are_counted() {
    let cases = [
        SummaryCase {
            name: "nothing asked",
            uses: vec![],
            at_ms: 0,
            expected: None,
        },
        SummaryCase {
            name: "asked a moment ago",
            uses: vec![used(0, None, 1, 0)],
            at_ms: 1_900,
            expected: None,
        },
        SummaryCase {
            name: "an adapter is not served by answers of its model",
            uses: vec![
                used(0, None, 3, 0),
                used(100, Some("a1"), 1, 0),
                used(200, Some("a2"), 1, 0),
                used(900, None, 1, 2),
            ],
            at_ms: 5_000,
            expected: Some((2, Some("a1"), 4_900)),
        },
        SummaryCase {
            name: "a late answer ends the wait",
            uses: vec![used(0, Some("a1"), 1, 0), used(9_000, Some("a1"), 0, 1)],
            at_ms: 9_500,
            expected: None,
        },
        SummaryCase {
            name: "asked for again after an answer",
            uses: vec![
                used(0, Some("a1"), 1, 1),
                used(1_000, Some("a1"), 1, 0),
                used(6_000, Some("a1"), 1, 0),
            ],
            at_ms: 7_000,
            expected: Some((1, Some("a1"), 6_000)),
        },
        SummaryCase {
            name: "not asked for during the last minute",
            uses: vec![used(0, None, 1, 0)],
            at_ms: 60_000,
            expected: None,
        },
    ];
    for case in cases {
        let mut unserved = UnservedModels::default();
        for used in &case.uses {
            let model_use = ModelUse {
                service: name("llm"),
                model: name("m1"),
                adapter: used.adapter.map(name),
                count: used.asked,
                served: used.served,
                prompt_tokens: 0,
                output_tokens: 0,
            };
            unserved.record(&model_use, at(used.at_ms));
        }
        let summary = unserved.summary(at(case.at_ms));
        let found = summary.as_ref().map(|summary| {
            let age_ms = summary.age.as_millis() as u64;
            (summary.count, summary.adapter.as_deref(), age_ms)
        });
        assert_that!(found, eq(case.expected), "{}", case.name);
    }
}

/// The planner states what a requested load waits for.
#[test]
fn a_held_load_names_its_reason() {
    let mut planner = planner_with(&["m1", "m2", "m3"], &["m1", "m2"], &["m1", "m2", "m3"]);
    request(&mut planner, "m3", at(1_000));
    let orders = planner.plan(at(1_000));
    assert_that!(orders.len(), eq(1));
    planner.apply_order_outcome(&orders[0], OrderOutcome::Conflict, at(1_010));
    planner.plan(at(1_020));
    let held = planner.held_loads(at(1_200));
    assert_that!(held.len(), eq(1));
    assert_that!(&*held[0].model, eq("m3"));
    assert_that!(held[0].age, eq(Some(Duration::from_millis(200))));
    assert_that!(held[0].replicas, eq(0));
    let backend = name("e1");
    assert_that!(held[0].hold, eq(&Some(LoadHold::EngineBusy { backend })));
}
