//! Simulates twelve engines, a quarter of which takes twice as long, on machines whose pace jumps several times a second. 300
//! hosts know the other hosts' requests with a delay of 0.9 s.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::BackendChooser;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::ChooserWeights;
use zinniahinge_serving::LoadSample;
use zinniahinge_serving::RequestFacts;
use zinniahinge_serving::RunSpeeds;
use zinniahinge_serving::WorkTime;
use zinniahinge_types::BackendRun;
use zinniahinge_types::Name;
use zinniahinge_types::RunTimes;

use crate::common::at;
use crate::common::entry;
use crate::common::name;

const HOSTS: usize = 300;
const ENGINES: usize = 12;
const SLOW_ENGINES: usize = 3;
const TOTALS_AGE_MS: usize = 900;
const RUN_MS: usize = 30_000;

/// Tokens of each prompt, and those that an engine of usual speed processes in a millisecond.
const PROMPT_TOKENS: u64 = 3_000;
const TOKENS_PER_MS: f64 = 38.0;

/// What the engines say about the pace of their machines, percent; `None` for nothing.
/// The first argument is the true one, relative to the engine's own usual pace, the second the engine's time factor.
type Statement = fn(u32, u32, &mut StdRng) -> Option<u32>;

#[derive(Default)]
struct SimulatedEngine {
    free_at_ms: f64,
    busy_ms: f64,
    work_percent: u32,
    /// Pending tokens at the end of each millisecond.
    pending: Vec<u64>,
}

#[derive(Debug)]
struct DayResult {
    /// Mean time until the first event, milliseconds.
    wait_ms: f64,
    /// Time in which the busiest engine worked, as a multiple of the mean.
    busiest: f64,
    /// Learned time on the slow engines, as a multiple of that on the others.
    learned: f64,
}

fn play(statement: Statement, per_ms: f64, seed: u64) -> DayResult {
    let mut random = StdRng::seed_from_u64(seed);
    let mut engines: [SimulatedEngine; ENGINES] = Default::default();
    let entries: Vec<Arc<BackendEntry>> = (0..ENGINES)
        .map(|index| {
            Arc::new(BackendEntry {
                slots: 64,
                ..entry(&format!("e{index}"), 1, &["m"])
            })
        })
        .collect();
    let loads: Vec<Vec<Arc<BackendLoad>>> = (0..HOSTS)
        .map(|_| (0..ENGINES).map(|_| Arc::default()).collect())
        .collect();
    let mut speeds = RunSpeeds::default();
    let mut learned: HashMap<Name, f64> = HashMap::new();
    let (mut count, mut waits_ms) = (0.0, 0.0);
    for now_ms in 0..RUN_MS {
        for engine in &mut engines {
            if now_ms % 300 == 0 {
                engine.work_percent = if random.random_bool(0.15) { 250 } else { 100 };
            }
            let left_ms = (engine.free_at_ms - now_ms as f64).max(0.0);
            engine.pending.push((left_ms * TOKENS_PER_MS) as u64);
        }
        if !random.random_bool(per_ms) {
            continue;
        }
        let host = random.random_range(0..HOSTS);
        let known_ms = now_ms.saturating_sub(TOTALS_AGE_MS);
        let candidates = (0..ENGINES).map(|index| {
            let load = loads[host][index].clone();
            let pending = engines[index].pending[known_ms];
            load.set_others((pending / PROMPT_TOKENS) as u32, pending, false);
            if let Some(factor) = learned.get(&entries[index].id) {
                load.set_learned_factor(*factor);
            }
            BackendCandidate {
                entry: entries[index].clone(),
                load,
                is_listed: true,
                is_connected: true,
            }
        });
        let candidates: Vec<BackendCandidate> = candidates.collect();
        let chooser = BackendChooser {
            host: format!("h{host}").into(),
            place: name("a"),
            totals_age: Duration::from_millis(TOTALS_AGE_MS as u64),
            weights: ChooserWeights::MODELS,
        };
        let now = at(now_ms as u64);
        let chosen = chooser
            .choose(&candidates, &facts(), now)
            .expect("twelve candidates");
        let engine = &mut engines[chosen];
        let speed = if chosen < SLOW_ENGINES { 2.0 } else { 1.0 };
        let usual_ms = PROMPT_TOKENS as f64 / TOKENS_PER_MS * speed;
        let work_ms = usual_ms * f64::from(engine.work_percent) / 100.0;
        engine.free_at_ms = engine.free_at_ms.max(now_ms as f64) + work_ms;
        engine.busy_ms += work_ms;
        count += 1.0;
        waits_ms += engine.free_at_ms - now_ms as f64;
        // The answer's head; its time is the work's alone, as that of an answer that is under way.
        let Some(work_percent) = statement(engine.work_percent, speed as u32, &mut random) else {
            continue;
        };
        let sample = LoadSample {
            running: 0,
            waiting: 0,
            slots: 64,
            work_percent: Some(work_percent),
        };
        candidates[chosen].load.record_sample(sample, now);
        let change = speeds.record(
            &RunTimes {
                run: entries[chosen].run(),
                service: name("llm"),
                model: Some(name("m")),
                units: PROMPT_TOKENS,
                time_us: (work_ms * 1000.0) as u64,
            },
            now,
        );
        if let Some(change) = change {
            learned.insert(change.backend, f64::from(change.percent) / 100.0);
        }
    }
    let busy = engines.iter().map(|engine| engine.busy_ms);
    let factor = |index: usize| learned.get(&entries[index].id).copied().unwrap_or(1.0);
    let slow = (0..SLOW_ENGINES).map(factor).sum::<f64>() / SLOW_ENGINES as f64;
    let others = (SLOW_ENGINES..ENGINES).map(factor).sum::<f64>();
    DayResult {
        wait_ms: waits_ms / count,
        busiest: busy.clone().fold(0.0, f64::max) / (busy.sum::<f64>() / ENGINES as f64),
        learned: slow / (others / (ENGINES - SLOW_ENGINES) as f64),
    }
}

