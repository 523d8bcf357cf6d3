//! Decisions when the store returns from a copy: which positions and fences are newer, how long a new coordinator waits, and
//! what a listing of the new era changes.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendPhase;
use zinniahinge_serving::BackendRoster;
use zinniahinge_serving::ChangeLog;
use zinniahinge_serving::ConfigFreshness;
use zinniahinge_serving::CoordinatorTerm;
use zinniahinge_serving::CoordinatorTimes;
use zinniahinge_serving::EraChange;
use zinniahinge_serving::HandoverWait;
use zinniahinge_serving::PriorTerm;
use zinniahinge_serving::StoreEraRecord;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

const TIMES: CoordinatorTimes = CoordinatorTimes {
    lease: Duration::from_millis(2000),
    margin: Duration::from_millis(150),
    order_window: Duration::from_millis(1100),
    handover_gap: Duration::from_millis(3000),
};

const RETURN_TIME: Duration = Duration::from_secs(2);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn position(era: u64, revision: Revision) -> StorePosition {
    StorePosition {
        era: StoreEra(era),
        revision,
    }
}

struct FenceCase {
    name: &'static str,
    older: StorePosition,
    newer: StorePosition,
}

/// Guards against fences that fall or repeat when revisions go back and are given out again.
#[test]
fn fences_rise_with_the_era() {
    let cases = [
        FenceCase {
            name: "revisions far back",
            older: position(0, 81),
            newer: position(1, 13),
        },
        FenceCase {
            name: "the same revision again",
            older: position(3, 81),
            newer: position(4, 81),
        },
        FenceCase {
            name: "many revisions lost",
            older: position(1, 1_000_000_000),
            newer: position(2, 1),
        },
        FenceCase {
            name: "within an era",
            older: position(5, 81),
            newer: position(5, 82),
        },
    ];
    for case in cases {
        let FenceCase { name, older, newer } = case;
        assert_that!(older < newer, eq(true), "{name}");
        assert_that!(older.fence() < newer.fence(), eq(true), "{name}");
    }
    assert_that!(position(0, 81).fence(), eq(81));
    assert_that!(position(8_000_000, 81).fence() < 1 << 53, eq(true));
}

/// Guards against answers of an older era that arrive late and take effect.
#[test]
fn older_eras_are_void() {
    let record = StoreEraRecord::default();
    let seen = [2, 2, 3, 2, 3].map(|era| record.observe(StoreEra(era)));
    assert_that!(seen, eq([true, true, true, false, true]));
    assert_that!(record.newest(), eq(StoreEra(3)));
    assert_that!(record.has_risen(), eq(true));
    let started_later = StoreEraRecord::default();
    started_later.observe(StoreEra(3));
    assert_that!(started_later.has_risen(), eq(false));
}

struct WaitCase {
    name: &'static str,
    prior: Option<PriorTerm>,
    has_era_risen: bool,
    expected: HandoverWait,
}

/// Guards against a new coordinator that relies on the end of a lease that was lost with the copy, or on a term record of
/// another era.
#[test]
fn the_first_term_of_an_era_waits_longest() {
    let own = PriorTerm {
        era: StoreEra(2),
        is_own: true,
        is_settled: true,
        is_after_loss: false,
    };
    let cases = [
        WaitCase {
            name: "own settled term",
            prior: Some(own),
            has_era_risen: true,
            expected: HandoverWait::None,
        },
        WaitCase {
            name: "own settled term of an older era",
            prior: Some(PriorTerm {
                era: StoreEra(1),
                ..own
            }),
            has_era_risen: true,
            expected: HandoverWait::LeaseLost,
        },
        WaitCase {
            name: "term of another host",
            prior: Some(PriorTerm {
                is_own: false,
                ..own
            }),
            has_era_risen: false,
            expected: HandoverWait::LeaseExpired,
        },
        WaitCase {
            name: "own term that ended while it waited for a lost lease",
            prior: Some(PriorTerm {
                is_settled: false,
                is_after_loss: true,
                ..own
            }),
            has_era_risen: false,
            expected: HandoverWait::LeaseLost,
        },
        WaitCase {
            name: "copy from before the first term",
            prior: None,
            has_era_risen: true,
            expected: HandoverWait::LeaseLost,
        },
        WaitCase {
            name: "first term of the fleet",
            prior: None,
            has_era_risen: false,
            expected: HandoverWait::None,
        },
    ];
    for case in cases {
        let wait = HandoverWait::find(case.prior, StoreEra(2), case.has_era_risen);
        assert_that!(wait, eq(case.expected), "{}", case.name);
    }
}

