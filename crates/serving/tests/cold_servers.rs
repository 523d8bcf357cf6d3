//! Cold servers: how long they are, and what they get of all hosts together.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::ColdStart;
use zinniahinge_serving::ColdTolerance;
use zinniahinge_serving::LimitLedger;
use zinniahinge_serving::LimitShares;
use zinniahinge_serving::LimitStatement;
use zinniahinge_serving::RateReason;
use zinniahinge_serving::SendRate;
use zinniahinge_types::BackendRun;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;

use crate::common::entry;

/// Bounds of the users' deployment.
const COLD: ColdStart = ColdStart {
    time: Duration::from_secs(3),
    per_s: 6.5,
};
const TOLERANCE: ColdTolerance = ColdTolerance {
    factor: 1.5,
    requests: 5.0,
};

/// Interval at which some host asks, and length of the model's run, milliseconds.
const ASK_INTERVAL_MS: u64 = 1;
const END_MS: u64 = 12_000;

/// Longest time that a request takes on its way to a server, milliseconds.
const MAX_DELAY_MS: u64 = 40;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000_000 + millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against slots that exceed the tolerance together with those of hosts that are out of touch.
#[test]
fn slots_leave_room_for_hosts_out_of_touch() {
    let exact = ColdTolerance::default();
    let cases = [
        ("users' bounds", 6.5, TOLERANCE, 6.5),
        ("no tolerance", 6.5, exact, 3.6),
        ("slow server", 1.0, exact, 0.0),
        ("slow server, tolerance", 1.0, TOLERANCE, 1.0),
        ("none at all", 0.0, TOLERANCE, 0.0),
    ];
    for (name, per_s, tolerance, expected) in cases {
        let slots_per_s = ColdStart { per_s, ..COLD }.slots_per_s(&tolerance);
        assert_that!(slots_per_s, near(expected, 1e-9), "{name}");
    }
}

#[derive(Clone, Copy)]
enum ColdEvent {
    /// An entry with this sequence number says that so many milliseconds are left.
    Entry(u64, u64),
    /// Another host says that so many are left.
    Heard(u64),
    Lost,
    /// An answer to a request that was sent so many milliseconds ago.
    Answered(u64),
}

struct ColdCase {
    name: &'static str,
    /// What happens, each with its time, milliseconds.
    events: &'static [(u64, ColdEvent)],
    /// Expected at 2000 ms, milliseconds; `None` if the server isn't cold.
    left_ms: Option<u64>,
    /// Expected part that other hosts are told.
    own_left_ms: Option<u64>,
}

/// Guards against a cold time that is cut short, and against one that ends while it is unknown whether the server started again.
#[test]
fn a_cold_time_is_never_too_short() {
    use ColdEvent::Answered;
    use ColdEvent::Entry;
    use ColdEvent::Heard;
    use ColdEvent::Lost;
    let case = |name, events, left_ms, own_left_ms| ColdCase {
        name,
        events,
        left_ms,
        own_left_ms,
    };
    let cases = [
        case("warm", &[(0, Entry(1, 0))], None, None),
        case("started", &[(0, Entry(1, 3000))], Some(1000), None),
        case(
            "runs down",
            &[(0, Entry(1, 3000)), (1500, Entry(2, 1400))],
            Some(1000),
            None,
        ),
        case(
            "same entry again",
            &[(0, Entry(1, 3000)), (1500, Entry(1, 3000))],
            Some(1000),
            None,
        ),
        case(
            "cold again",
            &[(0, Entry(1, 500)), (1500, Entry(2, 3000))],
            Some(2500),
            None,
        ),
        case("over", &[(0, Entry(1, 1999))], None, None),
        case("heard of", &[(1000, Heard(3000))], Some(2000), None),
        case(
            "heard of less",
            &[(0, Entry(1, 3000)), (1000, Heard(500))],
            Some(1000),
            None,
        ),
        case("lost", &[(0, Lost)], Some(3000), Some(1000)),
        case(
            "lost again and again",
            &[(0, Lost), (1900, Lost)],
            Some(3000),
            Some(1000),
        ),
        case(
            "answers again",
            &[(0, Lost), (1000, Answered(100))],
            Some(2000),
            Some(2000),
        ),
        case(
            "an answer from before",
            &[(1000, Lost), (1100, Answered(200))],
            Some(3000),
            Some(2000),
        ),
        case(
            "answers without a loss",
            &[(1000, Answered(100))],
            None,
            None,
        ),
        case(
            "lost once more",
            &[(0, Lost), (1000, Answered(0)), (1900, Lost)],
            Some(3000),
            Some(2900),
        ),
    ];
    for case in cases {
        let load = BackendLoad::default();
        load.set_cold_start(Some((COLD.time, COLD.per_s)));
        let other = BackendLoad::default();
        for (time, event) in case.events {
            let now = at(*time);
            for load in [&load, &other] {
                match *event {
                    Entry(sequence, left_ms) => {
                        let entry = BackendEntry {
                            sequence,
                            cold_left: ms(left_ms),
                            ..entry("s1", 1, &[])
                        };
                        load.apply_entry(&entry, now);
                    }
                    Heard(left_ms) => {
                        load.presume_cold(now + ms(left_ms), now);
                    }
                    Lost => load.record_connection_loss(now),
                    Answered(ago_ms) => load.record_answer(now.before(ms(ago_ms)), now),
                }
            }
        }
        let now = at(2000);
        let left = case.left_ms.map(ms);
        assert_that!(load.cold_left(now), eq(left), "{}", case.name);
        let own_left = case.own_left_ms.map(ms);
        assert_that!(load.own_cold_left(now), eq(own_left), "{}", case.name);
        let is_limited = load.send_rate(now).is_some();
        assert_that!(is_limited, eq(left.is_some()), "{}", case.name);
        // Servers of other services start fast.
        assert_that!(other.cold_left(now), none(), "{}", case.name);
    }
}

