//! When a host may send to a backend server.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::BackendPhase;
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
        let bar = SendBar::find(&entry(case.phase), &load, at(1000));
        assert_that!(bar, eq(case.bar), "{}", case.name);
    }
    let pause = Duration::from_millis(1);
    assert_that!(at(1).before(pause * 2), eq(MonotonicTime::ZERO));
}
