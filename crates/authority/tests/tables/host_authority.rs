//! Authority of one host. The comment of each test names the failure that it guards against.

use crate::fixture::*;
use googletest::prelude::*;
use zinniahinge_authority::*;
use zinniahinge_types::*;

/// Builds a table with two live hosts besides the tested host `h`.
fn other_hosts() -> MemberTable {
    members(
        20,
        vec![
            entry("g", 11, "n", HostState::Live),
            entry("n", 12, "g", HostState::Live),
        ],
    )
}

fn new_host() -> HostAuthority {
    HostAuthority::new("h".into(), 5, address("h"), AuthoritySettings::default())
}

/// Returns a host that joined at revision 30 by a write sent at 1,000 ms, and its guardian.
fn joined() -> (HostAuthority, HostId) {
    let mut host = new_host();
    host.record_observed(29, None, ms(1000));
    let guardian = answer_write(&mut host, 1000, WriteOutcome::Written { revision: 30 }).guardian;
    (host, guardian.expect("a guardian"))
}

fn find_write(host: &mut HostAuthority, at: u64) -> Option<(u64, Revision, HostRecord)> {
    host.tick(ms(at), &other_hosts())
        .into_iter()
        .find_map(|action| match action {
            HostAction::WriteRecord {
                renewal,
                expected,
                record,
            } => Some((renewal, expected, record)),
            _ => None,
        })
}

fn find_heartbeat(host: &mut HostAuthority, at: u64) -> Option<u64> {
    host.tick(ms(at), &other_hosts())
        .into_iter()
        .find_map(|action| match action {
            HostAction::SendHeartbeat { sequence, .. } => Some(sequence),
            _ => None,
        })
}

fn answer_write(host: &mut HostAuthority, at: u64, outcome: WriteOutcome) -> HostRecord {
    let (renewal, _, record) = find_write(host, at).expect("a write");
    host.write_finished(renewal, outcome, ms(at + 500));
    record
}

/// Returns a joined host whose renewal of 2,600 ms was answered and whose write of 4,500 ms, when
/// the guardian was silent for too long, names another guardian; and the record of that write.
fn with_guardian_change() -> (HostAuthority, HostRecord) {
    let (mut host, guardian) = joined();
    let renewed = answer_write(&mut host, 2600, WriteOutcome::Written { revision: 31 });
    assert_eq!(renewed.guardian, Some(guardian.clone()));
    let (_, expected, record) = find_write(&mut host, 4500).expect("a write");
    assert_eq!(expected, 31);
    assert_ne!(record.guardian, Some(guardian));
    (host, record)
}

struct TermCase {
    name: &'static str,
    /// Whether a heartbeat sent at 1,600 ms is answered at 2,000 ms.
    by_heartbeat: bool,
    until: u64,
}

/// Guards against two hosts that act for a shard at once because authority counts from the receipt
/// of an answer, or without the drift allowance.
#[gtest]
fn authority_lasts_from_the_send_time_less_drift() {
    let cases = [
        TermCase {
            name: "renewal at 1,000",
            by_heartbeat: false,
            until: 3970,
        },
        TermCase {
            name: "heartbeat at 1,600",
            by_heartbeat: true,
            until: 4570,
        },
    ];
    for TermCase {
        name,
        by_heartbeat,
        until,
    } in cases
    {
        let (mut host, _) = joined();
        if by_heartbeat {
            let sequence = find_heartbeat(&mut host, 1600).expect("a heartbeat");
            host.heartbeat_answered(sequence, true, ms(2000));
        }
        expect_true!(host.has_authority(ms(until - 1)), "{name}");
        expect_false!(host.has_authority(ms(until)), "{name}");
    }
}

/// Guards against a host that loses its authority because it relies on a silent guardian and never
/// renews at the key-value service.
#[gtest]
fn silent_guardian_leads_to_a_renewal_then_to_another_guardian() {
    let (host, record) = with_guardian_change();
    expect_true!(host.has_authority(ms(5000)));
    expect_that!(record.guardian, some(anything()));
}

