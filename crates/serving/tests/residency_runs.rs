//! What the planner does about requests in flight: which models and adapters it unloads.

mod common;

use googletest::prelude::*;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_types::BackendUse;
use zinniahinge_types::ModelRuns;

use crate::common::at;
use crate::common::name;
use crate::common::planner_with;
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
