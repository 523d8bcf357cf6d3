//! Keeps the authority of one host by heartbeats to its guardian and renewals of its own record.

use smallvec::SmallVec;
use zinniahinge_types::HostAddress;
use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::HostState;
use zinniahinge_types::Incarnation;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;

use crate::AuthoritySettings;
use crate::AuthorityTimer;
use crate::HostAction;
use crate::HostPhase;
use crate::LocalHostStatus;
use crate::MemberTable;
use crate::WriteOutcome;
use crate::choose_guardian;
use crate::own_record::OwnRecord;
use crate::own_record::PendingWrite;

/// Limits the heartbeats that wait for a reply. A reply to an older one could not extend the
/// authority any more.
const MAX_HEARTBEATS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: MonotonicTime,
}

/// Decides when one incarnation of a host has authority, which heartbeat and renewal it sends, and
/// when it changes its guardian.
#[derive(Clone, Debug)]
pub struct HostAuthority {
    host: HostId,
    incarnation: Incarnation,
    address: HostAddress,
    settings: AuthoritySettings,
    timer: AuthorityTimer,
    phase: HostPhase,
    target_state: HostState,
    record: OwnRecord,
    /// Set when the record may have changed. It is read before the next write; heartbeats continue.
    needs_read: bool,
    joined_at: Option<Revision>,
    largest_incarnation: Incarnation,
    renewal: u64,
    pending_write: Option<PendingWrite>,
    /// Revision that the write naming another guardian expects, until the record is seen beyond it.
    /// Meanwhile no heartbeat is sent, because the new guardian may already count its wait.
    guardian_change_at: Option<Revision>,
    unanswered_heartbeats: SmallVec<[SentHeartbeat; MAX_HEARTBEATS]>,
    sequence: u64,
    next_heartbeat: MonotonicTime,
    next_write: MonotonicTime,
    next_read: MonotonicTime,
    /// Time since which the guardian has not answered.
    guardian_silent_since: MonotonicTime,
    /// Send time of the newest renewal that is known to have taken effect at the key-value service.
    last_renewal_sent_at: Option<MonotonicTime>,
    renew_now: bool,
}

impl HostAuthority {
    /// Limits the number of actions that one tick returns.
    pub const MAX_ACTIONS: usize = 4;

