//! How soon a fleet notices that its coordinator is lost, and learns of the next one.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::SilentHosts;
use zinniahinge_serving::WatchPace;
use zinniahinge_serving::WatchRole;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;

const HOSTS: usize = 126;

const PACE: WatchPace = WatchPace {
    deadline: Duration::from_secs(3),
};

/// Age of the last relayed reading when the coordinator is lost, milliseconds: the coordinator's own watch and a report.
const READING_AGE: u64 = 400;

/// Time from the loss until reports to the coordinator have failed, milliseconds.
const REPORTS_FAIL: u64 = 900;

/// Time from the loss until the lease ends, milliseconds.
const LEASE_ENDS: u64 = 1900;

/// Delays of claims: of all candidates but the first, and for each candidate before the host, milliseconds.
const CLAIM_DELAYS: (u64, u64) = (450, 40);

/// Time within which all hosts know a new coordinator, milliseconds.
const KNOWN_WITHIN: u64 = 300;

/// Role by which a host watches: given its rank, the time since the loss, and whether it knows that the lease has ended.
type RoleAt = fn(usize, u64, bool) -> WatchRole;

fn host_name(index: usize) -> HostId {
    format!("h{index:03}").into()
}

/// Candidates after the loss of `h000`, whose first stand-in `h001` did not answer either.
fn candidates(now: u64) -> Vec<HostId> {
    let at = |time_ms| MonotonicTime::from_origin(Duration::from_millis(time_ms));
    let mut silent = SilentHosts::default();
    silent.record_silence(&host_name(0), at(now));
    silent.record_silence(&host_name(1), at(now));
    silent.without_silent((0..HOSTS).map(host_name).collect(), at(now))
}

fn role_by_state(rank: usize, now: u64, knows_end: bool) -> WatchRole {
    let own = &candidates(now)[rank];
    let holder = (!knows_end).then_some("h000");
    let silence = now.checked_sub(REPORTS_FAIL).map(Duration::from_millis);
    WatchRole::new(own, holder, silence, &candidates(now))
}

/// The former behaviour: readings are relied upon until they are too old, then all hosts watch with long pauses.
fn role_by_age(_: usize, now: u64, _: bool) -> WatchRole {
    if now + READING_AGE < 2100 {
        WatchRole::Relayed
    } else {
        WatchRole::Unreached
    }
}

/// Time of the first reading at `event` or later by a host that may read at `from`. The store changes all the time, so each
/// watch is answered at once.
fn read_time(event: u64, from: u64, role_at: impl Fn(u64) -> WatchRole) -> u64 {
    let mut now = from;
    loop {
        let role = role_at(now);
        let age = Duration::from_millis(now + READING_AGE);
        if PACE.relay_time(role, age).is_some() {
            now += 20;
        } else if now >= event {
            return now;
        } else {
            now += PACE.pause_after_changes(role).as_millis() as u64;
        }
    }
}

struct LossCase {
    name: &'static str,
    role_at: RoleAt,
    /// True if the first candidate claims the lease, and all hosts know it soon.
    is_prompt: bool,
}

/// Load pattern: the coordinator of a large fleet and its stand-in are lost while the store changes all the time. Guards
/// against a lease that nobody claims because all hosts pause, and against hosts that learn late of the next coordinator.
#[test]
fn a_lost_coordinator_is_replaced_promptly() {
    let cases = [
        LossCase {
            name: "by the state of the coordinator",
            role_at: role_by_state,
            is_prompt: true,
        },
        LossCase {
            name: "by the age of readings",
            role_at: role_by_age,
            is_prompt: false,
        },
    ];
    for LossCase {
        name,
        role_at,
        is_prompt,
    } in cases
    {
        let ranks = 0..HOSTS - 2;
        let ends: Vec<u64> = ranks
            .clone()
            .map(|rank| {
                let phase = rank as u64 * 7 % 150;
                read_time(LEASE_ENDS, phase, |now| role_at(rank, now, false))
            })
            .collect();
        let claims = ranks.clone().map(|rank| {
            let (lead, step) = CLAIM_DELAYS;
            let delay = if rank == 0 {
                0
            } else {
                lead + step * rank as u64
            };
            (ends[rank] + delay, rank)
        });
        let (claimed, first) = claims.min().unwrap_or_default();
        let known = ranks.map(|rank| {
            let pause = PACE.pause_after_changes(role_at(rank, ends[rank], true));
            let from = ends[rank] + pause.as_millis() as u64;
            if rank == first || ends[rank] >= claimed {
                return ends[rank].max(claimed);
            }
            read_time(claimed, from, |now| role_at(rank, now, true))
        });
        let known = known.max().unwrap_or_default();
        let is_claimed_soon = first == 0 && claimed < LEASE_ENDS + KNOWN_WITHIN;
        let is_known_soon = known < claimed + KNOWN_WITHIN;
        let found = format!("{name}: claimed by {first} at {claimed}, known at {known}");
        assert_that!(is_claimed_soon && is_known_soon, eq(is_prompt), "{found}");
    }
}

struct RoleCase {
    name: &'static str,
    own: &'static str,
    holder: Option<&'static str>,
    silence_ms: Option<u64>,
    expected: WatchRole,
}

/// Guards against many calls of a host that can't reach a coordinator that lives, and of one far back in the order.
#[test]
fn the_role_follows_from_the_coordinator_and_the_rank() {
    let cases = [
        RoleCase {
            name: "the coordinator itself, even if it doesn't answer itself",
            own: "h002",
            holder: Some("h002"),
            silence_ms: Some(100),
            expected: WatchRole::Coordinator,
        },
        RoleCase {
            name: "the coordinator answers",
            own: "h002",
            holder: Some("h000"),
            silence_ms: None,
            expected: WatchRole::Relayed,
        },
        RoleCase {
            name: "first candidate",
            own: "h002",
            holder: Some("h000"),
            silence_ms: Some(100),
            expected: WatchRole::Candidate,
        },
        RoleCase {
            name: "far back, the lease has not ended",
            own: "h050",
            holder: Some("h000"),
            silence_ms: Some(100),
            expected: WatchRole::AwaitsLeaseEnd,
        },
        RoleCase {
            name: "far back, the lease has ended",
            own: "h050",
            holder: None,
            silence_ms: None,
            expected: WatchRole::AwaitsClaim,
        },
        RoleCase {
            name: "only this host doesn't reach the coordinator",
            own: "h002",
            holder: Some("h000"),
            silence_ms: Some(4000),
            expected: WatchRole::Unreached,
        },
    ];
    for case in cases {
        let silence = case.silence_ms.map(Duration::from_millis);
        let role = WatchRole::new(case.own, case.holder, silence, &candidates(0));
        assert_that!(role, eq(case.expected), "{}", case.name);
    }
}
