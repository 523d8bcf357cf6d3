//! Keeps the authority of one host.

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
use crate::own_record::PendingWrite;
use crate::own_record::RecordView;

/// Heartbeats that wait for a reply; an older one could not extend the authority any more.
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
    wanted: HostState,
    record: RecordView,
    /// Set when the record may have changed; it is read before the next write. Heartbeats continue.
    reread: bool,
    joined_at: Option<Revision>,
    largest_seen: Incarnation,
    renewal: u64,
    pending: Option<PendingWrite>,
    /// Set from the moment of asking for another guardian at this revision until the record is seen
    /// beyond it. Meanwhile no heartbeat is sent, because a new guardian may already be counting.
    change_asked_at: Option<Revision>,
    heartbeats: SmallVec<[SentHeartbeat; MAX_HEARTBEATS]>,
    sequence: u64,
    next_heartbeat: MonotonicTime,
    next_write: MonotonicTime,
    next_read: MonotonicTime,
    /// Time from which the guardian's silence counts.
    silent_since: MonotonicTime,
    /// Send time of the newest renewal that the key-value service acknowledged.
    renewed: Option<MonotonicTime>,
    renew_now: bool,
}

impl HostAuthority {
    /// Largest number of actions from one tick.
    pub const MAX_ACTIONS: usize = 4;

    /// A machine that has not joined. `incarnation` must be above every earlier one of `host`.
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
            wanted: HostState::Live,
            record: RecordView::Unread,
            reread: true,
            joined_at: None,
            largest_seen: incarnation,
            renewal: 0,
            pending: None,
            change_asked_at: None,
            heartbeats: SmallVec::new(),
            sequence: 0,
            next_heartbeat: MonotonicTime::ZERO,
            next_write: MonotonicTime::ZERO,
            next_read: MonotonicTime::ZERO,
            silent_since: MonotonicTime::ZERO,
            renewed: None,
            renew_now: false,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Whether the host may act at `now`. Call it at the moment of use, after any wait.
    pub fn has_authority(&self, now: MonotonicTime) -> bool {
        self.timer.holds(now)
    }

    /// First time without authority, unless something is acknowledged before; `None` if fenced.
    pub fn authority_until(&self) -> Option<MonotonicTime> {
        self.timer.until()
    }

    /// Copy of the timer for a request path.
    pub fn timer(&self) -> AuthorityTimer {
        self.timer
    }

    /// Life of the incarnation.
    pub fn phase(&self) -> HostPhase {
        self.phase
    }

    /// Guardian by the newest known record.
    pub fn guardian(&self) -> Option<&HostId> {
        self.known()
            .and_then(|(_, record)| record.guardian.as_ref())
    }