/// COUNT_OLD: without the guard, a heartbeat to the old guardian extends the authority while the
/// new guardian already counts its wait.
#[gtest]
fn no_heartbeat_after_asking_for_another_guardian() {
    let (mut host, _) = with_guardian_change();
    expect_that!(find_heartbeat(&mut host, 6000), none());
}

/// CLEAR_ASK: without the guard, a read of the old revision ends the pause of heartbeats, and the
/// write that names another guardian takes effect later.
#[gtest]
fn request_stays_until_the_record_is_seen_beyond_it() {
    let (mut host, record) = with_guardian_change();
    let old = record_of(&host);
    host.write_finished(record.renewal, WriteOutcome::Unknown, ms(4600));
    host.record_observed(31, Some(old.clone()), ms(4700));
    expect_that!(find_heartbeat(&mut host, 6000), none());
    host.record_observed(
        32,
        Some(HostRecord {
            renewal: 99,
            ..record
        }),
        ms(6100),
    );
    expect_that!(find_heartbeat(&mut host, 6200), some(anything()));
}

fn record_of(host: &HostAuthority) -> HostRecord {
    HostRecord {
        renewal: 2,
        ..record("h", host.guardian().map(|name| &**name), HostState::Live)
    }
}

/// Guards against one lost heartbeat that ends all heartbeats during an outage of the key-value
/// service.
#[gtest]
fn guardian_is_kept_while_the_service_does_not_answer() {
    let (mut host, guardian) = joined();
    let (renewal, _, record) = find_write(&mut host, 9000).unwrap();
    expect_eq!(record.guardian, Some(guardian));
    host.write_finished(renewal, WriteOutcome::Unknown, ms(9100));
    expect_that!(find_heartbeat(&mut host, 10_500), some(anything()));
}

struct FenceCase {
    name: &'static str,
    record: Option<HostRecord>,
}

/// OVERWRITE_DEAD: without the guard, a dead or superseded incarnation acts or writes its record
/// again.
#[gtest]
fn fenced_host_never_acts_again() {
    let live = record("h", Some("g"), HostState::Live);
    let cases = [
        FenceCase {
            name: "dead",
            record: Some(record("h", Some("g"), HostState::Dead)),
        },
        FenceCase {
            name: "superseded",
            record: Some(HostRecord {
                incarnation: 6,
                ..live
            }),
        },
        FenceCase {
            name: "deleted",
            record: None,
        },
    ];
    for FenceCase { name, record } in cases {
        let (mut host, _) = joined();
        let sequence = find_heartbeat(&mut host, 1600).expect("a heartbeat");
        host.record_observed(31, record, ms(1700));
        host.heartbeat_answered(sequence, true, ms(1800));
        expect_false!(host.has_authority(ms(1800)), "{name}");
        let actions = host.tick(ms(9000), &other_hosts());
        expect_true!(
            matches!(actions.as_slice(), [HostAction::Rejoin { .. }]),
            "{name}"
        );
    }
}

/// Guards against two incarnations that act at once because the new one replaces the live record of
/// an old one at another address.
#[gtest]
fn joins_over_a_live_record_only_at_the_same_address() {
    for (control, joins) in [("h:1", true), ("elsewhere:1", false)] {
        let mut earlier = HostRecord {
            incarnation: 4,
            ..record("h", Some("g"), HostState::Live)
        };
        earlier.address.control = control.into();
        let mut host = new_host();
        host.record_observed(28, Some(earlier.clone()), ms(1000));
        expect_eq!(find_write(&mut host, 1100).is_some(), joins, "{control}");
        if !joins {
            host.record_observed(
                29,
                Some(HostRecord {
                    state: HostState::Dead,
                    ..earlier
                }),
                ms(1200),
            );
            expect_true!(find_write(&mut host, 1300).is_some());
        }
    }
}

/// Guards against a stopped host that acts after its tombstone allowed other hosts to claim its
/// shards.
#[gtest]
fn stop_ends_authority_before_the_tombstone_is_written() {
    let (mut host, _) = joined();
    host.stop();
    expect_false!(host.has_authority(ms(1600)));
    let record = answer_write(&mut host, 1800, WriteOutcome::Written { revision: 31 });
    expect_eq!(record.state, HostState::Dead);
    expect_eq!(host.phase(), HostPhase::Stopped);
}
