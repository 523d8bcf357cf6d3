//! Replicas of models that callers wait for on crowded engines: how soon they come, how many, and what they displace.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::EngineSpeed;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;
use zinniahinge_types::EngineTimes;

use crate::common::accept_all;
use crate::common::at;
use crate::common::count_orders;
use crate::common::engine_spec;
use crate::common::entry;
use crate::common::name;
use crate::common::report;
use crate::common::request;

const MODELS: [&str; 10] = [
    "busy", "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "absent",
];
const ENGINES: usize = 8;

/// Step of the simulated time, milliseconds.
const STEP: u64 = 50;

/// Prompt and output tokens of each request.
const TOKENS: (u64, u64) = (700, 280);

/// A planner for engines of which the first holds the busy model alone and each other one `rare` models. All have copies
/// of the busy model.
fn planner(rare: usize) -> ResidencyPlanner {
    let mut planner = ResidencyPlanner::new(engine_spec(&MODELS), ResidencySettings::default(), 0);
    let held = |index: usize| -> Vec<&str> {
        match index {
            0 => vec!["busy"],
            _ => MODELS[1..=ENGINES]
                .iter()
                .copied()
                .cycle()
                .skip(index)
                .take(rare)
                .collect(),
        }
    };
    for index in 0..ENGINES {
        planner.observe_entry(&entry(&format!("e{index}"), 1, &held(index)), at(0));
    }
    planner.due_reports(at(0));
    for index in 0..ENGINES {
        let report = report(5, &held(index), &["busy"]);
        planner.observe_report(&format!("e{index}"), Some(&report), at(0), at(0));
    }
    planner
}

/// Sends `per_s` requests a second for the busy model from `from` to `until`, milliseconds, and returns the number of
/// its loads.
fn load_busy_model(planner: &mut ResidencyPlanner, per_s: u64, from: u64, until: u64) -> usize {
    let mut loads = 0;
    for now in (from..until).step_by(STEP as usize) {
        let before = (now - from) * per_s / 1000;
        let count = (now - from + STEP) * per_s / 1000 - before;
        let tokens = (TOKENS.0 * count, TOKENS.1 * count);
        planner.record_use(&name("busy"), None, count as u32, tokens, at(now));
        let orders = accept_all(planner, at(now));
        let busy = count_orders(&orders, ResidencyAction::Load, "busy");
        loads += busy;
    }
    loads
}

/// Load pattern: the demand moves to a model on one engine while requests keep waiting for rare models. Guards against
/// replicas that come only once no request waits, and against a demand that is noticed long after callers have left.
#[test]
fn a_model_that_becomes_busy_gets_replicas_within_two_seconds() {
    let mut planner = planner(2);
    // Nobody has asked for the other models for a while; a request for one without any copy waits all the time.
    let mut loads = 0;
    for second in 60..62 {
        request(&mut planner, "absent", at(second * 1_000));
        loads += load_busy_model(&mut planner, 80, second * 1_000, (second + 1) * 1_000);
    }
    assert_that!(loads, ge(2));
}

struct SpeedCase {
    name: &'static str,
    /// Measured time for each prompt token, microseconds.
    prompt_token_us: u64,
    /// Measured time between two output tokens, microseconds.
    output_token_us: u64,
    /// Number of engines that the requests keep busy all the time.
    least: usize,
}

/// Load pattern: the same traffic on engines of three kinds, with memory to spare. Guards against a number of replicas
/// that is right for one kind of engine only: too few, or loads that nobody needs.
#[test]
fn replicas_follow_the_measured_speed_of_the_engines() {
    let cases = [
        SpeedCase {
            name: "7 ms for a request",
            prompt_token_us: 3,
            output_token_us: 140,
            least: 1,
        },
        SpeedCase {
            name: "70 ms",
            prompt_token_us: 30,
            output_token_us: 1_400,
            least: 2,
        },
        SpeedCase {
            name: "210 ms",
            prompt_token_us: 90,
            output_token_us: 4_200,
            least: 5,
        },
    ];
    let mut fewer = 0;
    for case in cases {
        let mut planner = planner(1);
        for _ in 0..20 {
            planner.record_times(&EngineTimes {
                service: name("llm"),
                prompt_tokens: 20_000,
                prompt_us: 20_000 * case.prompt_token_us,
                output_tokens: 20_000,
                output_us: 20_000 * case.output_token_us,
            });
        }
        let replicas = 1 + load_busy_model(&mut planner, 20, 60_000, 90_000);
        let least = case.least.max(fewer + 1);
        assert_that!(replicas, ge(least), "{}", case.name);
        fewer = replicas;
    }
    assert_that!(fewer, le(ENGINES));
}

/// Load pattern: a busy model stands on all engines that it needs, and requests come for a model that no engine holds.
/// Guards against room that is made by evicting a replica although the other engines hold models without any use.
#[test]
fn a_needed_replica_is_not_evicted_for_a_requested_model() {
    let mut planner = planner(2);
    load_busy_model(&mut planner, 60, 60_000, 75_000);
    planner.place(
        &name("absent"),
        None,
        1,
        Duration::from_secs(10),
        None,
        at(75_000),
    );
    let mut evicted = 0;
    for now in (75_000..77_000).step_by(STEP as usize) {
        let orders = accept_all(&mut planner, at(now));
        let unloads = count_orders(&orders, ResidencyAction::Unload, "busy");
        evicted += unloads;
    }
    assert_that!(evicted, eq(0));
}

/// Load pattern: long prompts arrive at random, about as many for each of the models that the engines hold, and less than
/// the engines can do. Guards against loads for models that were asked for a little more often by chance. One replica may
/// move in the fifty seconds, by an unload and a load.
#[test]
fn random_arrivals_load_little() {
    let mut random = StdRng::seed_from_u64(1);
    let mut planner = planner(2);
    let mut orders_sent = 0;
    for now in (60_000..120_000).step_by(STEP as usize) {
        for model in &MODELS[..=ENGINES] {
            if random.random_bool(0.06) {
                planner.record_use(&name(model), None, 1, (9_000, 50), at(now));
            }
        }
        let orders = accept_all(&mut planner, at(now));
        // The first ten seconds settle what each engine holds.
        orders_sent += orders.len() * usize::from(now >= 70_000);
    }
    assert_that!(orders_sent, le(2));
}

/// Load pattern: an engine stalls, or preempts a request, so that its first event comes after seconds. Guards against
/// replicas that one such answer makes necessary for all models.
#[test]
fn a_stalled_answer_hardly_changes_the_measured_speed() {
    let times = |prompt_us| EngineTimes {
        service: name("llm"),
        prompt_tokens: TOKENS.0,
        prompt_us,
        ..EngineTimes::default()
    };
    let mut speed = EngineSpeed::default();
    for _ in 0..100 {
        speed.record(&times(20_000));
    }
    let before = speed.work_ms(TOKENS.0, 0, 8);
    speed.record(&times(3_000_000));
    assert_that!(speed.work_ms(TOKENS.0, 0, 8), le(before * 1.2));
}
