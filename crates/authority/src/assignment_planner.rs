//! Decides which shards a host claims from dead owners and which ones it hands over to other hosts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smallvec::SmallVec;
use zinniahinge_types::Assignment;
use zinniahinge_types::HostId;
use zinniahinge_types::Incarnation;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;
use zinniahinge_types::SHARD_COUNT;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

use crate::AcquiredShard;
use crate::AssignmentAction;
use crate::AuthoritySettings;
use crate::LocalHostStatus;
use crate::MemberTable;
use crate::WriteOutcome;
use crate::known_assignment::InFlightWrite;
use crate::known_assignment::KnownAssignment;
use crate::preferred_owners::PreferredOwners;
use crate::shard_handover::ReleaseWrite;
use crate::shard_handover::ShardHandover;

/// Limits concurrent handovers while the host keeps running, because a frozen shard is unavailable.
const MAX_HANDOVERS: usize = 4;

/// Limits concurrent handovers during a planned stop, which should end soon.
const MAX_HANDOVERS_LEAVING: usize = 16;

/// Plans which shards one incarnation of a host claims, keeps and hands over.
///
/// The assignment record names one owner per shard. Every change of it is a compare-and-swap whose
/// new revision is the fencing number.
#[derive(Clone, Debug)]
pub struct AssignmentPlanner {
    owner: ShardOwner,
    settings: AuthoritySettings,
    known: Option<KnownAssignment>,
    needs_read: bool,
    next_read: MonotonicTime,
    next_write: MonotonicTime,
    in_flight: Option<InFlightWrite>,
    /// Newest assignment seen while a write that releases shards is in flight. It is applied after
    /// the write's result, which tells whether the shards went to their successors in between.
    deferred: Option<KnownAssignment>,
    /// Writes that expect this revision or an earlier one may still take effect.
    unresolved: Option<Revision>,
    /// Shards of claims that may still take effect or were just written.
    pending_claims: BTreeSet<ShardId>,
    handovers: BTreeMap<ShardId, ShardHandover>,
    /// Assignment revision under which the last abandoned handover of a shard was frozen.
    abandoned: BTreeMap<ShardId, Revision>,
    preferred: PreferredOwners,
    acquired: Vec<AcquiredShard>,
}

