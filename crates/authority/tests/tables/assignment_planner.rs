//! Claims and handovers of shards. The comment of each test names the failure that it guards
//! against.

use crate::fixture::*;
use googletest::prelude::*;
use zinniahinge_authority::*;
use zinniahinge_types::*;

/// Longer than the settle time, so that handovers are due.
const PAST_SETTLE_TIME_MS: u64 = 6000;

fn owner(host: &str, incarnation: Incarnation) -> ShardOwner {
    ShardOwner {
        host: host.into(),
        incarnation,
    }
}

/// Assignment in which all shards belong to `owner`.
fn all_owned_by(owner: &ShardOwner) -> Assignment {
    Assignment {
        owners: vec![Some(owner.clone()); usize::from(SHARD_COUNT)],
    }
}

/// Planner of `h`, incarnation 5, that knows an assignment of revision 50 in which `owner` owns all
/// shards, and has taken the acquired ones.
fn planner(owner: &ShardOwner) -> AssignmentPlanner {
    let mut planner = AssignmentPlanner::new("h".into(), 5, AuthoritySettings::default());
    planner.assignment_observed(50, all_owned_by(owner));
    planner.take_acquired();
    planner
}

fn two_hosts() -> MemberTable {
    members(
        60,
        vec![
            entry("h", 40, "g", HostState::Live),
            entry("g", 41, "h", HostState::Live),
        ],
    )
}

/// Ticks until shards of `h` are frozen for `g` at `at`, and returns the first one.
fn freeze(planner: &mut AssignmentPlanner, at: u64) -> ShardId {
    planner.tick(
        &local_status("h"),
        &two_hosts(),
        ms(at.saturating_sub(PAST_SETTLE_TIME_MS)),
    );
    let actions = planner.tick(&local_status("h"), &two_hosts(), ms(at));
    find_handover(&actions).expect("a handover")
}

fn find_handover(actions: &[AssignmentAction]) -> Option<ShardId> {
    actions.iter().find_map(|action| match action {
        AssignmentAction::HandOver { shard, .. } => Some(*shard),
        _ => None,
    })
}

fn find_write(planner: &mut AssignmentPlanner, at: u64) -> Option<(Revision, Assignment)> {
    let actions = planner.tick(&local_status("h"), &two_hosts(), ms(at));
    actions.into_iter().find_map(|action| match action {
        AssignmentAction::WriteAssignment {
            expected,
            assignment,
            ..
        } => Some((expected, assignment)),
        _ => None,
    })
}

struct ClaimCase {
    name: &'static str,
    owner: ShardOwner,
    members: MemberTable,
    own: LocalHostStatus,
    claims: bool,
}

/// CLAIM_LIVE: without the guard, a shard is claimed while its owner still acts.
#[gtest]
fn claims_shards_of_gone_owners_only() {
    use HostState::*;
    let own = || local_status("h");
    let with = |state| {
        members(
            60,
            vec![entry("h", 40, "g", Live), entry("g", 41, "h", state)],
        )
    };
    let alone = |revision| members(revision, vec![entry("h", 40, "g", Live)]);
    let leaving = LocalHostStatus {
        leaving: true,
        ..own()
    };
    let lapsed = LocalHostStatus {
        has_authority: false,
        ..own()
    };
    let case = |name, owner, members, own, claims| ClaimCase {
        name,
        owner,
        members,
        own,
        claims,
    };
    let cases = [
        case("live owner", owner("g", 5), with(Live), own(), false),
        case("leaving owner", owner("g", 5), with(Leaving), own(), false),
        case("tombstone", owner("g", 5), with(Dead), own(), true),
        case(
            "tombstone of an earlier incarnation",
            owner("g", 6),
            with(Dead),
            own(),
            false,
        ),
        case(
            "superseded owner",
            owner("g", 4),
            with(Leaving),
            own(),
            true,
        ),
        case("deleted owner", owner("g", 5), alone(60), own(), true),
        case("owner not seen yet", owner("g", 5), alone(49), own(), false),
        case(
            "own earlier incarnation",
            owner("h", 4),
            alone(60),
            own(),
            true,
        ),
        case("planned stop", owner("g", 5), with(Dead), leaving, false),
        case("no authority", owner("g", 5), with(Dead), lapsed, false),
    ];
    for ClaimCase {
        name,
        owner,
        members,
        own,
        claims,
    } in cases
    {
        let actions = planner(&owner).tick(&own, &members, ms(0));
        let wrote = matches!(
            actions.as_slice(),
            [AssignmentAction::WriteAssignment { expected: 50, .. }]
        );
        expect_eq!(wrote, claims, "{name}: {actions:?}");
    }
}

