//! Slots for requests to servers that limit the requests of all hosts together.

use std::time::Duration;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::LimitLedger;
use zinniahinge_serving::LimitShares;
use zinniahinge_serving::MAX_SLOT_WAIT;
use zinniahinge_serving::SendSchedule;
use zinniahinge_serving::send_interval;
use zinniahinge_types::BackendRun;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;

/// Span over which arrivals are counted, milliseconds, from the platform's rules.
const WINDOW_MS: u64 = 4000;

/// Factor and number of requests by which arrivals in a window may exceed what the limit allows, from the platform's rules.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// Interval at which some host of the model asks, milliseconds.
const ASK_INTERVAL_MS: u64 = 5;

/// Length of the model's run, and the times for which there is no coordinator, milliseconds.
const END_MS: u64 = 60_000;
const LOSSES_MS: [std::ops::Range<u64>; 2] = [20_000..23_500, 40_000..42_000];

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000_000 + millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn server() -> BackendRun {
    BackendRun {
        backend: "s1".into(),
        born_ms: 1,
    }
}

#[test]
fn intervals_are_at_most_a_minute() {
    let cases = [
        (0.0, 60_000),
        (0.001, 60_000),
        (1e-300, 60_000),
        (0.5, 2000),
        (1.0, 1000),
        (8.0, 125),
        (1e20, 0),
        (f64::INFINITY, 0),
    ];
    for (limit_per_s, interval_ms) in cases {
        assert_that!(
            send_interval(limit_per_s),
            eq(ms(interval_ms)),
            "{limit_per_s}"
        );
    }
}

struct Ask {
    /// When the slot is asked for, milliseconds.
    at_ms: u64,
    max_wait_ms: u64,
    interval_ms: u64,
    expected: SlotDecision,
}

fn granted(at_ms: u64, max_wait_ms: u64, wait_ms: u64, next_in_ms: u64) -> Ask {
    Ask {
        at_ms,
        max_wait_ms,
        interval_ms: 1000,
        expected: SlotDecision::Granted {
            wait: ms(wait_ms),
            next_in: ms(next_in_ms),
        },
    }
}

fn refused(at_ms: u64, max_wait_ms: u64, again_in_ms: u64) -> Ask {
    Ask {
        at_ms,
        max_wait_ms,
        interval_ms: 1000,
        expected: SlotDecision::Refused {
            again_in: ms(again_in_ms),
        },
    }
}

struct ScheduleCase {
    name: &'static str,
    asks: Vec<Ask>,
}

/// Guards against bursts after idle times, against slots that are reserved for requests that don't wait for them, and against
/// an old interval under another limit.
#[test]
fn slots_are_an_interval_apart() {
    let with_interval = |interval_ms, ask| Ask { interval_ms, ..ask };
    let cases = [
        ScheduleCase {
            name: "the first slot is an interval after the start",
            asks: vec![refused(0, 100, 1000), granted(0, 1000, 1000, 2000)],
        },
        ScheduleCase {
            name: "reserved one after the other",
            asks: vec![
                granted(1000, 0, 0, 1000),
                granted(1000, 2000, 1000, 2000),
                granted(1000, 2000, 2000, 3000),
                refused(1000, 2000, 3000),
                refused(1500, 2000, 2500),
                granted(2000, 2000, 2000, 3000),
            ],
        },
        ScheduleCase {
            name: "idle time gives no burst",
            asks: vec![
                granted(9000, 0, 0, 1000),
                refused(9000, 0, 1000),
                refused(9999, 0, 1),
                granted(10_000, 0, 0, 1000),
            ],
        },
        ScheduleCase {
            name: "the limit rises",
            asks: vec![
                granted(1000, 0, 0, 1000),
                with_interval(
                    100,
                    Ask {
                        expected: SlotDecision::Granted {
                            wait: ms(50),
                            next_in: ms(150),
                        },
                        ..granted(1050, 50, 0, 0)
                    },
                ),
            ],
        },
        ScheduleCase {
            name: "the limit falls",
            asks: vec![
                granted(1000, 0, 0, 1000),
                with_interval(10_000, refused(2000, 2000, 9000)),
            ],
        },
    ];
    for case in cases {
        let mut schedule = SendSchedule::new(at(0));
        for (index, ask) in case.asks.iter().enumerate() {
            let decision =
                schedule.reserve(ms(ask.interval_ms), ms(ask.max_wait_ms), at(ask.at_ms));
            assert_that!(decision, eq(ask.expected), "{}, ask {index}", case.name);
        }
    }
}

/// Guards against a new coordinator that grants slots which the former one has granted already, and against runs that share
/// a schedule.
#[test]
fn a_new_coordinator_waits_until_earlier_slots_are_over() {
    let mut ledger = LimitLedger::new(at(0));
    let first = ledger.reserve(&server(), 2.0, ms(5000), at(0));
    let again_in = MAX_SLOT_WAIT + ms(500);
    assert_that!(first, eq(SlotDecision::Refused { again_in }));
    let later = ledger.reserve(&server(), 2.0, ms(0), at(2500));
    let at_once = SlotDecision::Granted {
        wait: ms(0),
        next_in: ms(500),
    };
    assert_that!(later, eq(at_once));
    let next_run = BackendRun {
        born_ms: 2,
        ..server()
    };
    let other = ledger.reserve(&next_run, 2.0, ms(0), at(2500));
    assert_that!(other, eq(SlotDecision::Refused { again_in: ms(500) }));
}

