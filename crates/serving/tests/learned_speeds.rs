//! Replays the times that hosts measure at servers of different speed, on machines whose pace jumps several times a second.

mod common;

use std::collections::HashMap;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::FleetLedger;
use zinniahinge_serving::RunSpeeds;
use zinniahinge_serving::learned_factor;
use zinniahinge_types::BackendRun;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::Name;
use zinniahinge_types::RunTimes;

use crate::common::METER_SETTINGS;
use crate::common::at;
use crate::common::name;

const ENGINES: usize = 12;
const SLOW_ENGINES: usize = 3;

struct StreamCase {
    /// Streams of each server at a time.
    streams: u64,
    /// Most publications of a server.
    max_changes: usize,
}

/// Guards against factors that follow the pace of a moment: a factor that is right is not published again.
#[test]
fn factors_are_published_seldom() {
    let case = |streams, max_changes| StreamCase {
        streams,
        max_changes,
    };
    for StreamCase {
        streams,
        max_changes,
    } in [case(1, 10), case(64, 10)]
    {
        let mut random = StdRng::seed_from_u64(streams);
        let mut speeds = RunSpeeds::default();
        let mut changes: HashMap<Name, Vec<(u64, u32)>> = HashMap::new();
        for now_ms in (0..180_000).step_by(300) {
            for server in 0..ENGINES {
                let speed = if server < SLOW_ENGINES { 2 } else { 1 };
                let pace = if random.random_bool(0.15) { 250 } else { 100 };
                // All streams of a server share the pace of its machine.
                for _ in 0..streams {
                    let times = RunTimes {
                        model: Some(name("m")),
                        ..run_times(&format!("e{server}"), 1, 30 * 100 / pace, 300_000 * speed)
                    };
                    if let Some(change) = speeds.record(&times, at(now_ms)) {
                        let found = changes.entry(change.backend).or_default();
                        found.push((now_ms, change.percent));
                    }
                }
            }
        }
        let found = format!("{streams}: {changes:?}");
        assert_that!(changes.len(), eq(ENGINES), "{found}");
        for (backend, changes) in &changes {
            let is_slow = (0..SLOW_ENGINES).any(|server| **backend == format!("e{server}"));
            // Relative to the mean of all twelve.
            let expected = if is_slow { 160 } else { 80 };
            assert_that!(changes.len() <= max_changes, eq(true), "{found}");
            // The target: after a half-life, a factor within 5 % of the true one is not published again.
            let is_settled = changes.windows(2).all(|pair| {
                let ((_, before), (now_ms, _)) = (pair[0], pair[1]);
                let is_right = before.abs_diff(expected) * 20 <= expected;
                now_ms < 30_000 || !is_right
            });
            assert_that!(is_settled, eq(true), "{found}");
            let last = changes.last().map_or(100, |(_, percent)| *percent);
            let is_near = last.abs_diff(expected) * 100 <= 12 * expected;
            assert_that!(is_near, eq(true), "{found}");
        }
    }
}

/// Guards against a pause that makes a known factor unknown.
#[test]
fn a_factor_outlasts_a_pause() {
    for pause_ms in [60_000, 600_000, 24 * 3_600_000] {
        let mut speeds = RunSpeeds::default();
        for (server, factor, time_us) in [("s", 0.5, 100_000), ("t", 1.5, 300_000)] {
            let times = run_times(server, 1, 10, time_us);
            speeds.assume(&times.run, factor, at(0));
            assert_that!(speeds.record(&times, at(0)), none());
        }
        // A single answer that takes twice as long.
        let change = speeds.record(&run_times("t", 1, 5, 300_000), at(pause_ms));
        assert_that!(change, none(), "{pause_ms}");
    }
}

/// Guards against hosts that use the factor of an earlier coordinator for ever.
#[test]
fn an_average_factor_is_published_once() {
    let mut loads: [BackendLoad; 2] = Default::default();
    for load in &mut loads {
        load.set_learned_factor(1.6);
    }
    let mut speeds = RunSpeeds::default();
    let mut changes = Vec::new();
    for number in 0..100 {
        for server in ["s", "t"] {
            changes.extend(speeds.record(&run_times(server, 1, 10, 100_000), at(number * 100)));
        }
    }
    assert_that!(changes.len(), eq(2), "{changes:?}");
    for (change, load) in changes.iter().zip(loads) {
        let is_average = (95..=105).contains(&change.percent);
        assert_that!(is_average, eq(true), "{changes:?}");
        load.set_learned_factor(f64::from(change.percent) / 100.0);
        assert_that!(load.work_time().factor(at(0)), near(1.0, 0.05));
    }
}

/// Guards against the factor of an earlier run, and against factors that no coordinator learns.
#[test]
fn a_learned_factor_applies_to_its_run() {
    struct TotalCase {
        stated: (Option<u64>, Option<u32>),
        born_ms: u64,
        factor: Option<f64>,
    }
    let case = |stated, born_ms, factor| TotalCase {
        stated,
        born_ms,
        factor,
    };
    let cases = [
        case((Some(1), Some(160)), 1, Some(1.6)),
        case((Some(1), Some(160)), 2, None),
        case((Some(2), Some(160)), 1, None),
        case((None, Some(160)), 1, None),
        case((Some(1), None), 1, None),
        case((Some(1), Some(0)), 1, Some(0.25)),
        case((Some(1), Some(1_000_000)), 1, Some(4.0)),
    ];
    for TotalCase {
        stated,
        born_ms,
        factor,
    } in cases
    {
        let total = BackendTotal {
            backend: name("s"),
            in_flight: 0,
            pending_tokens: 0,
            is_suspect: false,
            time_percent: stated.1,
            born_ms: stated.0,
        };
        assert_that!(learned_factor(&total, born_ms), eq(factor), "{total:?}");
    }
    let mut ledger = FleetLedger::new(METER_SETTINGS, true, at(0));
    let run = BackendRun {
        backend: name("s"),
        born_ms: 1,
    };
    ledger.assume_speed(&run, 1.6, at(0));
    let (totals, _) = ledger.totals_since(0);
    assert_that!(learned_factor(&totals[0], 1), some(approx_eq(1.6)));
    assert_that!(learned_factor(&totals[0], 2), none());
}

/// Guards against a new run of known speed that hosts never learn of.
#[test]
fn the_factor_of_a_new_run_names_it() {
    for time_us in [100_000, 160_000, 300_000] {
        let mut speeds = RunSpeeds::default();
        speeds.assume(&run_times("s", 1, 1, 1).run, 1.2, at(0));
        let change = (0..100).find_map(|number| {
            speeds.record(&run_times("t", 1, 10, 100_000), at(number * 100));
            speeds.record(&run_times("s", 2, 10, time_us), at(number * 100))
        });
        assert_that!(
            change.map(|change| change.born_ms),
            some(eq(2)),
            "{time_us}"
        );
    }
}

fn run_times(server: &str, born_ms: u64, units: u64, time_us: u64) -> RunTimes {
    RunTimes {
        run: BackendRun {
            backend: name(server),
            born_ms,
        },
        service: name("app"),
        model: None,
        units,
        time_us,
    }
}
