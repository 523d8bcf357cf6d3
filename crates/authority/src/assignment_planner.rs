//! Decides which shards a host claims and hands over.

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

/// Handovers at a time while the host keeps running; few, so that most shards stay available.
const MAX_HANDOVERS: usize = 4;

/// Handovers at a time during a planned stop, which should end soon.
const MAX_HANDOVERS_LEAVING: usize = 16;

/// Plans the shards of one incarnation of a host. The record has one owner per shard, and every
/// change is a compare-and-swap whose new revision is the fencing number.
#[derive(Clone, Debug)]
pub struct AssignmentPlanner {
    owner: ShardOwner,
    settings: AuthoritySettings,
    known: Option<KnownAssignment>,
    reread: bool,
    next_read: MonotonicTime,
    next_write: MonotonicTime,
    in_flight: Option<InFlightWrite>,
    /// Newest assignment seen while a handover is written; applied after the write's answer, which
    /// tells whether the shards went to their successors in between.
    deferred: Option<KnownAssignment>,
    /// Writes bound to this revision or an earlier one may still take effect.
    unresolved: Option<Revision>,
    /// Shards in claims that may still take effect or just did.
    claiming: BTreeSet<ShardId>,
    handovers: BTreeMap<ShardId, ShardHandover>,
    /// Assignment revision under which the last handover of a shard was given up.
    given_up: BTreeMap<ShardId, Revision>,
    preferred: PreferredOwners,
    gained: Vec<AcquiredShard>,
}

impl AssignmentPlanner {
    /// A planner that knows no assignment.
    pub fn new(host: HostId, incarnation: Incarnation, settings: AuthoritySettings) -> Self {
        Self {
            owner: ShardOwner { host, incarnation },
            settings,
            known: None,
            reread: true,
            next_read: MonotonicTime::ZERO,
            next_write: MonotonicTime::ZERO,
            in_flight: None,
            deferred: None,
            unresolved: None,
            claiming: BTreeSet::new(),
            handovers: BTreeMap::new(),
            given_up: BTreeMap::new(),
            preferred: PreferredOwners::default(),
            gained: Vec::new(),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Fencing number under which the host may act for `shard` now, if it may. `has_authority` must
    /// be taken at the moment of use. A shard whose gain was not taken yet has no number. The number is the newest known assignment revision.
    pub fn fencing_number(&self, shard: ShardId, has_authority: bool) -> Option<Revision> {
        let known = self.known.as_ref()?;
        let may_act = has_authority && self.is_own(shard, known) && self.is_in_use(shard);
        may_act.then_some(known.revision)
    }

    /// Shards that the newest known assignment gives to this incarnation, frozen ones included.
    pub fn owned_shards(&self) -> impl Iterator<Item = ShardId> {
        let known = self.known.as_ref();
        (0..SHARD_COUNT).filter(move |shard| known.is_some_and(|known| self.is_own(*shard, known)))
    }

    /// Whether `shard` is frozen for a handover.
    pub fn is_frozen(&self, shard: ShardId) -> bool {
        self.handovers.contains_key(&shard)
    }

    /// Whether a planned stop may end: no shard is owned and no write is open.
    pub fn is_drained(&self) -> bool {
        self.owned_shards().next().is_none()
            && self.in_flight.is_none()
            && self.unresolved.is_none()
    }

    /// Newest known assignment and its revision.
    pub fn assignment(&self) -> Option<(Revision, &Assignment)> {
        self.known
            .as_ref()
            .map(|known| (known.revision, &known.assignment))
    }

    /// Shards acquired since the last call. Resume or recover each before acting for it, and answer a
    /// handover of one that is not ready with `staging_failed`.
    pub fn take_acquired(&mut self) -> Vec<AcquiredShard> {
        std::mem::take(&mut self.gained)
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// The assignment was read or a watch reported it. A missing record has revision 0.
    pub fn assignment_observed(&mut self, revision: Revision, assignment: Assignment) {
        self.reread = false;
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
        self.note_gains(revision, &assignment);
        self.known = Some(KnownAssignment {
            revision,
            assignment,
        });
        if self.unresolved.is_some_and(|expected| expected < revision) {
            self.unresolved = None;
            self.claiming.clear();
        }
        self.drop_lost_handovers();
    }

    /// The write bound to `expected` ended.
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
                self.settle_releases(ReleaseWrite::None);
                self.read_again(now);
            }
            WriteOutcome::Unknown => {
                self.settle_releases(ReleaseWrite::Unknown);
                self.read_again(now);
            }
        }
        self.apply_deferred();
    }

    /// The successor holds the state of `shard` that was frozen at `frozen_at`.
    pub fn state_staged(&mut self, shard: ShardId, frozen_at: Revision) {
        if let Some(handover) = self.handovers.get_mut(&shard)
            && handover.frozen_at == frozen_at
        {
            handover.staged = true;
        }
    }