/// Guards against a coordinator that forgets the slots of a server which it doesn't know any more while other hosts still send to
/// it, and against schedules that are kept for ever.
#[test]
fn slots_are_forgotten_after_the_longest_interval() {
    let mut ledger = LimitLedger::new(at(0));
    let slot = ledger.reserve(&server(), 0.001, ms(0), at(70_000));
    assert_that!(matches!(slot, SlotDecision::Refused { .. }), eq(true));
    let refused = |again_in_ms| SlotDecision::Refused {
        again_in: ms(again_in_ms),
    };
    ledger.expire(at(129_000));
    let kept = ledger.reserve(&server(), 0.001, ms(0), at(129_000));
    assert_that!(kept, eq(refused(1000)));
    ledger.expire(at(130_001));
    let anew = ledger.reserve(&server(), 0.001, ms(0), at(130_001));
    assert_that!(anew, eq(refused(60_000)));
}

/// Guards against callers that wait for a coordinator that has just not answered.
#[test]
fn a_silent_coordinator_is_not_asked_for_half_a_second() {
    let mut shares = LimitShares::default();
    assert_that!(shares.may_ask(at(0)), eq(true));
    shares.record_silence(at(0));
    assert_that!(shares.may_ask(at(499)), eq(false));
    assert_that!(shares.may_ask(at(500)), eq(true));
}

struct FleetCase {
    name: &'static str,
    hosts: usize,
    /// Hosts that reach no coordinator all the time.
    cut_off: usize,
    limit_per_s: f64,
    /// Requests in the whole run at least.
    least: usize,
}

/// Times at which requests are sent in a run of the model, milliseconds, sorted: every few milliseconds a random host asks, at
/// the coordinator if it reaches it, and its coordinator is replaced twice.
fn play(case: &FleetCase, seed: u64) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut shares: Vec<LimitShares> = Vec::new();
    shares.resize_with(case.hosts, LimitShares::default);
    let mut ledger = LimitLedger::new(at(0));
    let mut sends = Vec::new();
    for now_ms in (0..END_MS).step_by(ASK_INTERVAL_MS as usize) {
        let now = at(now_ms);
        if LOSSES_MS.iter().any(|loss| loss.end == now_ms) {
            ledger = LimitLedger::new(now);
        }
        let host = random.random_range(0..case.hosts);
        let max_wait = ms(random.random_range(0..=2000));
        let is_alone = host < case.cut_off || LOSSES_MS.iter().any(|loss| loss.contains(&now_ms));
        let decision = if is_alone {
            let share = (case.limit_per_s, case.hosts as u32);
            let phase = random.random();
            shares[host].reserve(&server(), share, max_wait, phase, now)
        } else {
            ledger.reserve(&server(), case.limit_per_s, max_wait, now)
        };
        if let SlotDecision::Granted { wait, .. } = decision {
            sends.push(now_ms + wait.as_millis() as u64);
        }
    }
    sends.sort_unstable();
    sends
}

fn most_in_window(sends: &[u64]) -> usize {
    let counts = sends.iter().enumerate().map(|(first, start)| {
        let after = sends[first..].iter();
        after.take_while(|at| **at < start + WINDOW_MS).count()
    });
    counts.max().unwrap_or(0)
}

/// Load pattern: all hosts have more requests than a server takes, while the coordinator changes and some hosts never reach it.
/// Guards against more requests than the limit allows in any window, and against slots that nobody gets.
#[test]
fn hosts_together_keep_to_the_limit() {
    let case = |name, hosts, cut_off, limit_per_s, least| FleetCase {
        name,
        hosts,
        cut_off,
        limit_per_s,
        least,
    };
    let cases = [
        case("one host", 1, 0, 1.0, 45),
        case("few hosts", 3, 0, 1.0, 45),
        case("slow server", 3, 0, 0.2, 8),
        case("many hosts", 60, 0, 2.5, 120),
        case("fast server", 12, 0, 20.0, 1000),
        case("one host is cut off", 3, 1, 1.0, 45),
        case("half of the hosts are cut off", 12, 6, 2.5, 120),
        case("most hosts are cut off", 12, 11, 1.0, 45),
        case("most of many hosts are cut off", 60, 55, 20.0, 1000),
        case("all hosts are cut off", 12, 12, 4.0, 40),
    ];
    for case in cases {
        let allowed = case.limit_per_s * 4.0 * EXCESS_FACTOR + EXCESS_REQUESTS;
        for seed in 0..10 {
            let sends = play(&case, seed);
            let most = most_in_window(&sends);
            assert_that!(most as f64, le(allowed), "{}, seed {seed}", case.name);
            assert_that!(sends.len(), ge(case.least), "{}, seed {seed}", case.name);
        }
    }
}