    /// Creates a host that has not joined. `incarnation` must be above every earlier one of `host`.
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        address: HostAddress,
        settings: AuthoritySettings,
    ) -> Self {
        Self {
            host,
            incarnation,
            address,
            settings,
            timer: AuthorityTimer::new(settings),
            phase: HostPhase::Joining,
            target_state: HostState::Live,
            record: OwnRecord::Unread,
            needs_read: true,
            joined_at: None,
            largest_incarnation: incarnation,
            renewal: 0,
            pending_write: None,
            guardian_change_at: None,
            unanswered_heartbeats: SmallVec::new(),
            sequence: 0,
            next_heartbeat: MonotonicTime::ZERO,
            next_write: MonotonicTime::ZERO,
            next_read: MonotonicTime::ZERO,
            guardian_silent_since: MonotonicTime::ZERO,
            last_renewal_sent_at: None,
            renew_now: false,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns whether the host may act at `now`. Call it at the moment of use, after any wait.
    pub fn has_authority(&self, now: MonotonicTime) -> bool {
        self.timer.holds(now)
    }

    /// Returns the time at which the authority ends unless a heartbeat or renewal is acknowledged
    /// before; `None` if the host was fenced or stopped.
    pub fn authority_until(&self) -> Option<MonotonicTime> {
        self.timer.until()
    }

    /// Returns a copy of the timer for a request path. It doesn't follow later acknowledgements.
    pub fn timer(&self) -> AuthorityTimer {
        self.timer
    }

    /// Returns the phase of this incarnation's life.
    pub fn phase(&self) -> HostPhase {
        self.phase
    }

    /// Returns the guardian that the newest known record names.
    pub fn guardian(&self) -> Option<&HostId> {
        self.known()
            .and_then(|(_, record)| record.guardian.as_ref())
    }

    /// Returns the status that the other state machines need at `now`.
    pub fn local_status(&self, now: MonotonicTime) -> LocalHostStatus {
        LocalHostStatus {
            host: self.host.clone(),
            incarnation: self.incarnation,
            has_authority: self.has_authority(now),
            joined_at: self.joined_at,
            leaving: self.target_state != HostState::Live,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Begins a planned stop. The record becomes `leaving`; authority continues for the handovers.
    pub fn leave(&mut self) {
        if self.target_state == HostState::Live {
            self.target_state = HostState::Leaving;
            self.renew_now = true;
        }
    }

    /// Ends a planned stop. The host loses its authority at once and writes its own tombstone.
    pub fn stop(&mut self) {
        self.timer.revoke();
        self.target_state = HostState::Dead;
        self.renew_now = true;
        if self.phase == HostPhase::Joining && self.pending_write.is_none() {
            self.phase = HostPhase::Stopped;
        }
    }

    /// Takes in the guardian's reply to heartbeat `sequence`. A reply to an unknown one is ignored.
    pub fn heartbeat_answered(&mut self, sequence: u64, acknowledged: bool, now: MonotonicTime) {
        let Some(index) = self
            .unanswered_heartbeats
            .iter()
            .position(|sent| sent.sequence == sequence)
        else {
            return;
        };
        let sent = self.unanswered_heartbeats.remove(index);
        if self.phase != HostPhase::Member {
            return;
        }
        if acknowledged {
            self.timer.acknowledged(sent.sent_at);
            self.guardian_silent_since = self.guardian_silent_since.max(sent.sent_at);
            return;
        }
        // The guardian rejects this revision of the record, or has no authority to acknowledge.
        self.schedule_read(now);
    }

    /// Takes in the result of the write with number `renewal`.
    pub fn write_finished(&mut self, renewal: u64, outcome: WriteOutcome, now: MonotonicTime) {
        let Some(pending_write) = self
            .pending_write
            .as_mut()
            .filter(|write| write.renewal == renewal)
        else {
            return;
        };
        match outcome {
            WriteOutcome::Written { revision } => {
                let record = pending_write.record.clone();
                self.accept_record(revision, record, now);
            }
            WriteOutcome::Conflict => {
                self.pending_write = None;
                self.schedule_read(now);
            }
            WriteOutcome::Unknown => {
                pending_write.in_flight = false;
                self.schedule_read(now);
            }
        }
    }

    /// Takes in the own record, read or reported by a watch; `None` if it is missing at `revision`.
    pub fn record_observed(
        &mut self,
        revision: Revision,
        record: Option<HostRecord>,
        now: MonotonicTime,
    ) {
        self.needs_read = false;
        match record {
            Some(record) if record.incarnation == self.incarnation => {
                self.accept_record(revision, record, now);
            }
            Some(record) if record.incarnation > self.incarnation => {
                self.largest_incarnation = self.largest_incarnation.max(record.incarnation);
                self.fence();
            }
            Some(record) => self.accept_earlier_incarnation(revision, record),
            None if self.joined_at.is_some_and(|joined| joined < revision) => self.fence(),
            None if self.joined_at.is_none() => self.record = OwnRecord::Absent,
            None => {}
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Clock

    /// Returns the actions that are due at `now`. Call it every 50 to 100 ms and after each input.
    pub fn tick(
        &mut self,
        now: MonotonicTime,
        members: &MemberTable,
    ) -> SmallVec<[HostAction; Self::MAX_ACTIONS]> {
        let mut actions = SmallVec::new();
        match self.phase {
            HostPhase::Fenced => actions.push(HostAction::Rejoin {
                above: self.largest_incarnation,
            }),
            HostPhase::Stopped => actions.push(HostAction::Stopped),
            HostPhase::Joining | HostPhase::Member => {
                self.expire_pending_write(now);
                actions.extend(self.read_due(now));
                actions.extend(self.write_due(now, members));
                actions.extend(self.heartbeat_due(now));
            }
        }
        actions
    }

    fn expire_pending_write(&mut self, now: MonotonicTime) {
        let limit = self.settings.term();
        if let Some(write) = self.pending_write.as_mut().filter(|write| write.in_flight)
            && now.since(write.sent_at) >= limit
        {
            write.in_flight = false;
            self.schedule_read(now);
        }
    }

    fn read_due(&mut self, now: MonotonicTime) -> Option<HostAction> {
        let is_blocked = self.needs_read || self.must_wait_for_tombstone();
        if !is_blocked || self.is_writing() || now < self.next_read {
            return None;
        }
        self.next_read = now + self.settings.retry_interval();
        Some(HostAction::ReadRecord)
    }

    fn write_due(&mut self, now: MonotonicTime, members: &MemberTable) -> Option<HostAction> {
        if self.is_writing() || self.needs_read || now < self.next_write {
            return None;
        }
        let is_joining = self.phase == HostPhase::Joining;
        if is_joining && (self.must_wait_for_tombstone() || !members.is_loaded()) {
            return None;
        }
        let expected = self.record.expected()?;
        if !self.is_renewal_due(now, members) {
            return None;
        }
        let guardian = self.select_guardian(now, members);
        if self.phase == HostPhase::Member && guardian.as_ref() != self.guardian() {
            self.guardian_change_at = Some(expected);
        }
        self.renewal += 1;
        let record = HostRecord {
            incarnation: self.incarnation,
            address: self.address.clone(),
            guardian,
            state: self.target_state,
            renewal: self.renewal,
        };
        self.pending_write = Some(PendingWrite {
            renewal: self.renewal,
            sent_at: now,
            record: record.clone(),
            in_flight: true,
        });
        self.renew_now = false;
        self.next_write = now + self.settings.retry_interval();
        Some(HostAction::WriteRecord {
            renewal: self.renewal,
            expected,
            record,
        })
    }

    fn heartbeat_due(&mut self, now: MonotonicTime) -> Option<HostAction> {
        let (record_revision, record) = self.known()?;
        if self.phase != HostPhase::Member
            || self.target_state == HostState::Dead
            || self.guardian_change_at.is_some()
            || now < self.next_heartbeat
        {
            return None;
        }
        let to = record.guardian.clone()?;
        if self.unanswered_heartbeats.len() == MAX_HEARTBEATS {
            self.unanswered_heartbeats.remove(0);
        }
        self.sequence += 1;
        self.unanswered_heartbeats.push(SentHeartbeat {
            sequence: self.sequence,
            sent_at: now,
        });
        self.next_heartbeat = now + self.settings.heartbeat_interval();
        Some(HostAction::SendHeartbeat {
            to,
            sequence: self.sequence,
            record_revision,
        })
    }

    // ---------------------------------------------------------------------------------------------
    // Decisions

    fn is_renewal_due(&self, now: MonotonicTime, members: &MemberTable) -> bool {
        let is_old = self
            .timer
            .last_acknowledged_send()
            .is_none_or(|newest| now.since(newest) >= self.settings.renew_after());
        self.phase == HostPhase::Joining
            || self.renew_now
            || is_old
            || self.can_replace_leaving_guardian(members)
    }

    /// Returns whether the guardian is in a planned stop and another host can replace it.
    fn can_replace_leaving_guardian(&self, members: &MemberTable) -> bool {
        let guardian = self.guardian().filter(|_| self.phase == HostPhase::Member);
        guardian.is_some_and(|guardian| {
            is_leaving(guardian, members)
                && choose_guardian(&self.host, &self.address, Some(guardian), members).is_some()
        })
    }

    /// Returns the guardian that the next write names.
    ///
    /// A live guardian is kept until it was silent for T and the key-value service answered
    /// recently. An earlier change would stop the heartbeats, and during an outage of the service
    /// only they extend the authority.
    fn select_guardian(&self, now: MonotonicTime, members: &MemberTable) -> Option<HostId> {
        let choose = |excluded| choose_guardian(&self.host, &self.address, excluded, members);
        let Some(guardian) = self.guardian().filter(|_| self.phase == HostPhase::Member) else {
            return choose(None);
        };
        let service_answers = self
            .last_renewal_sent_at
            .is_some_and(|sent| now.since(sent) <= self.settings.term());
        let is_silent = now.since(self.guardian_silent_since) >= self.settings.host_term();
        if self.target_state == HostState::Dead {
            return Some(guardian.clone());
        }
        let is_unfit = members.is_dead(guardian) || is_leaving(guardian, members);
        if is_unfit || (service_answers && is_silent) {
            return choose(Some(guardian)).or_else(|| Some(guardian.clone()));
        }
        Some(guardian.clone())
    }

    /// Returns whether an earlier incarnation may still have authority.
    ///
    /// It is certain to have stopped if its record is dead, or if it had the same control address,
    /// because this process has bound that address.
    fn must_wait_for_tombstone(&self) -> bool {
        self.phase == HostPhase::Joining
            && self.known().is_some_and(|(_, record)| {
                record.incarnation < self.incarnation
                    && record.state != HostState::Dead
                    && record.address.control != self.address.control
            })
    }

    // ---------------------------------------------------------------------------------------------
    // Record

    fn accept_record(&mut self, revision: Revision, record: HostRecord, now: MonotonicTime) {
        if matches!(self.phase, HostPhase::Fenced | HostPhase::Stopped) {
            return;
        }
        if record.state == HostState::Dead {
            if self.target_state == HostState::Dead {
                self.finish_stop()
            } else {
                self.fence()
            }
            return;
        }
        self.joined_at.get_or_insert(revision);
        self.phase = HostPhase::Member;
        self.resolve_pending_write(revision, &record);
        if self.known().is_some_and(|(known, _)| known >= revision) {
            return;
        }
        if self.guardian() != record.guardian.as_ref() {
            self.guardian_silent_since = now;
            self.next_heartbeat = now;
        }
        if self
            .guardian_change_at
            .is_some_and(|expected| expected < revision)
        {
            self.guardian_change_at = None;
        }
        self.record = OwnRecord::Known { revision, record };
    }

    /// Extends the authority for a write that is visible in the record, and forgets a write that
    /// can no longer take effect.
    fn resolve_pending_write(&mut self, revision: Revision, record: &HostRecord) {
        let Some(write) = &self.pending_write else {
            return;
        };
        if write.renewal == record.renewal {
            self.timer.acknowledged(write.sent_at);
            self.last_renewal_sent_at = self.last_renewal_sent_at.max(Some(write.sent_at));
            self.pending_write = None;
            return;
        }
        let is_newer = self.known().is_none_or(|(known, _)| known < revision);
        if is_newer && !write.in_flight {
            self.pending_write = None;
        }
    }

    fn accept_earlier_incarnation(&mut self, revision: Revision, record: HostRecord) {
        let is_newer = self.known().is_none_or(|(known, _)| known <= revision);
        if self.phase == HostPhase::Joining && is_newer {
            self.record = OwnRecord::Known { revision, record };
        }
    }

    fn known(&self) -> Option<(Revision, &HostRecord)> {
        self.record.known()
    }

    fn is_writing(&self) -> bool {
        self.pending_write
            .as_ref()
            .is_some_and(|write| write.in_flight)
    }

    fn schedule_read(&mut self, now: MonotonicTime) {
        self.needs_read = true;
        self.next_read = now;
        self.renew_now = true;
    }

    fn fence(&mut self) {
        self.timer.revoke();
        if self.phase != HostPhase::Stopped {
            self.phase = HostPhase::Fenced;
        }
        if self.target_state == HostState::Dead {
            self.phase = HostPhase::Stopped;
        }
    }

    fn finish_stop(&mut self) {
        self.timer.revoke();
        self.phase = HostPhase::Stopped;
    }
}

fn is_leaving(host: &HostId, members: &MemberTable) -> bool {
    members
        .get(host)
        .is_some_and(|entry| entry.record.state == HostState::Leaving)
}