/// NO_AUTHORITY, ANY_INCARNATION, NO_FREEZE: without the guards, two hosts act for a shard at once.
#[gtest]
fn acts_with_authority_on_own_unfrozen_shards() {
    expect_that!(
        planner(&owner("h", 5)).fencing_number(0, true),
        some(eq(50))
    );
    expect_that!(planner(&owner("h", 5)).fencing_number(0, false), none());
    expect_that!(planner(&owner("h", 4)).fencing_number(0, true), none());
    expect_that!(planner(&owner("g", 5)).fencing_number(0, true), none());
    let mut planner = planner(&owner("h", 5));
    let shard = freeze(&mut planner, 10_000);
    expect_that!(planner.fencing_number(shard, true), none());
}

/// UNSTARTED: without the guard, an empty state is handed over, because the shard's own state was
/// not read yet.
#[gtest]
fn shard_is_not_used_or_handed_over_before_its_gain_is_taken() {
    let mut planner = AssignmentPlanner::new("h".into(), 5, AuthoritySettings::default());
    planner.assignment_observed(50, all_owned_by(&owner("h", 5)));
    planner.tick(&local_status("h"), &two_hosts(), ms(0));
    expect_eq!(
        find_handover(&planner.tick(&local_status("h"), &two_hosts(), ms(PAST_SETTLE_TIME_MS))),
        None
    );
    expect_that!(planner.fencing_number(0, true), none());
    planner.take_acquired();
    expect_that!(planner.fencing_number(0, true), some(eq(50)));
}

/// UNSTAGED: without the guard, the successor must recover the state that the owner could have
/// sent.
#[gtest]
fn writes_a_handover_only_after_staging() {
    let mut planner = planner(&owner("h", 5));
    let shard = freeze(&mut planner, 10_000);
    expect_that!(find_write(&mut planner, 10_300), none());
    planner.state_staged(shard, 49);
    expect_that!(find_write(&mut planner, 10_600), none());
    planner.state_staged(shard, 50);
    let (expected, assignment) = find_write(&mut planner, 10_900).expect("a write");
    expect_eq!(expected, 50);
    expect_eq!(assignment.owner(shard), Some(&owner("g", 5)));
}

/// GIVE_UP_OPEN: without the guard, the owner acts again while the assignment may already name the
/// successor.
#[gtest]
fn handover_is_not_given_up_while_its_write_is_open() {
    let mut planner = planner(&owner("h", 5));
    let shard = freeze(&mut planner, 10_000);
    planner.state_staged(shard, 50);
    let (expected, written) = find_write(&mut planner, 10_300).expect("a write");
    planner.write_finished(expected, written, WriteOutcome::Unknown, ms(10_400));
    planner.assignment_observed(50, all_owned_by(&owner("h", 5)));
    let dead = members(
        70,
        vec![
            entry("h", 40, "g", HostState::Live),
            entry("g", 61, "h", HostState::Dead),
        ],
    );
    planner.tick(&local_status("h"), &dead, ms(10_500));
    expect_true!(planner.is_frozen(shard));
    planner.assignment_observed(51, all_owned_by(&owner("h", 5)));
    planner.tick(&local_status("h"), &dead, ms(10_600));
    expect_false!(planner.is_frozen(shard));
}

/// Guards against a shard that stays frozen for a successor that died.
#[gtest]
fn handover_to_a_dead_host_is_given_up() {
    let mut planner = planner(&owner("h", 5));
    let shard = freeze(&mut planner, 10_000);
    let dead = members(
        70,
        vec![
            entry("h", 40, "g", HostState::Live),
            entry("g", 61, "h", HostState::Dead),
        ],
    );
    planner.tick(&local_status("h"), &dead, ms(10_050));
    expect_that!(planner.fencing_number(shard, true), some(eq(50)));
}