fn facts() -> RequestFacts {
    RequestFacts {
        attempt_id: name("r"),
        caller_timeout: None,
        model: Some(name("m")),
        adapter: None,
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: 50,
        states_tokens: true,
        parts: Default::default(),
    }
}

struct StatementCase {
    name: &'static str,
    statement: Statement,
    /// Longest wait, as a share of that with servers that state nothing.
    max_wait: f64,
}

/// Guards against slow servers that get as many requests as fast ones, and against odd statements that do harm.
#[test]
fn requests_wait_less_if_servers_state_their_work_time() {
    let cases = [
        StatementCase {
            name: "true",
            statement: |percent, _, _| Some(percent),
            max_wait: 0.8,
        },
        StatementCase {
            name: "true, with the server's own speed in it",
            statement: |percent, factor, _| Some(percent * factor),
            max_wait: 0.8,
        },
        StatementCase {
            name: "missing in three of four answers",
            statement: |percent, _, random| random.random_bool(0.25).then_some(percent),
            max_wait: 0.9,
        },
        StatementCase {
            name: "outdated: the pace of some other moment",
            statement: |_, _, random| Some(if random.random_bool(0.15) { 250 } else { 100 }),
            max_wait: 0.9,
        },
        StatementCase {
            name: "always as usual",
            statement: |_, _, _| Some(100),
            max_wait: 0.9,
        },
        StatementCase {
            name: "random",
            statement: |_, _, random| Some(random.random_range(50..400)),
            max_wait: 1.0,
        },
    ];
    for per_ms in [0.06, 0.08] {
        let mean = |statement: Statement| {
            let days: Vec<DayResult> = (0..3).map(|seed| play(statement, per_ms, seed)).collect();
            let wait_ms = days.iter().map(|day| day.wait_ms).sum::<f64>() / 3.0;
            (wait_ms, days)
        };
        let (base_ms, _) = mean(|_, _, _| None);
        for StatementCase {
            name,
            statement,
            max_wait,
        } in &cases
        {
            let (wait_ms, days) = mean(*statement);
            let found = format!("{per_ms} {name}: {wait_ms:.0} ms after {base_ms:.0}, {days:?}");
            assert_that!(wait_ms <= base_ms * max_wait, eq(true), "{found}");
            let is_learned = days.iter().all(|day| day.learned > 1.5);
            assert_that!(is_learned, eq(true), "{found}");
            // The target of the busiest server's share.
            assert_that!(
                days.iter().all(|day| day.busiest < 2.0),
                eq(true),
                "{found}"
            );
        }
    }
}