    /// The successor did not take the state of `shard`; the handover is given up.
    pub fn staging_failed(&mut self, shard: ShardId, frozen_at: Revision) {
        let matches = self
            .handovers
            .get(&shard)
            .is_some_and(|handover| handover.frozen_at == frozen_at && !handover.staged);
        if matches {
            self.give_up(shard);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Clock

    /// What to do at `now`. Call it every 50 to 100 ms and after each input.
    pub fn tick(
        &mut self,
        own: &LocalHostStatus,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> SmallVec<[AssignmentAction; 4]> {
        let mut actions = SmallVec::new();
        self.expire_write(now);
        if self.reread {
            actions.extend(self.read_due(now));
        }
        if !own.has_authority || !members.is_loaded() || self.reread {
            return actions;
        }
        self.preferred.update(members, now);
        self.give_up_stuck(members, now);
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
            self.settle_releases(ReleaseWrite::Unknown);
            self.read_again(now);
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
        let settled = self.preferred.settled_for(now) >= self.settings.settle_time();
        if !own.leaving && !settled {
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
        let free = limit.saturating_sub(self.handovers.len());
        let revision = known.revision;
        let due: Vec<(ShardId, ShardOwner)> = (0..SHARD_COUNT)
            .filter(|shard| self.is_own(*shard, known) && self.is_in_use(*shard))
            .filter(|shard| self.given_up.get(shard).is_none_or(|at| *at < revision))
            .filter_map(|shard| Some((shard, self.successor(shard, members)?)))
            .take(free)
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
                *slot = Some(handover.to.clone());
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
        self.claiming.extend(claimed.iter().copied());
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
        let gone = known
            .assignment
            .owner(shard)
            .is_none_or(|owner| members.is_gone(&owner.host, owner.incarnation, known.revision));
        gone && self.preferred.owner(shard) == Some(&self.owner.host)
    }

    /// Preferred owner of an own shard, if it is another live host.
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

    /// After a handover was given up, the state that the successor may hold is older than the
    /// shard's. The next attempt needs a newer assignment revision to tell the two apart, so the
    /// record is written once without change.
    fn needs_newer_revision(&self, known: &KnownAssignment, members: &MemberTable) -> bool {
        self.given_up.iter().any(|(shard, at)| {
            *at >= known.revision
                && self.is_own(*shard, known)
                && self.successor(*shard, members).is_some()
        })
    }

    /// Gives up handovers that the successor cannot finish, unless the assignment may already name
    /// the successor.
    fn give_up_stuck(&mut self, members: &MemberTable, now: MonotonicTime) {
        if self.unresolved.is_some() {
            return;
        }
        let limit = self.settings.term() * 2;
        let stuck: Vec<ShardId> = self
            .handovers
            .iter()
            .filter(|(_, handover)| {
                let slow = !handover.staged && now.since(handover.since) >= limit;
                slow || !members.is_live(&handover.to.host, handover.to.incarnation)
            })
            .map(|(shard, _)| *shard)
            .collect();
        for shard in stuck {
            self.give_up(shard);
        }
    }

    fn give_up(&mut self, shard: ShardId) {
        if let Some(handover) = self.handovers.remove(&shard) {
            self.given_up.insert(shard, handover.frozen_at);
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Record

    fn note_gains(&mut self, revision: Revision, assignment: &Assignment) {
        for shard in (0..SHARD_COUNT).filter(|id| assignment.owner(*id) == Some(&self.owner)) {
            let Some(previous) = self.previous_owner(shard) else {
                continue;
            };
            self.handovers.remove(&shard);
            self.gained.retain(|gain| gain.shard != shard);
            let claimed = self.claiming.contains(&shard);
            self.gained.push(AcquiredShard {
                shard,
                revision,
                previous,
                claimed,
            });
        }
    }

    /// Owner before a newer assignment names this host, or `None` if it stayed the owner. A shard
    /// whose handover has an unknown result may have gone to the successor and come back since.
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
        (handover.write != ReleaseWrite::None).then(|| Some(handover.to.clone()))
    }

    fn settle_releases(&mut self, write: ReleaseWrite) {
        self.handovers
            .values_mut()
            .for_each(|handover| handover.settle(write));
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

    fn drop_lost_handovers(&mut self) {
        let Some(known) = &self.known else {
            return;
        };
        let owner = &self.owner;
        let is_own = |shard: &ShardId| known.assignment.owner(*shard) == Some(owner);
        self.handovers.retain(|shard, _| is_own(shard));
        self.given_up.retain(|shard, _| is_own(shard));
        self.gained.retain(|gain| is_own(&gain.shard));
    }

    /// Whether an own shard was started and is not frozen. Before the start there is no state that a
    /// successor could resume from.
    fn is_in_use(&self, shard: ShardId) -> bool {
        !self.handovers.contains_key(&shard) && self.gained.iter().all(|gain| gain.shard != shard)
    }

    fn is_own(&self, shard: ShardId, known: &KnownAssignment) -> bool {
        known.assignment.owner(shard) == Some(&self.owner)
    }

    fn read_again(&mut self, now: MonotonicTime) {
        self.reread = true;
        self.next_read = now;
    }
}
