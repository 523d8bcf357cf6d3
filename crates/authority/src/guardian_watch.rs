//! The guardian's side: acknowledges heartbeats and declares silent hosts dead.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::HostState;
use zinniahinge_types::Incarnation;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;

use crate::AuthoritySettings;
use crate::GuardianAction;
use crate::HeartbeatRefusal;
use crate::HeartbeatVerdict;
use crate::LocalHostStatus;
use crate::MemberEntry;
use crate::MemberTable;
use crate::preferred_host;

/// Limits the writes from one tick. When a whole place fails, the remaining writes follow in later
/// ticks, which keeps the load on the key-value service low.
const MAX_WRITES_PER_TICK: usize = 16;

/// Heartbeat as the guardian received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// Host that sent the heartbeat.
    pub host: HostId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Revision of the sender's record that names the receiver as guardian.
    pub record_revision: Revision,
}

/// Answers heartbeats, declares silent hosts dead, and takes over hosts whose guardian is dead.
#[derive(Clone, Debug)]
pub struct GuardianWatch {
    settings: AuthoritySettings,
    watched: BTreeMap<HostId, WatchedHost>,
}

#[derive(Clone, Debug, Default)]
struct WatchedHost {
    /// Record revision for which the wait is counted, and when it was first seen.
    observed: Option<ObservedRecord>,
    /// The host must not be declared dead before this time.
    promised_until: MonotonicTime,
    attempt: Option<TombstoneAttempt>,
    next_write: MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
struct ObservedRecord {
    revision: Revision,
    since: MonotonicTime,
}

/// Attempt to write a tombstone, which may take effect until the record is seen beyond `expected`.
#[derive(Clone, Copy, Debug)]
struct TombstoneAttempt {
    expected: Revision,
    /// Number of writes that may have been sent.
    sent: u32,
}

impl GuardianWatch {
    /// Creates a guardian that has acknowledged no heartbeat and watches no host.
    pub fn new(settings: AuthoritySettings) -> Self {
        Self {
            settings,
            watched: BTreeMap::new(),
        }
    }

    /// Returns the number of hosts with a promise, a wait or an attempt to declare them dead.
    pub fn watched_count(&self) -> usize {
        self.watched.len()
    }

    /// Returns whether a tombstone for `host` was requested and may still take effect.
    pub fn is_declaring_dead(&self, host: &str) -> bool {
        self.watched
            .get(host)
            .is_some_and(|watched| watched.attempt.is_some())
    }