struct AgeCase {
    age_ms: u64,
    /// Factor before and after the speed is learned.
    factors: (f64, f64),
}

/// Guards against statements that are believed after the pace has changed, and against a speed that counts twice.
#[test]
fn a_statement_gives_way_to_the_learned_factor() {
    let case = |age_ms, factors| AgeCase { age_ms, factors };
    let cases = [
        case(0, (4.0, 4.0)),
        case(250, (2.5, 3.0)),
        case(500, (1.75, 2.5)),
        case(1_000, (1.0, 2.0)),
        case(60_000, (1.0, 2.0)),
    ];
    let mut time = WorkTime::default();
    assert_that!(time.factor(at(0)), approx_eq(1.0));
    for now_ms in 0..100 {
        time.record_statement(200, at(now_ms));
    }
    time.record_statement(400, at(10_000));
    // An answer that was read late.
    time.record_statement(20, at(9_000));
    let mut learned = time;
    learned.set_learned(2.0);
    for AgeCase { age_ms, factors } in cases {
        let now = at(10_000 + age_ms);
        let found = (time.factor(now), learned.factor(now));
        assert_that!(found.0, approx_eq(factors.0), "{age_ms}");
        assert_that!(found.1, approx_eq(factors.1), "{age_ms}");
    }
}

/// Guards against the speed of an earlier run of a server, and a late report of one.
#[test]
fn a_new_run_is_measured_anew() {
    let times = |born_ms, time_us| RunTimes {
        run: BackendRun {
            backend: name("s"),
            born_ms,
        },
        service: name("app"),
        model: None,
        units: 10,
        time_us,
    };
    let mut speeds = RunSpeeds::default();
    let other = RunTimes {
        run: BackendRun {
            backend: name("t"),
            born_ms: 1,
        },
        ..times(1, 1_000_000)
    };
    let mut last = None;
    for _ in 0..20 {
        speeds.record(&other, at(0));
        last = speeds.record(&times(1, 3_000_000), at(0)).or(last);
    }
    assert_that!(last.is_some_and(|change| change.percent > 125), eq(true));
    let change = speeds.record(&times(2, 1_000_000), at(0));
    assert_that!(change.is_some_and(|change| change.percent <= 100), eq(true));
    assert_that!(speeds.record(&times(1, 9_000_000), at(0)), none());
}

/// Guards against factors that all drift away from the average together, where each server has models of its own.
#[test]
fn factors_stay_around_the_average() {
    let mut random = StdRng::seed_from_u64(1);
    let mut speeds = RunSpeeds::default();
    let mut last: HashMap<Name, u32> = HashMap::new();
    for number in 0..20_000_u64 {
        let server = number % 4;
        // Stalls make some answers several times as long.
        let stall = if random.random_bool(0.2) { 4.0 } else { 1.0 };
        let change = speeds.record(
            &RunTimes {
                run: BackendRun {
                    backend: format!("s{server}").into(),
                    born_ms: 1,
                },
                service: name("llm"),
                model: Some(
                    format!("m{}", if random.random_bool(0.9) { server } else { 9 }).into(),
                ),
                units: 10,
                time_us: (100_000.0 * stall * random.random_range(0.9..1.1)) as u64,
            },
            at(number * 25),
        );
        if let Some(change) = change {
            last.insert(change.backend, change.percent);
        }
    }
    let is_average = last.values().all(|percent| (75..=133).contains(percent));
    assert_that!(is_average, eq(true), "{last:?}");
}

/// Guards against a usual statement that a slow moment replaces.
#[test]
fn the_usual_statement_outlasts_a_slow_moment() {
    let load = BackendLoad::default();
    assert_that!(load.work_time(), eq(WorkTime::default()));
    let mut now_ms = 0;
    let percents = [100; 100].into_iter().chain([250; 30]).chain([100]);
    for (index, percent) in percents.enumerate() {
        assert_that!(load.states_work_time(), eq(index >= 1), "{index}");
        now_ms += 10;
        let sample = LoadSample {
            running: 0,
            waiting: 0,
            slots: 64,
            work_percent: Some(percent),
        };
        load.record_sample(sample, at(now_ms));
    }
    load.set_learned_factor(1.0);
    let factor = load.work_time().factor(at(now_ms));
    assert_that!(factor >= 0.7, eq(true), "{factor}");
}
