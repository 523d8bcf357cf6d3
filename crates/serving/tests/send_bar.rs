//! When a host may send to a backend server.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::BackendPhase;
use zinniahinge_serving::EvacuatedPlaces;
use zinniahinge_serving::LimitStatement;
use zinniahinge_serving::SendBar;
use zinniahinge_types::MonotonicTime;

fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(time_ms)
}

fn entry(phase: BackendPhase) -> BackendEntry {
    BackendEntry {
        id: "s1".into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        place: "a".into(),
        slots: 8,
        phase,
        born_ms: 1,
        sequence: 1,
        cold_left: Duration::ZERO,
        held: Vec::new(),
        memory_copies: Vec::new(),
        disk_copies: Vec::new(),
    }
}

struct BarCase {
    name: &'static str,
    phase: BackendPhase,
    leaves: bool,
    /// Ends of pauses in the order of the answers, milliseconds.
    pauses_ms: &'static [u64],
    /// Expected at 1000 ms.
    bar: Option<SendBar>,
}

struct SlotCase {
    name: &'static str,
    /// Limits in the order in which they become known, with the times at which the server named them, milliseconds.
    statements: &'static [(Option<f64>, u64)],
    /// Next free slot as of the first statement, milliseconds.
    next_slot_ms: u64,
    pause_ms: u64,
    /// Expected at 1000 ms.
    bar: Option<SendBar>,
    limit_per_s: Option<f64>,
    is_reported: bool,
}

/// Guards against requests to a limited server before its next slot, against an old statement that replaces a newer one, and
/// against a slot of an old limit that binds under another.
#[test]
fn limited_servers_are_barred_until_their_next_slot() {
    let limited = |until_ms| {
        Some(SendBar::Limited {
            until: at(until_ms),
        })
    };
    let case = SlotCase {
        name: "limited",
        statements: &[(Some(1.0), 500)],
        next_slot_ms: 1400,
        pause_ms: 0,
        bar: limited(1400),
        limit_per_s: Some(1.0),
        is_reported: true,
    };
    let cases = [
        SlotCase {
            name: "slot is free",
            next_slot_ms: 1000,
            bar: None,
            ..case
        },
        SlotCase {
            name: "pauses, too",
            pause_ms: 1200,
            bar: Some(SendBar::Paused { until: at(1200) }),
            ..case
        },
        SlotCase {
            name: "said again",
            statements: &[(Some(1.0), 500), (Some(1.0), 900)],
            ..case
        },
        SlotCase {
            name: "lifted",
            statements: &[(Some(1.0), 500), (None, 900)],
            bar: None,
            limit_per_s: None,
            ..case
        },
        SlotCase {
            name: "raised",
            statements: &[(Some(1.0), 500), (Some(2.0), 900)],
            bar: None,
            limit_per_s: Some(2.0),
            ..case
        },
        SlotCase {
            name: "an older statement comes late",
            statements: &[(Some(1.0), 500), (None, 400), (Some(3.0), 300)],
            ..case
        },
        SlotCase {
            name: "lifted, the limit comes late",
            statements: &[(None, 500), (Some(1.0), 400)],
            bar: None,
            limit_per_s: None,
            ..case
        },
        SlotCase {
            name: "never limited",
            statements: &[(None, 500)],
            bar: None,
            limit_per_s: None,
            is_reported: false,
            ..case
        },
        case,
    ];
    for case in cases {
        let load = BackendLoad::default();
        for (index, (limit_per_s, at_ms)) in case.statements.iter().enumerate() {
            load.record_limit(LimitStatement {
                limit_per_s: *limit_per_s,
                at: at(*at_ms),
            });
            if index == 0 {
                load.bar_until_slot(at(case.next_slot_ms));
            }
        }
        load.pause(at(case.pause_ms));
        let bar = SendBar::find(
            &entry(BackendPhase::Ready),
            &load,
            &EvacuatedPlaces::default(),
            at(1000),
        );
        assert_that!(bar, eq(case.bar), "{}", case.name);
        assert_that!(load.limit_per_s(), eq(case.limit_per_s), "{}", case.name);
        let statement = load.limit_statement();
        assert_that!(statement.is_some(), eq(case.is_reported), "{}", case.name);
    }
}

/// Guards against requests to servers that leave or pause, and against a shorter pause that ends a longer one.
#[test]
fn servers_that_leave_or_pause_are_barred() {
    let paused = |until_ms| {
        Some(SendBar::Paused {
            until: at(until_ms),
        })
    };
    let cases = [
        BarCase {
            name: "ready",
            phase: BackendPhase::Ready,
            leaves: false,
            pauses_ms: &[],
            bar: None,
        },
        BarCase {
            name: "drains by the store",
            phase: BackendPhase::Leaving,
            leaves: false,
            pauses_ms: &[],
            bar: Some(SendBar::Draining),
        },
        BarCase {
            name: "leaves by its answer, listed as ready",
            phase: BackendPhase::Ready,
            leaves: true,
            pauses_ms: &[5000],
            bar: Some(SendBar::Leaving),
        },
        BarCase {
            name: "paused",
            phase: BackendPhase::Ready,
            leaves: false,
            pauses_ms: &[1500],
            bar: paused(1500),
        },
        BarCase {
            name: "a longer pause, then a shorter one",
            phase: BackendPhase::Ready,
            leaves: false,
            pauses_ms: &[3000, 1500],
            bar: paused(3000),
        },
        BarCase {
            name: "a shorter pause, then a longer one",
            phase: BackendPhase::Ready,
            leaves: false,
            pauses_ms: &[1500, 3000],
            bar: paused(3000),
        },
        BarCase {
            name: "the pause is over",
            phase: BackendPhase::Ready,
            leaves: false,
            pauses_ms: &[1000],
            bar: None,
        },
    ];
    for case in cases {
        let load = BackendLoad::default();
        if case.leaves {
            assert_that!(load.mark_leaving(), eq(true), "{}", case.name);
            assert_that!(load.mark_leaving(), eq(false), "{}: known", case.name);
        }
        for until_ms in case.pauses_ms {
            load.pause(at(*until_ms));
        }
        let bar = SendBar::find(
            &entry(case.phase),
            &load,
            &EvacuatedPlaces::default(),
            at(1000),
        );
        assert_that!(bar, eq(case.bar), "{}", case.name);
    }
    let pause = Duration::from_millis(1);
    assert_that!(at(1).before(pause * 2), eq(MonotonicTime::ZERO));
}