struct RateCase {
    name: &'static str,
    limit: Option<f64>,
    is_cold: bool,
    pace: Option<f64>,
    expected: Option<(f64, RateReason)>,
}

/// Guards against a reason that hides a lower rate, and against a slot that binds after the last rate has ended.
#[test]
fn the_smallest_rate_binds() {
    let case = |name, limit, is_cold, pace, expected| RateCase {
        name,
        limit,
        is_cold,
        pace,
        expected,
    };
    let cases = [
        case("none", None, false, None, None),
        case(
            "limit",
            Some(2.0),
            false,
            None,
            Some((2.0, RateReason::Limit)),
        ),
        case("cold", None, true, None, Some((6.5, RateReason::Cold))),
        case(
            "pace",
            None,
            false,
            Some(3.0),
            Some((3.0, RateReason::Pace)),
        ),
        case(
            "cold below a pace",
            None,
            true,
            Some(8.0),
            Some((6.5, RateReason::Cold)),
        ),
        case(
            "pace below cold",
            Some(9.0),
            true,
            Some(3.0),
            Some((3.0, RateReason::Pace)),
        ),
        case(
            "limit below all",
            Some(1.0),
            true,
            Some(3.0),
            Some((1.0, RateReason::Limit)),
        ),
        case(
            "equal",
            Some(6.5),
            true,
            None,
            Some((6.5, RateReason::Limit)),
        ),
    ];
    for case in cases {
        let load = BackendLoad::default();
        load.set_cold_start(Some((COLD.time, COLD.per_s)));
        load.record_limit(LimitStatement {
            limit_per_s: case.limit,
            at: at(0),
        });
        load.set_pace(case.pace);
        if case.is_cold {
            load.presume_cold(at(3000), at(0));
        }
        let expected = case
            .expected
            .map(|(per_s, reason)| SendRate { per_s, reason });
        assert_that!(load.send_rate(at(100)), eq(expected), "{}", case.name);
        load.bar_until_slot(at(5000));
        let bar = expected.map(|_| at(5000));
        assert_that!(load.limited_until(at(100)), eq(bar), "{}", case.name);
        load.set_pace(None);
        let is_limited = load.limited_until(at(4000)).is_some();
        assert_that!(is_limited, eq(case.limit.is_some()), "{}", case.name);
    }
}