/// Load pattern: the copy lacks the lease, another host claims it at once, and the former coordinator hears of neither.
#[test]
fn orders_keep_their_distance_when_a_lease_is_lost() {
    let mut former = CoordinatorTerm::new(TIMES);
    former.start(position(1, 81), at(0), at(0), HandoverWait::None);
    let mut last_order = 0;
    for now in 0..2000 {
        if former.order_fence(at(now)).is_some() {
            last_order = now;
        }
    }
    // Claimed in the moment after the former's last renewal was answered.
    let mut next = CoordinatorTerm::new(TIMES);
    next.start(position(2, 13), at(1), at(1), HandoverWait::LeaseLost);
    let mut orders = (0..10_000).filter(|now| {
        next.renew(at(*now));
        next.order_fence(at(*now)).is_some()
    });
    let first_order = orders.next().unwrap_or_default();
    let gap = Duration::from_millis(first_order - last_order);
    assert_that!(gap >= TIMES.handover_gap, eq(true), "{gap:?}");
    assert_that!(former.observe_era(StoreEra(1)), eq(false));
    assert_that!(former.observe_era(StoreEra(2)), eq(true));
    // An answered renewal of a lease with the same id changes nothing.
    former.renew(at(2000));
    assert_that!(former.fence(at(2001)), none());
}

fn entry(born_ms: u64, sequence: u64, phase: BackendPhase) -> BackendEntry {
    BackendEntry {
        id: "s1".into(),
        service: "app".into(),
        address: ([127, 0, 0, 1], 1000).into(),
        place: "a".into(),
        slots: 4,
        phase,
        born_ms,
        sequence,
        cold_left: std::time::Duration::ZERO,
        held: Vec::new(),
        memory_copies: Vec::new(),
        disk_copies: Vec::new(),
    }
}

struct RosterCase {
    name: &'static str,
    /// Entry known before the return, and whether it was removed then.
    known: (u64, u64, BackendPhase),
    was_removed: bool,
    /// Entry in the copy.
    copied: Option<(u64, u64, BackendPhase)>,
    /// Entry written after the return, at a lower revision than before.
    rewritten: Option<(u64, u64, BackendPhase)>,
    /// Phase 1 s and 5 s after the return; `None` if the server is not in the roster.
    expected: [Option<BackendPhase>; 2],
}

/// Guards against servers that vanish or come back because the copy is some seconds old.
#[test]
fn what_servers_said_last_holds_after_the_return() {
    use BackendPhase::Leaving;
    use BackendPhase::Ready;
    let cases = [
        RosterCase {
            name: "the copy is older than a statement to leave",
            known: (1, 7, Leaving),
            was_removed: false,
            copied: Some((1, 5, Ready)),
            rewritten: None,
            expected: [Some(Leaving), Some(Leaving)],
        },
        RosterCase {
            name: "leaving written again below the known revision",
            known: (1, 7, Ready),
            was_removed: false,
            copied: Some((1, 5, Ready)),
            rewritten: Some((1, 8, Leaving)),
            expected: [Some(Leaving), Some(Leaving)],
        },
        RosterCase {
            name: "registered after the copy",
            known: (1, 1, Ready),
            was_removed: false,
            copied: None,
            rewritten: None,
            expected: [Some(Ready), None],
        },
        RosterCase {
            name: "registered after the copy and again",
            known: (1, 1, Ready),
            was_removed: false,
            copied: None,
            rewritten: Some((1, 2, Ready)),
            expected: [Some(Ready), Some(Ready)],
        },
        RosterCase {
            name: "left after the copy",
            known: (1, 7, Leaving),
            was_removed: true,
            copied: Some((1, 5, Ready)),
            rewritten: None,
            expected: [None, None],
        },
        RosterCase {
            name: "started again since",
            known: (1, 7, Leaving),
            was_removed: true,
            copied: Some((1, 5, Ready)),
            rewritten: Some((2, 1, Ready)),
            expected: [Some(Ready), Some(Ready)],
        },
    ];
    for case in cases {
        let make = |(born, sequence, phase)| entry(born, sequence, phase);
        let mut roster = BackendRoster::new(RETURN_TIME);
        roster.put(make(case.known), 80);
        if case.was_removed {
            roster.remove("s1", 81, at(9000));
        }
        roster.start_era(at(10_000));
        let copied = case.copied.map(|copied| (make(copied), 20));
        roster.replace(copied, 20, at(10_000));
        if let Some(rewritten) = case.rewritten {
            roster.put(make(rewritten), 21);
        }
        let phases = [11_000, 15_000].map(|now| {
            roster.expire(at(now));
            roster.find("s1").map(|entry| entry.phase)
        });
        assert_that!(phases, eq(case.expected), "{}", case.name);
    }
}