    /// Decides whether to acknowledge a heartbeat received at `now`. An acknowledgement promises
    /// not to declare the sender dead before `now` + T + drift.
    pub fn heartbeat_received(
        &mut self,
        heartbeat: &ReceivedHeartbeat,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> HeartbeatVerdict {
        if let Err(refusal) = self.check_heartbeat(heartbeat, own, members) {
            return HeartbeatVerdict::Refuse(refusal);
        }
        let promise = now + self.settings.guardian_term();
        let watched = self.watched.entry(heartbeat.host.clone()).or_default();
        watched.promised_until = watched.promised_until.max(promise);
        HeartbeatVerdict::Acknowledge
    }

    fn check_heartbeat(
        &self,
        heartbeat: &ReceivedHeartbeat,
        own: &LocalHostStatus,
        members: &MemberTable,
    ) -> Result<(), HeartbeatRefusal> {
        if !own.has_authority {
            return Err(HeartbeatRefusal::NoAuthority);
        }
        // After a restart, other guardians may already have taken over the hosts that the earlier
        // incarnation watched. Only a record written since the join is certain to name this one.
        if own
            .joined_at
            .is_none_or(|joined| heartbeat.record_revision <= joined)
        {
            return Err(HeartbeatRefusal::RecordTooOld);
        }
        if self.is_declaring_dead(&heartbeat.host) {
            return Err(HeartbeatRefusal::TombstonePending);
        }
        match members.get(&heartbeat.host) {
            Some(entry) => check_record(heartbeat, own, entry)?,
            // The record was deleted after the revision that the sender knows.
            None if members.is_loaded() && members.revision() >= heartbeat.record_revision => {
                return Err(HeartbeatRefusal::Superseded);
            }
            None => {}
        }
        let is_new = !self.watched.contains_key(&heartbeat.host);
        if is_new && self.watched.len() >= MemberTable::MAX_HOSTS {
            return Err(HeartbeatRefusal::Full);
        }
        Ok(())
    }

    /// Reports that a [`GuardianAction::DeclareDead`] was certainly not sent, for example because
    /// the connect failed. An attempt of which nothing was sent ends, because an open attempt
    /// refuses the heartbeats of a host that came back during an outage of the key-value service.
    pub fn tombstone_not_sent(&mut self, host: &str, expected: Revision) {
        let Some(watched) = self.watched.get_mut(host) else {
            return;
        };
        if let Some(attempt) = watched
            .attempt
            .as_mut()
            .filter(|open| open.expected == expected)
        {
            attempt.sent = attempt.sent.saturating_sub(1);
            if attempt.sent == 0 {
                watched.attempt = None;
            }
        }
    }

    /// Returns the writes that are due at `now`. Call it every 50 to 100 ms and after each change
    /// of `members`.
    pub fn tick(
        &mut self,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> SmallVec<[GuardianAction; 4]> {
        self.resolve_attempts(members);
        self.restart_changed_waits(own, members, now);
        self.forget_hosts(own, members, now);
        let mut actions = SmallVec::new();
        if !own.has_authority || !members.is_loaded() {
            return actions;
        }
        for (host, entry) in members.iter() {
            if actions.len() == MAX_WRITES_PER_TICK {
                break;
            }
            if *host == own.host || entry.record.state == HostState::Dead {
                continue;
            }
            let action = if entry.record.guardian.as_ref() == Some(&own.host) {
                self.tombstone_due(host, entry, now)
            } else {
                self.takeover_due(host, entry, own, members, now)
            };
            actions.extend(action);
        }
        actions
    }

    // ---------------------------------------------------------------------------------------------
    // Records

    /// Ends each attempt whose record is seen beyond the revision that the attempt expects. A
    /// conflict alone doesn't say whether an earlier send of the same attempt wrote the tombstone.
    fn resolve_attempts(&mut self, members: &MemberTable) {
        for (host, watched) in &mut self.watched {
            let seen_revision = members.get(host).map(|entry| entry.revision);
            if watched
                .attempt
                .is_some_and(|attempt| seen_revision.is_none_or(|at| at > attempt.expected))
            {
                watched.attempt = None;
            }
        }
    }

    /// Restarts the wait of each watched host whose record changed.
    fn restart_changed_waits(
        &mut self,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) {
        for (host, entry) in members.iter() {
            if entry.record.guardian.as_ref() != Some(&own.host) || *host == own.host {
                continue;
            }
            let watched = self.watched.entry(host.clone()).or_default();
            if watched
                .observed
                .is_none_or(|observed| observed.revision != entry.revision)
            {
                watched.observed = Some(ObservedRecord {
                    revision: entry.revision,
                    since: now,
                });
            }
        }
    }

    fn forget_hosts(&mut self, own: &LocalHostStatus, members: &MemberTable, now: MonotonicTime) {
        self.watched.retain(|host, watched| {
            let is_guardian = members.get(host).is_some_and(|entry| {
                entry.record.guardian.as_ref() == Some(&own.host)
                    && entry.record.state != HostState::Dead
            });
            is_guardian
                || watched.attempt.is_some()
                || now < watched.promised_until
                || now < watched.next_write
        });
    }

    // ---------------------------------------------------------------------------------------------
    // Decisions

    fn tombstone_due(
        &mut self,
        host: &HostId,
        entry: &MemberEntry,
        now: MonotonicTime,
    ) -> Option<GuardianAction> {
        let wait = self.settings.guardian_term();
        let retry = self.settings.retry_interval();
        let watched = self.watched.get_mut(host)?;
        let observed = watched.observed?;
        if now < watched.next_write
            || now < watched.promised_until
            || now < observed.since + wait
            || observed.revision != entry.revision
        {
            return None;
        }
        let sent = watched
            .attempt
            .map_or(0, |attempt| attempt.sent)
            .saturating_add(1);
        watched.attempt = Some(TombstoneAttempt {
            expected: observed.revision,
            sent,
        });
        watched.next_write = now + retry;
        Some(GuardianAction::DeclareDead {
            host: host.clone(),
            expected: observed.revision,
            record: HostRecord {
                state: HostState::Dead,
                ..entry.record.clone()
            },
        })
    }

    fn takeover_due(
        &mut self,
        host: &HostId,
        entry: &MemberEntry,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> Option<GuardianAction> {
        let guardian = entry.record.guardian.as_ref();
        if !guardian.is_none_or(|guardian| members.is_dead(guardian))
            || successor(host, entry, members)? != own.host
        {
            return None;
        }
        let watched = self.watched.entry(host.clone()).or_default();
        if now < watched.next_write {
            return None;
        }
        watched.next_write = now + self.settings.retry_interval();
        Some(GuardianAction::TakeOver {
            host: host.clone(),
            expected: entry.revision,
            record: HostRecord {
                guardian: Some(own.host.clone()),
                ..entry.record.clone()
            },
        })
    }
}

fn check_record(
    heartbeat: &ReceivedHeartbeat,
    own: &LocalHostStatus,
    entry: &MemberEntry,
) -> Result<(), HeartbeatRefusal> {
    let MemberEntry { revision, record } = entry;
    let dead = record.incarnation == heartbeat.incarnation && record.state == HostState::Dead;
    if record.incarnation > heartbeat.incarnation || dead {
        return Err(HeartbeatRefusal::Superseded);
    }
    if *revision >= heartbeat.record_revision && record.guardian.as_ref() != Some(&own.host) {
        return Err(HeartbeatRefusal::NotGuardian);
    }
    Ok(())
}

/// Returns the host that takes over `host` from its dead guardian.
///
/// It is the first live one along the chain of guardians, or is chosen by rendezvous hashing if the
/// chain ends or is a cycle of dead hosts. Any choice is safe; a single one avoids conflicting
/// writes.
fn successor(host: &HostId, entry: &MemberEntry, members: &MemberTable) -> Option<HostId> {
    let dead = entry
        .record
        .guardian
        .as_ref()
        .and_then(|guardian| members.get(guardian));
    let mut next = dead.and_then(|guardian| guardian.record.guardian.clone());
    for _ in 0..members.iter().count() {
        let Some(guardian) = next else { break };
        match members.get(&guardian) {
            Some(found) if found.record.state != HostState::Dead && guardian != *host => {
                return Some(guardian);
            }
            Some(found) => next = found.record.guardian.clone(),
            None => break,
        }
    }
    let live = members
        .live()
        .map(|(member, _)| member)
        .filter(|member| *member != host);
    preferred_host(host, live).cloned()
}