/// Guards against hosts that don't hear of a new cold time, and against a message for each entry of a server that warms up.
#[test]
fn only_a_new_cold_time_changes_the_routing() {
    let cases = [
        (0, 0, true),
        (3000, 1000, true),
        (0, 3000, false),
        (1000, 3000, false),
    ];
    for (before_ms, after_ms, is_same) in cases {
        let with_left = |left_ms| BackendEntry {
            cold_left: ms(left_ms),
            ..entry("s1", 1, &[])
        };
        let known = with_left(before_ms);
        assert_that!(
            known.has_same_routing(&with_left(after_ms)),
            eq(is_same),
            "{before_ms}, {after_ms}"
        );
    }
}

struct ReturnCase {
    name: &'static str,
    hosts: usize,
    /// Hosts that reach no coordinator all the time.
    cut_off: usize,
    /// Servers that come back together.
    servers: usize,
    /// Time without a coordinator, milliseconds.
    lost_ms: std::ops::Range<u64>,
    /// Requests in the whole run at least, for each server.
    least: usize,
}

/// Times at which requests arrive at each server, milliseconds, sorted. Every millisecond a random host has a request for each
/// server.
fn play(case: &ReturnCase, seed: u64) -> Vec<Vec<u64>> {
    let mut random = StdRng::seed_from_u64(seed);
    let per_s = COLD.slots_per_s(&TOLERANCE);
    let mut shares: Vec<LimitShares> = Vec::new();
    shares.resize_with(case.hosts, LimitShares::default);
    let mut ledger = LimitLedger::new(at(0).before(ms(10_000)));
    let runs = (0..case.servers).map(|number| BackendRun {
        backend: format!("s{number}").into(),
        born_ms: 1,
    });
    let runs: Vec<BackendRun> = runs.collect();
    let mut arrivals = vec![Vec::new(); case.servers];
    for now_ms in (0..END_MS).step_by(ASK_INTERVAL_MS as usize) {
        let now = at(now_ms);
        if case.lost_ms.end == now_ms {
            ledger = LimitLedger::new(now);
        }
        for (run, arrivals) in runs.iter().zip(&mut arrivals) {
            let host = random.random_range(0..case.hosts);
            let max_wait = ms(random.random_range(0..=2000));
            let decision = if host < case.cut_off || case.lost_ms.contains(&now_ms) {
                let rate = SendRate {
                    per_s,
                    reason: RateReason::Cold,
                };
                let share = (rate.shared_per_s(), case.hosts as u32);
                shares[host].reserve(run, share, max_wait, random.random(), now)
            } else {
                ledger.reserve(run, per_s, max_wait, now)
            };
            if let SlotDecision::Granted { wait, .. } = decision {
                let delay = random.random_range(0..=MAX_DELAY_MS);
                arrivals.push(now_ms + wait.as_millis() as u64 + delay);
            }
        }
    }
    for arrivals in &mut arrivals {
        arrivals.sort_unstable();
    }
    arrivals
}

fn most_in_a_second(arrivals: &[u64]) -> usize {
    let counts = arrivals.iter().enumerate().map(|(first, start)| {
        let after = arrivals[first..].iter();
        after.take_while(|at| **at < start + 1000).count()
    });
    counts.max().unwrap_or(0)
}

/// Load pattern: the servers of a place come back together and cold at the peak, and hundreds of hosts have requests for them,
/// some of which reach no coordinator. Guards against a second in which one of them gets more than it bears.
#[test]
fn servers_that_come_back_together_are_not_flooded() {
    let case = |name, hosts, cut_off, lost_ms, least| ReturnCase {
        name,
        hosts,
        cut_off,
        servers: 8,
        lost_ms,
        least,
    };
    let cases = [
        case("few hosts", 3, 0, 0..0, 70),
        case("hundreds of hosts", 300, 0, 0..0, 70),
        case("some are out of touch", 300, 60, 0..0, 70),
        case("most are out of touch", 300, 290, 0..0, 60),
        case("the coordinator is lost", 108, 10, 4000..6500, 30),
        case("no coordinator", 108, 0, 0..END_MS, 1),
    ];
    let allowed = COLD.per_s * TOLERANCE.factor + TOLERANCE.requests;
    for case in cases {
        for seed in 0..4 {
            for arrivals in play(&case, seed) {
                let most = most_in_a_second(&arrivals);
                assert_that!(most as f64, le(allowed), "{}, seed {seed}", case.name);
                assert_that!(arrivals.len(), ge(case.least), "{}, seed {seed}", case.name);
            }
        }
    }
}