/// SAME_REVISION: without the guard, staged state of an abandoned handover is taken for the state
/// of the next one.
#[gtest]
fn given_up_handover_is_repeated_under_a_newer_revision() {
    let shard = freeze(&mut planner(&owner("h", 5)), 10_000);
    // Only this shard can be handed over, so that no other one uses up the limit on handovers.
    let mut only = all_owned_by(&owner("g", 5));
    only.owners[usize::from(shard)] = Some(owner("h", 5));
    let mut planner = AssignmentPlanner::new("h".into(), 5, AuthoritySettings::default());
    planner.assignment_observed(50, only);
    planner.take_acquired();
    expect_eq!(freeze(&mut planner, 10_000), shard);
    planner.staging_failed(shard, 50);
    expect_that!(planner.fencing_number(shard, true), some(eq(50)));
    let (expected, assignment) = find_write(&mut planner, 10_300).expect("the record again");
    expect_false!(planner.is_frozen(shard));
    planner.write_finished(
        expected,
        assignment,
        WriteOutcome::Written { revision: 51 },
        ms(10_400),
    );
    planner.tick(&local_status("h"), &two_hosts(), ms(10_700));
    expect_true!(planner.is_frozen(shard));
}

struct ReturnCase {
    name: &'static str,
    outcome: WriteOutcome,
    acquired: usize,
}

/// HANDED_BACK: without the guard, an owner continues with old state after its shard went to the
/// successor and came back unseen.
#[gtest]
fn shard_of_an_unknown_handover_counts_as_gained_again() {
    let cases = [
        ReturnCase {
            name: "unknown",
            outcome: WriteOutcome::Unknown,
            acquired: 1,
        },
        ReturnCase {
            name: "certainly failed",
            outcome: WriteOutcome::Conflict,
            acquired: 0,
        },
    ];
    for ReturnCase {
        name,
        outcome,
        acquired,
    } in cases
    {
        let mut planner = planner(&owner("h", 5));
        let shard = freeze(&mut planner, 10_000);
        planner.state_staged(shard, 50);
        let (expected, written) = find_write(&mut planner, 10_300).expect("a write");
        // The watch reports before the write's result arrives; the result decides.
        planner.assignment_observed(58, all_owned_by(&owner("h", 5)));
        planner.write_finished(expected, written, outcome, ms(10_400));
        let acquired_shards = planner.take_acquired();
        expect_eq!(acquired_shards.len(), acquired, "{name}");
        expect_true!(
            acquired_shards
                .iter()
                .all(|acquired| acquired.previous == Some(owner("g", 5))),
            "{name}"
        );
        expect_eq!(planner.is_frozen(shard), acquired == 0, "{name}");
    }
}

fn request(
    from: &str,
    frozen_at: Revision,
    to_incarnation: Incarnation,
    state: &[u8],
) -> HandoverRequest {
    HandoverRequest {
        host: from.into(),
        incarnation: 5,
        to_incarnation,
        assignment: frozen_at,
        shard: 3,
        state: state.to_vec(),
    }
}

struct StageCase {
    name: &'static str,
    requests: Vec<HandoverRequest>,
    claimed: bool,
    previous: Option<ShardOwner>,
    resumes: Option<&'static [u8]>,
}

/// STAGED_CLAIM, STAGE_OLDER: without the guards, or with state from another owner, a token bucket
/// resumes from old state and regains spent tokens.
#[gtest]
fn resumes_only_from_the_finished_handover() {
    let g = || Some(owner("g", 5));
    let case = |name, requests, claimed, previous, resumes| StageCase {
        name,
        requests,
        claimed,
        previous,
        resumes,
    };
    let new = || request("g", 50, 5, b"new");
    let cases = [
        case("finished", vec![new()], false, g(), Some(b"new".as_slice())),
        case(
            "older message last",
            vec![new(), request("g", 49, 5, b"old")],
            false,
            g(),
            Some(b"new"),
        ),
        case("claimed", vec![new()], true, g(), None),
        case(
            "from another owner",
            vec![request("f", 50, 5, b"new")],
            false,
            g(),
            None,
        ),
        case("previous owner unknown", vec![new()], false, None, None),
        case(
            "for another incarnation",
            vec![request("g", 50, 4, b"new")],
            false,
            g(),
            None,
        ),
        case(
            "over-long",
            vec![request("g", 50, 5, &[0; (1 << 20) + 1])],
            false,
            g(),
            None,
        ),
    ];
    for StageCase {
        name,
        requests,
        claimed,
        previous,
        resumes,
    } in cases
    {
        let mut staged = StagedShards::new(5);
        for request in requests {
            staged.stage(request);
        }
        let taken = staged.take(&AcquiredShard {
            shard: 3,
            revision: 51,
            previous,
            claimed,
        });
        expect_eq!(
            taken.map(|staged_shard| staged_shard.state),
            resumes.map(<[u8]>::to_vec),
            "{name}"
        );
    }
}
