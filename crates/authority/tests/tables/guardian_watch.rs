//! Decisions of a guardian. The comment of each test names the failure that it guards against.

use crate::fixture::*;
use googletest::prelude::*;
use zinniahinge_authority::*;
use zinniahinge_types::*;

/// Time that a guardian waits: T plus the drift allowance.
const WAIT_MS: u64 = 3030;

fn watch() -> GuardianWatch {
    GuardianWatch::new(AuthoritySettings::default())
}

fn members_with(revision: Revision, guardian: &str, state: HostState) -> MemberTable {
    members(
        revision,
        vec![
            entry("g", 10, "n", HostState::Live),
            entry("h", revision, guardian, state),
        ],
    )
}

fn heartbeat(record_revision: Revision) -> ReceivedHeartbeat {
    ReceivedHeartbeat {
        host: "h".into(),
        incarnation: 5,
        record_revision,
    }
}

struct VerdictCase {
    name: &'static str,
    own: LocalHostStatus,
    members: MemberTable,
    heartbeat: ReceivedHeartbeat,
    verdict: HeartbeatVerdict,
}

/// ACK_LAPSED, OLD_RECORD, ACK_DEAD: without the guards, a host gets authority that its next
/// guardian does not wait for.
#[gtest]
fn heartbeat_verdicts() {
    use HeartbeatRefusal::*;
    use HeartbeatVerdict::*;
    let live = || members_with(20, "g", HostState::Live);
    let own = || local_status("g");
    let no_authority = LocalHostStatus {
        has_authority: false,
        ..own()
    };
    let joining = LocalHostStatus {
        joined_at: None,
        ..own()
    };
    let case = |name, own, members, heartbeat, verdict| VerdictCase {
        name,
        own,
        members,
        heartbeat,
        verdict,
    };
    let old_incarnation = ReceivedHeartbeat {
        incarnation: 4,
        ..heartbeat(20)
    };
    let cases = [
        case("live", own(), live(), heartbeat(20), Acknowledge),
        case(
            "record not seen yet",
            own(),
            members_with(20, "n", HostState::Live),
            heartbeat(21),
            Acknowledge,
        ),
        case(
            "own authority lapsed",
            no_authority,
            live(),
            heartbeat(20),
            Refuse(NoAuthority),
        ),
        case(
            "record before own join",
            own(),
            live(),
            heartbeat(10),
            Refuse(RecordTooOld),
        ),
        case(
            "not joined",
            joining,
            live(),
            heartbeat(20),
            Refuse(RecordTooOld),
        ),
        case(
            "dead",
            own(),
            members_with(20, "g", HostState::Dead),
            heartbeat(20),
            Refuse(Superseded),
        ),
        case(
            "old incarnation",
            own(),
            live(),
            old_incarnation,
            Refuse(Superseded),
        ),
        case(
            "deleted",
            own(),
            members(25, vec![]),
            heartbeat(20),
            Refuse(Superseded),
        ),
        case(
            "other guardian",
            own(),
            members_with(22, "n", HostState::Live),
            heartbeat(20),
            Refuse(NotGuardian),
        ),
    ];
    for VerdictCase {
        name,
        own,
        members,
        heartbeat,
        verdict,
    } in cases
    {
        expect_eq!(
            watch().heartbeat_received(&heartbeat, &own, &members, ms(0)),
            verdict,
            "{name}"
        );
    }
}

/// NO_WAIT, NO_PROMISE, REBIND, UNBOUND: without the guards, a host is declared dead while it has
/// authority.
#[gtest]
fn death_waits_for_observation_promise_and_unchanged_record() {
    let own = local_status("g");
    let mut watch = watch();
    let table = members_with(20, "g", HostState::Live);
    expect_that!(watch.tick(&own, &table, ms(0)).as_slice(), is_empty());
    expect_that!(
        watch.tick(&own, &table, ms(WAIT_MS - 1)).as_slice(),
        is_empty()
    );
    // A promise at 3,000 ms restarts the wait; so does a new revision seen at about 6,000 ms.
    watch.heartbeat_received(&heartbeat(20), &own, &table, ms(3000));
    expect_that!(
        watch.tick(&own, &table, ms(3000 + WAIT_MS - 1)).as_slice(),
        is_empty()
    );
    let table = members_with(21, "g", HostState::Live);
    expect_that!(watch.tick(&own, &table, ms(6029)).as_slice(), is_empty());
    expect_that!(
        watch.tick(&own, &table, ms(6029 + WAIT_MS - 1)).as_slice(),
        is_empty()
    );
    let lapsed = LocalHostStatus {
        has_authority: false,
        ..own.clone()
    };
    expect_that!(
        watch.tick(&lapsed, &table, ms(6029 + WAIT_MS)).as_slice(),
        is_empty()
    );
    let actions = watch.tick(&own, &table, ms(6029 + WAIT_MS));
    let record = record("h", Some("g"), HostState::Dead);
    let declaration = GuardianAction::DeclareDead {
        host: "h".into(),
        expected: 21,
        record,
    };
    expect_that!(actions.as_slice(), elements_are![eq(&declaration)]);
}

