use std::time::Duration;

use zinniahinge_types::HostId;

/// Age up to which a host relies on relayed readings, in percent of the deadline. With an older reading the host watches
/// the store itself; the rest of the deadline is for that call.
const RELAY_MAX_AGE_PERCENT: u32 = 70;

/// Pause after a watch answer with changes, so that changes made close together cost one call, in percent of the deadline.
const BATCH_PAUSE_PERCENT: u32 = 45;

/// The same pause on the coordinator; shorter, because the coordinator relays the changes to all other hosts.
const COORDINATOR_BATCH_PAUSE: Duration = Duration::from_millis(150);

/// The same pause while the lease is free or about to end. Placements wait for the next coordinator; all hosts of a large
/// fleet together still make few calls.
const ELECTION_BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Number of candidates that read changes as soon as a coordinator does while it doesn't answer, to claim its lease once
/// that has ended. More than one, because the first of them may be lost, too.
const PROMPT_CANDIDATES: usize = 3;

/// Time without an answer after which a coordinator that still has its lease is taken for one that only this host can't
/// reach. Longer than the lease.
const LEASE_END_WAIT: Duration = Duration::from_secs(3);

/// What a host watches the platform's store for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// It coordinates and relays what it reads.
    Coordinator,
    /// The coordinator answers and relays what it reads.
    Relayed,
    /// No coordinator answers, and this host is among the first to claim the lease.
    Candidate,
    /// The lease is free, and other hosts are before this one.
    AwaitsClaim,
    /// The coordinator doesn't answer but has its lease, and other hosts are before this one.
    AwaitsLeaseEnd,
    /// The coordinator keeps its lease, but this host doesn't reach it.
    Unreached,
}

/// How often a host watches the platform's store.
///
/// Load pattern: the coordinator of a large fleet is lost or stops, while the store changes all the time. With long pauses
/// between watches, its lease ends unnoticed, a host far back in the candidate order claims it first, and the other hosts
/// learn of that late; meanwhile nobody places models, and accounts get little of their rates.
#[derive(Clone, Copy, Debug)]
pub struct WatchPace {
    /// Time within which a change must be known: the shorter of the deadline for a configuration to be in force and that for
    /// draining backend servers to get no more requests.
    pub deadline: Duration,
}

impl WatchRole {
    /// Role of the host `own`. `silence` is the time for which the `holder` of the lease has not answered; `None` if it
    /// answers. `candidates` are the hosts in the order in which they claim the lease.
    pub fn new(
        own: &str,
        holder: Option<&str>,
        silence: Option<Duration>,
        candidates: &[HostId],
    ) -> Self {
        let later_role = match (holder, silence) {
            (Some(holder), _) if holder == own => return Self::Coordinator,
            (Some(_), None) => return Self::Relayed,
            (Some(_), Some(silence)) if silence >= LEASE_END_WAIT => return Self::Unreached,
            (Some(_), Some(_)) => Self::AwaitsLeaseEnd,
            (None, _) => Self::AwaitsClaim,
        };
        let mut first = candidates
            .iter()
            .filter(|host| Some(&***host) != holder)
            .take(PROMPT_CANDIDATES);
        if first.any(|host| **host == *own) {
            Self::Candidate
        } else {
            later_role
        }
    }
}

impl WatchPace {
    /// Time for which relayed readings of the age `age` suffice; `None` if the host should watch now.
    pub fn relay_time(&self, role: WatchRole, age: Duration) -> Option<Duration> {
        if !matches!(role, WatchRole::Relayed | WatchRole::AwaitsLeaseEnd) {
            return None;
        }
        let limit = self.deadline * RELAY_MAX_AGE_PERCENT / 100;
        let rest = limit.saturating_sub(age);
        (!rest.is_zero()).then_some(rest)
    }

    /// Pause after a watch answer with changes.
    pub fn pause_after_changes(&self, role: WatchRole) -> Duration {
        let pause = match role {
            WatchRole::Coordinator | WatchRole::Candidate => COORDINATOR_BATCH_PAUSE,
            WatchRole::AwaitsClaim | WatchRole::AwaitsLeaseEnd => ELECTION_BATCH_PAUSE,
            WatchRole::Relayed | WatchRole::Unreached => self.longest_pause(),
        };
        pause.min(self.longest_pause())
    }

    /// Longest pause between two calls, also after failed ones.
    pub fn longest_pause(&self) -> Duration {
        self.deadline * BATCH_PAUSE_PERCENT / 100
    }
}