struct ProofCase {
    name: &'static str,
    /// When a configuration was written in the new era.
    written_at: Option<u64>,
    /// When a reading was sent.
    read_at: u64,
    is_fresh: bool,
}

/// Guards against a reading of a copy that counts as proof that no key was revoked since.
#[test]
fn a_copy_does_not_prove_that_keys_are_unrevoked() {
    const LIMIT: Duration = Duration::from_millis(3600);
    let cases = [
        ProofCase {
            name: "reading of the copy",
            written_at: None,
            read_at: 11_000,
            is_fresh: false,
        },
        ProofCase {
            name: "configuration written again",
            written_at: Some(10_500),
            read_at: 11_000,
            is_fresh: true,
        },
        ProofCase {
            name: "after the time for writing again",
            written_at: None,
            read_at: 12_100,
            is_fresh: true,
        },
    ];
    for case in cases {
        let freshness = ConfigFreshness::default();
        freshness.confirm(at(9000));
        let change = EraChange::find(Some(StoreEra(1)), StoreEra(2), at(10_000));
        let proof_from = change.map(|change| change.proof_from(RETURN_TIME));
        freshness.require_proof_from(proof_from.unwrap_or_default());
        if case.written_at.is_some() {
            freshness.accept_proof();
        }
        freshness.confirm(at(case.read_at));
        let now = at(13_000);
        assert_that!(
            freshness.is_fresh(now, LIMIT),
            eq(case.is_fresh),
            "{}",
            case.name
        );
        // The reading itself is recent in any case, so hosts need not read more often.
        assert_that!(freshness.age(now) < Some(LIMIT), eq(true), "{}", case.name);
    }
}

struct ChangeCase {
    name: &'static str,
    known: Option<StoreEra>,
    is_change: bool,
}

/// Guards against a first listing, or one within an era, that is taken for the store's return.
#[test]
fn only_a_rise_is_a_change_of_era() {
    let cases = [
        ChangeCase {
            name: "first listing",
            known: None,
            is_change: false,
        },
        ChangeCase {
            name: "same era",
            known: Some(StoreEra(2)),
            is_change: false,
        },
        ChangeCase {
            name: "risen twice",
            known: Some(StoreEra(0)),
            is_change: true,
        },
    ];
    for case in cases {
        let change = EraChange::find(case.known, StoreEra(2), at(0));
        assert_that!(change.is_some(), eq(case.is_change), "{}", case.name);
    }
}

struct LogCase {
    name: &'static str,
    after: StorePosition,
    expected: Option<Vec<Revision>>,
}

/// Guards against a relayed reading that is applied on top of a position of another era.
#[test]
fn changes_are_passed_on_within_an_era() {
    let item = |revision: Revision| RelayedChange {
        key: format!("key-{revision}").into(),
        revision,
        value: RelayedValue::Removed,
    };
    let mut log = ChangeLog::default();
    log.restart(position(2, 20));
    log.keep_listing(vec![item(15), item(7)]);
    log.push(item(21));
    log.advance(21);
    let cases = [
        LogCase {
            name: "the same era",
            after: position(2, 20),
            expected: Some(vec![21]),
        },
        LogCase {
            name: "the same revision of an older era",
            after: position(1, 20),
            expected: None,
        },
        LogCase {
            name: "before the listing",
            after: position(2, 15),
            expected: None,
        },
        LogCase {
            name: "nothing known",
            after: position(2, 0),
            expected: Some(vec![7, 15, 21]),
        },
    ];
    for case in cases {
        let changes = log.since(case.after);
        let revisions: Option<Vec<Revision>> =
            changes.map(|changes| changes.map(|change| change.revision).collect());
        assert_that!(revisions, eq(&case.expected), "{}", case.name);
    }
}