/// ACK_TRYING: without the guard, a heartbeat is acknowledged while a tombstone may still be
/// written.
#[gtest]
fn attempt_ends_only_beyond_its_revision() {
    let own = local_status("g");
    let mut watch = watch();
    let table = members_with(20, "g", HostState::Live);
    watch.tick(&own, &table, ms(0));
    expect_eq!(watch.tick(&own, &table, ms(WAIT_MS)).len(), 1);
    watch.tick(&own, &table, ms(WAIT_MS + 100));
    let refused = HeartbeatVerdict::Refuse(HeartbeatRefusal::TombstonePending);
    expect_eq!(
        watch.heartbeat_received(&heartbeat(20), &own, &table, ms(WAIT_MS + 100)),
        refused
    );
    let renewed = members_with(21, "g", HostState::Live);
    watch.tick(&own, &renewed, ms(WAIT_MS + 200));
    let verdict = watch.heartbeat_received(&heartbeat(21), &own, &renewed, ms(WAIT_MS + 200));
    expect_eq!(verdict, HeartbeatVerdict::Acknowledge);
}

/// Guards against refusing a host's heartbeats during an outage although no tombstone was sent.
#[gtest]
fn attempt_that_was_never_sent_ends() {
    let own = local_status("g");
    let mut watch = watch();
    let table = members_with(20, "g", HostState::Live);
    watch.tick(&own, &table, ms(0));
    watch.tick(&own, &table, ms(WAIT_MS));
    watch.tick(&own, &table, ms(WAIT_MS + 1000));
    watch.tombstone_not_sent("h", 20);
    expect_true!(watch.is_declaring_dead("h"));
    watch.tombstone_not_sent("h", 20);
    expect_false!(watch.is_declaring_dead("h"));
}

struct TakeoverCase {
    name: &'static str,
    hosts: Vec<(HostId, MemberEntry)>,
    takes_over: bool,
}

/// TAKEOVER_LIVE: without the guard, a host is declared dead while its live guardian extends its
/// authority.
#[gtest]
fn takes_over_hosts_of_dead_guardians_only() {
    use HostState::*;
    let cases = [
        TakeoverCase {
            name: "live guardian",
            hosts: vec![
                entry("h", 20, "g", Live),
                entry("g", 21, "n", Live),
                entry("n", 10, "h", Live),
            ],
            takes_over: false,
        },
        TakeoverCase {
            name: "dead guardian",
            hosts: vec![
                entry("h", 20, "g", Live),
                entry("g", 21, "n", Dead),
                entry("n", 10, "h", Live),
            ],
            takes_over: true,
        },
        TakeoverCase {
            name: "cycle of dead guardians, nobody else is left",
            hosts: vec![
                entry("h", 20, "g", Live),
                entry("g", 21, "f", Dead),
                entry("f", 22, "g", Dead),
                entry("n", 10, "h", Live),
            ],
            takes_over: true,
        },
    ];
    for TakeoverCase {
        name,
        hosts,
        takes_over,
    } in cases
    {
        let actions = watch().tick(&local_status("n"), &members(30, hosts), ms(0));
        let expected = GuardianAction::TakeOver {
            host: "h".into(),
            expected: 20,
            record: record("h", Some("n"), Live),
        };
        expect_eq!(actions.contains(&expected), takes_over, "{name}");
    }
}

/// Guards against an outage of one data centre that stops a host together with its guardian, and
/// against two hosts that watch each other and fail together.
#[gtest]
fn guardian_is_on_another_place_and_closes_no_short_cycle() {
    let mut near = entry("near", 11, "far", HostState::Live);
    near.1.record.address.place = "place-of-h".into();
    // "other" watches more hosts than the others, so only the cycle rule can select it.
    let mut busy = entry("busy", 16, "other", HostState::Live);
    busy.1.record.address.place = "place-of-h".into();
    let mut busier = entry("busier", 17, "other", HostState::Live);
    busier.1.record.address.place = "place-of-h".into();
    let table = members(
        20,
        vec![
            near,
            busy,
            busier,
            entry("far", 12, "cycle", HostState::Live),
            entry("cycle", 13, "h", HostState::Live),
            entry("other", 14, "near", HostState::Live),
            entry("dead", 15, "near", HostState::Dead),
        ],
    );
    let chosen = choose_guardian(&"h".into(), &address("h"), None, &table);
    expect_that!(chosen.as_deref(), some(eq("other")));
    let next = choose_guardian(&"h".into(), &address("h"), Some(&"other".into()), &table);
    expect_that!(next.as_deref(), some(not(eq("near"))));
}