    /// Standing for the other machines at `now`.
    pub fn local_status(&self, now: MonotonicTime) -> LocalHostStatus {
        LocalHostStatus {
            host: self.host.clone(),
            incarnation: self.incarnation,
            has_authority: self.has_authority(now),
            joined_at: self.joined_at,
            leaving: self.wanted != HostState::Live,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Begins a planned stop: the record becomes `leaving`; authority continues for the handovers.
    pub fn leave(&mut self) {
        if self.wanted == HostState::Live {
            self.wanted = HostState::Leaving;
            self.renew_now = true;
        }
    }

    /// Ends a planned stop: the host stops acting at once and writes its own tombstone.
    pub fn stop(&mut self) {
        self.timer.revoke();
        self.wanted = HostState::Dead;
        self.renew_now = true;
        if self.phase == HostPhase::Joining && self.pending.is_none() {
            self.phase = HostPhase::Stopped;
        }
    }

    /// A reply to heartbeat `sequence` arrived.
    pub fn heartbeat_answered(&mut self, sequence: u64, acknowledged: bool, now: MonotonicTime) {
        let Some(index) = self
            .heartbeats
            .iter()
            .position(|sent| sent.sequence == sequence)
        else {
            return;
        };
        let sent = self.heartbeats.remove(index);
        if self.phase != HostPhase::Member {
            return;
        }
        if acknowledged {
            self.timer.acknowledged(sent.sent_at);
            self.silent_since = self.silent_since.max(sent.sent_at);
            return;
        }
        // The guardian does not accept this revision of the record or cannot promise anything.
        self.read_again(now);
    }

    /// The write with number `renewal` ended.
    pub fn write_finished(&mut self, renewal: u64, outcome: WriteOutcome, now: MonotonicTime) {
        let Some(pending) = self
            .pending
            .as_mut()
            .filter(|write| write.renewal == renewal)
        else {
            return;
        };
        match outcome {
            WriteOutcome::Written { revision } => {
                let record = pending.record.clone();
                self.accept_record(revision, record, now);
            }
            WriteOutcome::Conflict => {
                self.pending = None;
                self.read_again(now);
            }
            WriteOutcome::Unknown => {
                pending.in_flight = false;
                self.read_again(now);
            }
        }
    }

    /// The own record was read or a watch reported it; `None`: it does not exist at `revision`.
    pub fn record_observed(
        &mut self,
        revision: Revision,
        record: Option<HostRecord>,
        now: MonotonicTime,
    ) {
        self.reread = false;
        match record {
            Some(record) if record.incarnation == self.incarnation => {
                self.accept_record(revision, record, now);
            }
            Some(record) if record.incarnation > self.incarnation => {
                self.largest_seen = self.largest_seen.max(record.incarnation);
                self.fence();
            }
            Some(record) => self.accept_earlier(revision, record),
            None if self.joined_at.is_some_and(|joined| joined < revision) => self.fence(),
            None if self.joined_at.is_none() => self.record = RecordView::Absent,
            None => {}
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Clock

    /// What to do at `now`. Call it every 50 to 100 ms and after each input.
    pub fn tick(
        &mut self,
        now: MonotonicTime,
        members: &MemberTable,
    ) -> SmallVec<[HostAction; Self::MAX_ACTIONS]> {
        let mut actions = SmallVec::new();
        match self.phase {
            HostPhase::Fenced => actions.push(HostAction::Rejoin {
                above: self.largest_seen,
            }),
            HostPhase::Stopped => actions.push(HostAction::Stopped),
            HostPhase::Joining | HostPhase::Member => {
                self.expire_pending(now);
                actions.extend(self.read_due(now));
                actions.extend(self.write_due(now, members));
                actions.extend(self.heartbeat_due(now));
            }
        }
        actions
    }

    fn expire_pending(&mut self, now: MonotonicTime) {
        let limit = self.settings.term();
        if let Some(write) = self.pending.as_mut().filter(|write| write.in_flight)
            && now.since(write.sent_at) >= limit
        {
            write.in_flight = false;
            self.read_again(now);
        }
    }

    fn read_due(&mut self, now: MonotonicTime) -> Option<HostAction> {
        let blocked = self.reread || self.must_wait_for_tombstone();
        if !blocked || self.is_writing() || now < self.next_read {
            return None;
        }
        self.next_read = now + self.settings.retry_interval();
        Some(HostAction::ReadRecord)
    }

    fn write_due(&mut self, now: MonotonicTime, members: &MemberTable) -> Option<HostAction> {
        if self.is_writing() || self.reread || now < self.next_write {
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
        let guardian = self.wanted_guardian(now, members);
        if self.phase == HostPhase::Member && guardian.as_ref() != self.guardian() {
            self.change_asked_at = Some(expected);
        }
        self.renewal += 1;
        let record = HostRecord {
            incarnation: self.incarnation,
            address: self.address.clone(),
            guardian,
            state: self.wanted,
            renewal: self.renewal,
        };
        self.pending = Some(PendingWrite {
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
            || self.wanted == HostState::Dead
            || self.change_asked_at.is_some()
            || now < self.next_heartbeat
        {
            return None;
        }
        let to = record.guardian.clone()?;
        if self.heartbeats.len() == MAX_HEARTBEATS {
            self.heartbeats.remove(0);
        }
        self.sequence += 1;
        self.heartbeats.push(SentHeartbeat {
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
        let old = self
            .timer
            .last_acknowledged_send()
            .is_none_or(|newest| now.since(newest) >= self.settings.renew_after());
        self.phase == HostPhase::Joining
            || self.renew_now
            || old
            || self.can_leave_guardian(members)
    }

    /// Whether the guardian stops by plan and another host can follow it.
    fn can_leave_guardian(&self, members: &MemberTable) -> bool {
        let guardian = self.guardian().filter(|_| self.phase == HostPhase::Member);
        guardian.is_some_and(|guardian| {
            is_leaving(guardian, members)
                && choose_guardian(&self.host, &self.address, Some(guardian), members).is_some()
        })
    }

    /// Keeps the guardian until it was silent for T and the key-value service answered recently. An
    /// earlier change would stop the heartbeats that an outage of the service depends on.
    fn wanted_guardian(&self, now: MonotonicTime, members: &MemberTable) -> Option<HostId> {
        let choose = |excluded| choose_guardian(&self.host, &self.address, excluded, members);
        let Some(guardian) = self.guardian().filter(|_| self.phase == HostPhase::Member) else {
            return choose(None);
        };
        let service_answers = self
            .renewed
            .is_some_and(|sent| now.since(sent) <= self.settings.term());
        let silent = now.since(self.silent_since) >= self.settings.host_term();
        if self.wanted == HostState::Dead {
            return Some(guardian.clone());
        }
        let unfit = members.is_dead(guardian) || is_leaving(guardian, members);
        if unfit || (service_answers && silent) {
            return choose(Some(guardian)).or_else(|| Some(guardian.clone()));
        }
        Some(guardian.clone())
    }

    /// An earlier incarnation may still have authority. It is certain to have stopped if its record
    /// is dead, or if it had the same control address, because this process has bound that address.
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
            if self.wanted == HostState::Dead {
                self.finish_stop()
            } else {
                self.fence()
            }
            return;
        }
        self.joined_at.get_or_insert(revision);
        self.phase = HostPhase::Member;
        self.settle_pending(revision, &record);
        if self.known().is_some_and(|(known, _)| known >= revision) {
            return;
        }
        if self.guardian() != record.guardian.as_ref() {
            self.silent_since = now;
            self.next_heartbeat = now;
        }
        if self.change_asked_at.is_some_and(|asked| asked < revision) {
            self.change_asked_at = None;
        }
        self.record = RecordView::Known { revision, record };
    }

    /// Credits a write that is visible in the record, and forgets one that can no longer land.
    fn settle_pending(&mut self, revision: Revision, record: &HostRecord) {
        let Some(write) = &self.pending else {
            return;
        };
        if write.renewal == record.renewal {
            self.timer.acknowledged(write.sent_at);
            self.renewed = self.renewed.max(Some(write.sent_at));
            self.pending = None;
            return;
        }
        let newer = self.known().is_none_or(|(known, _)| known < revision);
        if newer && !write.in_flight {
            self.pending = None;
        }
    }

    fn accept_earlier(&mut self, revision: Revision, record: HostRecord) {
        let newer = self.known().is_none_or(|(known, _)| known <= revision);
        if self.phase == HostPhase::Joining && newer {
            self.record = RecordView::Known { revision, record };
        }
    }

    fn known(&self) -> Option<(Revision, &HostRecord)> {
        self.record.known()
    }

    fn is_writing(&self) -> bool {
        self.pending.as_ref().is_some_and(|write| write.in_flight)
    }

    fn read_again(&mut self, now: MonotonicTime) {
        self.reread = true;
        self.next_read = now;
        self.renew_now = true;
    }

    fn fence(&mut self) {
        self.timer.revoke();
        if self.phase != HostPhase::Stopped {
            self.phase = HostPhase::Fenced;
        }
        if self.wanted == HostState::Dead {
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