impl AssignmentPlanner {
    /// Creates a planner that first has to read the assignment.
    pub fn new(host: HostId, incarnation: Incarnation, settings: AuthoritySettings) -> Self {
        Self {
            owner: ShardOwner { host, incarnation },
            settings,
            known: None,
            needs_read: true,
            next_read: MonotonicTime::ZERO,
            next_write: MonotonicTime::ZERO,
            in_flight: None,
            deferred: None,
            unresolved: None,
            pending_claims: BTreeSet::new(),
            handovers: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            preferred: PreferredOwners::default(),
            acquired: Vec::new(),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns the fencing number under which the host may act for `shard` now, or `None` if it may
    /// not act. The number is the newest known assignment revision.
    ///
    /// `has_authority` must be read at the moment of use. A shard has no number until
    /// [`take_acquired`](Self::take_acquired) has returned it.
    pub fn fencing_number(&self, shard: ShardId, has_authority: bool) -> Option<Revision> {
        let known = self.known.as_ref()?;
        let may_act = has_authority && self.is_own(shard, known) && self.is_active(shard);
        may_act.then_some(known.revision)
    }

    /// Lists the shards that the newest known assignment gives to this incarnation, frozen or not.
    pub fn owned_shards(&self) -> impl Iterator<Item = ShardId> {
        let known = self.known.as_ref();
        (0..SHARD_COUNT).filter(move |shard| known.is_some_and(|known| self.is_own(*shard, known)))
    }

    /// Returns whether `shard` is frozen for a handover; the host must not act for it.
    pub fn is_frozen(&self, shard: ShardId) -> bool {
        self.handovers.contains_key(&shard)
    }

    /// Returns whether a planned stop may end: no shard is owned and every write is resolved.
    pub fn is_drained(&self) -> bool {
        self.owned_shards().next().is_none()
            && self.in_flight.is_none()
            && self.unresolved.is_none()
    }

    /// Returns the newest known assignment with its revision; `None` before the first read.
    pub fn assignment(&self) -> Option<(Revision, &Assignment)> {
        self.known
            .as_ref()
            .map(|known| (known.revision, &known.assignment))
    }

    /// Returns the shards acquired since the last call. Resume or recover each one before acting for
    /// it, and answer a handover of one that is not ready with `staging_failed`.
    pub fn take_acquired(&mut self) -> Vec<AcquiredShard> {
        std::mem::take(&mut self.acquired)
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Takes in an assignment, read or reported by a watch. A missing record has revision 0.
    pub fn assignment_observed(&mut self, revision: Revision, assignment: Assignment) {
        self.needs_read = false;
        if self.in_flight.is_some_and(|write| write.releases) {
            let deferred = self.deferred.as_ref();
            if deferred.is_none_or(|deferred| deferred.revision < revision) {
                self.deferred = Some(KnownAssignment {
                    revision,
                    assignment,
                });
            }
            return;
        }
        self.apply(revision, assignment);
    }

    fn apply(&mut self, revision: Revision, assignment: Assignment) {
        if self
            .known
            .as_ref()
            .is_some_and(|known| known.revision >= revision)
        {
            return;
        }
        self.record_acquired(revision, &assignment);
        self.known = Some(KnownAssignment {
            revision,
            assignment,
        });
        if self.unresolved.is_some_and(|expected| expected < revision) {
            self.unresolved = None;
            self.pending_claims.clear();
        }
        self.forget_lost_shards();
    }

    /// Takes in the result of the write that expected revision `expected`.
    pub fn write_finished(
        &mut self,
        expected: Revision,
        assignment: Assignment,
        outcome: WriteOutcome,
        now: MonotonicTime,
    ) {
        if self
            .in_flight
            .is_some_and(|write| write.expected == expected)
        {
            self.in_flight = None;
        }
        match outcome {
            WriteOutcome::Written { revision } => self.apply(revision, assignment),
            WriteOutcome::Conflict => {
                self.resolve_releases(ReleaseWrite::None);
                self.schedule_read(now);
            }
            WriteOutcome::Unknown => {
                self.resolve_releases(ReleaseWrite::Unknown);
                self.schedule_read(now);
            }
        }
        self.apply_deferred();
    }

    /// Reports that the successor stored the state frozen at `frozen_at`, so a write may name it.
    pub fn state_staged(&mut self, shard: ShardId, frozen_at: Revision) {
        if let Some(handover) = self.handovers.get_mut(&shard)
            && handover.frozen_at == frozen_at
        {
            handover.staged = true;
        }
    }

    /// Abandons the handover because the successor did not store the state of `shard`.
    pub fn staging_failed(&mut self, shard: ShardId, frozen_at: Revision) {
        let matches = self
            .handovers
            .get(&shard)
            .is_some_and(|handover| handover.frozen_at == frozen_at && !handover.staged);
        if matches {
            self.abandon_handover(shard);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Clock

    /// Returns the actions that are due at `now`. Call it every 50 to 100 ms and after each input.
    pub fn tick(
        &mut self,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> SmallVec<[AssignmentAction; 4]> {
        let mut actions = SmallVec::new();
        self.expire_write(now);
        if self.needs_read {
            actions.extend(self.read_due(now));
        }
        if !own.has_authority || !members.is_loaded() || self.needs_read {
            return actions;
        }
        self.preferred.update(members, now);
        self.abandon_stuck_handovers(members, now);
        actions.extend(self.handovers_due(own, members, now));
        actions.extend(self.write_due(own, members, now));
        actions
    }

    fn expire_write(&mut self, now: MonotonicTime) {
        let limit = self.settings.term();
        if self
            .in_flight
            .is_some_and(|write| now.since(write.sent_at) >= limit)
        {
            self.in_flight = None;
            self.resolve_releases(ReleaseWrite::Unknown);
            self.schedule_read(now);
            self.apply_deferred();
        }
    }

    fn read_due(&mut self, now: MonotonicTime) -> Option<AssignmentAction> {
        if now < self.next_read || self.in_flight.is_some() {
            return None;
        }
        self.next_read = now + self.settings.retry_interval();
        Some(AssignmentAction::ReadAssignment)
    }

    fn handovers_due(
        &mut self,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> Vec<AssignmentAction> {
        let is_settled = self.preferred.unchanged_for(now) >= self.settings.settle_time();
        if !own.leaving && !is_settled {
            return Vec::new();
        }
        let Some(known) = &self.known else {
            return Vec::new();
        };
        let limit = if own.leaving {
            MAX_HANDOVERS_LEAVING
        } else {
            MAX_HANDOVERS
        };
        let free_slots = limit.saturating_sub(self.handovers.len());
        let revision = known.revision;
        let due: Vec<(ShardId, ShardOwner)> = (0..SHARD_COUNT)
            .filter(|shard| self.is_own(*shard, known) && self.is_active(*shard))
            .filter(|shard| self.abandoned.get(shard).is_none_or(|at| *at < revision))
            .filter_map(|shard| Some((shard, self.successor(shard, members)?)))
            .take(free_slots)
            .collect();
        due.into_iter()
            .map(|(shard, to)| self.freeze(shard, to, revision, now))
            .collect()
    }

    fn freeze(
        &mut self,
        shard: ShardId,
        to: ShardOwner,
        frozen_at: Revision,
        now: MonotonicTime,
    ) -> AssignmentAction {
        let handover = ShardHandover::new(to.clone(), frozen_at, now);
        self.handovers.insert(shard, handover);
        AssignmentAction::HandOver {
            shard,
            to,
            frozen_at,
        }
    }

    fn write_due(
        &mut self,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> Option<AssignmentAction> {
        if self.in_flight.is_some() || now < self.next_write {
            return None;
        }
        let known = self.known.as_ref()?;
        let mut assignment = known.assignment.clone();
        assignment.owners.resize(usize::from(SHARD_COUNT), None);
        let mut claimed = SmallVec::new();
        let mut released = SmallVec::new();
        for (shard, slot) in (0..SHARD_COUNT).zip(assignment.owners.iter_mut()) {
            if !own.leaving && self.is_claimable(shard, known, members) {
                *slot = Some(self.owner.clone());
                claimed.push(shard);
            } else if let Some(handover) = self.handovers.get(&shard).filter(|h| h.staged) {
                *slot = Some(handover.successor.clone());
                released.push(shard);
            }
        }
        let expected = known.revision;
        if claimed.is_empty() && released.is_empty() && !self.needs_newer_revision(known, members) {
            return None;
        }
        for shard in &released {
            self.handovers
                .entry(*shard)
                .and_modify(ShardHandover::mark_sent);
        }
        let releases = !released.is_empty();
        self.in_flight = Some(InFlightWrite {
            expected,
            sent_at: now,
            releases,
        });
        self.unresolved = Some(expected);
        self.pending_claims.extend(claimed.iter().copied());
        self.next_write = now + self.settings.retry_interval();
        Some(AssignmentAction::WriteAssignment {
            expected,
            assignment,
            claimed,
            released,
        })
    }

    // ---------------------------------------------------------------------------------------------
    // Decisions

    fn is_claimable(&self, shard: ShardId, known: &KnownAssignment, members: &MemberTable) -> bool {
        let is_gone = known
            .assignment
            .owner(shard)
            .is_none_or(|owner| members.is_gone(&owner.host, owner.incarnation, known.revision));
        is_gone && self.preferred.owner(shard) == Some(&self.owner.host)
    }

    /// Returns the preferred owner of `shard` if it is another live host.
    fn successor(&self, shard: ShardId, members: &MemberTable) -> Option<ShardOwner> {
        let host = self
            .preferred
            .owner(shard)
            .filter(|host| **host != self.owner.host)?;
        let entry = members.get(host)?;
        Some(ShardOwner {
            host: host.clone(),
            incarnation: entry.record.incarnation,
        })
    }

    /// Returns whether the record must be written without change to get a newer revision.
    ///
    /// After a handover was abandoned, the successor may hold staged state that is older than the
    /// shard's state. The next attempt needs a newer assignment revision to tell the two apart.
    fn needs_newer_revision(&self, known: &KnownAssignment, members: &MemberTable) -> bool {
        self.abandoned.iter().any(|(shard, at)| {
            *at >= known.revision
                && self.is_own(*shard, known)
                && self.successor(*shard, members).is_some()
        })
    }

    /// Abandons handovers that the successor cannot finish, unless the assignment may already name
    /// the successor.
    fn abandon_stuck_handovers(&mut self, members: &MemberTable, now: MonotonicTime) {
        if self.unresolved.is_some() {
            return;
        }
        let limit = self.settings.term() * 2;
        let stuck: Vec<ShardId> = self
            .handovers
            .iter()
            .filter(|(_, handover)| {
                let is_slow = !handover.staged && now.since(handover.started_at) >= limit;
                is_slow
                    || !members.is_live(&handover.successor.host, handover.successor.incarnation)
            })
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stuck {
            self.abandon_handover(shard);
        }
    }

    fn abandon_handover(&mut self, shard: ShardId) {
        if let Some(handover) = self.handovers.remove(&shard) {
            self.abandoned.insert(shard, handover.frozen_at);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Record

    fn record_acquired(&mut self, revision: Revision, assignment: &Assignment) {
        for shard in (0..SHARD_COUNT).filter(|id| assignment.owner(*id) == Some(&self.owner)) {
            let Some(previous) = self.previous_owner(shard) else {
                continue;
            };
            self.handovers.remove(&shard);
            self.acquired.retain(|entry| entry.shard != shard);
            let claimed = self.pending_claims.contains(&shard);
            self.acquired.push(AcquiredShard {
                shard,
                revision,
                previous,
                claimed,
            });
        }
    }

    /// Returns the owner before a newer assignment that names this host, or `None` if this host was
    /// the owner all the time. A shard whose handover has an unknown result may have gone to the
    /// successor and come back since, so the successor counts as its previous owner.
    fn previous_owner(&self, shard: ShardId) -> Option<Option<ShardOwner>> {
        let known = self.known.as_ref();
        if !known.is_some_and(|known| self.is_own(shard, known)) {
            return Some(
                known
                    .and_then(|known| known.assignment.owner(shard))
                    .cloned(),
            );
        }
        let handover = self.handovers.get(&shard)?;
        (handover.write != ReleaseWrite::None).then(|| Some(handover.successor.clone()))
    }

    fn resolve_releases(&mut self, write: ReleaseWrite) {
        self.handovers
            .values_mut()
            .for_each(|handover| handover.resolve(write));
    }

    fn apply_deferred(&mut self) {
        if self.in_flight.is_none()
            && let Some(KnownAssignment {
                revision,
                assignment,
            }) = self.deferred.take()
        {
            self.apply(revision, assignment);
        }
    }

    fn forget_lost_shards(&mut self) {
        let Some(known) = &self.known else {
            return;
        };
        let owner = &self.owner;
        let is_own = |shard: &ShardId| known.assignment.owner(*shard) == Some(owner);
        self.handovers.retain(|shard, _| is_own(shard));
        self.abandoned.retain(|shard, _| is_own(shard));
        self.acquired.retain(|entry| is_own(&entry.shard));
    }

    /// Returns whether an own shard was started and is not frozen. Before the start there is no
    /// state that a successor could resume from.
    fn is_active(&self, shard: ShardId) -> bool {
        !self.handovers.contains_key(&shard)
            && self.acquired.iter().all(|entry| entry.shard != shard)
    }

    fn is_own(&self, shard: ShardId, known: &KnownAssignment) -> bool {
        known.assignment.owner(shard) == Some(&self.owner)
    }

    fn schedule_read(&mut self, now: MonotonicTime) {
        self.needs_read = true;
        self.next_read = now;
    }
}
