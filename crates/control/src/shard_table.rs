//! The shards of this process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use zinniahinge_authority::AcquiredShard;
use zinniahinge_authority::StagedShard;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::Revision;
use zinniahinge_types::SHARD_COUNT;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

use crate::member_core::MemberCell;
use crate::shard_state::ShardState;

/// Stands for a former owner that this process does not know. Host names cannot contain a space.
const UNKNOWN_OWNER: &str = "unknown owner";

enum ShardSlot {
    Vacant,
    Active(Box<ShardState>),
    /// Exported and on its way; kept so that a handover that is given up can be undone.
    Frozen(FrozenShard),
}

struct FrozenShard {
    acquired_at: Revision,
    state: Vec<u8>,
}

/// State of all shards that this process owns. Each shard has its own lock.
pub struct ShardTable {
    slots: Vec<Mutex<ShardSlot>>,
    member: Arc<MemberCell>,
}

/// Permission that was checked when the closure of [`ShardTable::with`] started.
#[derive(Clone, Copy, Debug)]
pub struct ActingOwner {
    /// Fencing number.
    pub fence: Revision,
    /// Present time.
    pub now: MonotonicTime,
}

impl ShardTable {
    /// All shards vacant.
    pub fn new(member: Arc<MemberCell>) -> Self {
        let slots = (0..SHARD_COUNT)
            .map(|_| Mutex::new(ShardSlot::Vacant))
            .collect();
        Self { slots, member }
    }

    /// Runs `act` on the shard of `key` if this process may act for it now; `None` means "not owner".
    /// Authority is checked after the lock was taken, because waiting for it may take longer than the authority lasts.
    pub fn with<T>(
        &self,
        key: &ResourceKey,
        act: impl FnOnce(&mut ShardState, ActingOwner) -> T,
    ) -> Option<T> {
        self.with_shard(key.shard(), act)
    }

    /// As [`Self::with`], by shard.
    pub fn with_shard<T>(
        &self,
        shard: ShardId,
        act: impl FnOnce(&mut ShardState, ActingOwner) -> T,
    ) -> Option<T> {
        let mut slot = self.lock(shard);
        let now = self.member.now();
        let fence = self.member.gate.check(shard, now)?;
        match &mut *slot {
            ShardSlot::Active(state) => Some(act(state, ActingOwner { fence, now })),
            ShardSlot::Vacant | ShardSlot::Frozen(_) => None,
        }
    }

    /// Runs `act` on each shard that this process may act for.
    pub fn for_each(&self, mut act: impl FnMut(&mut ShardState, ActingOwner)) {
        for shard in 0..SHARD_COUNT {
            self.with_shard(shard, &mut act);
        }
    }

    // ------------------------------------------------------------------------

    /// Takes a shard over, from staged state if there is any.
    pub fn acquire(&self, gain: &AcquiredShard, staged: Option<StagedShard>, now: MonotonicTime) {
        let incarnation = self.member.read(|core, _now| core.incarnation);
        let AcquiredShard {
            shard,
            revision,
            previous,
            claimed,
        } = gain;
        let imported = staged.as_ref().and_then(|staged| {
            ShardState::import(*shard, *revision, incarnation, &staged.state, now)
        });
        let state = imported.unwrap_or_else(|| {
            let former = former_owner(previous.as_ref(), *claimed);
            ShardState::recover(*shard, *revision, incarnation, former)
        });
        *self.lock(*shard) = ShardSlot::Active(Box::new(state));
    }

    /// Exports a shard for a handover; `None` if it cannot be handed over now.
    pub fn freeze(&self, shard: ShardId) -> Option<Vec<u8>> {
        let mut slot = self.lock(shard);
        match &*slot {
            ShardSlot::Active(state) if state.idempotency.is_some() => {}
            _ => return None,
        }
        let ShardSlot::Active(state) = std::mem::replace(&mut *slot, ShardSlot::Vacant) else {
            return None;
        };
        let acquired_at = state.acquired_at;
        let state = state.export(self.member.now())?;
        *slot = ShardSlot::Frozen(FrozenShard {
            acquired_at,
            state: state.clone(),
        });
        Some(state)
    }

    /// Brings the slots in step with the assignment: reactivates shards whose handover was given up, and drops those
    /// that belong to another process.
    pub fn reconcile(&self, member: &MemberCell) {
        let (incarnation, owned, frozen) = member.read(|core, _now| {
            let owned: Vec<ShardId> = core.planner.owned_shards().collect();
            let frozen: Vec<ShardId> = (0..SHARD_COUNT)
                .filter(|shard| core.planner.is_frozen(*shard))
                .collect();
            (core.incarnation, owned, frozen)
        });
        for shard in 0..SHARD_COUNT {
            let mut slot = self.lock(shard);
            if !owned.contains(&shard) {
                *slot = ShardSlot::Vacant;
            } else if !frozen.contains(&shard)
                && let ShardSlot::Frozen(FrozenShard { acquired_at, state }) = &*slot
            {
                let now = member.now();
                let restored = ShardState::import(shard, *acquired_at, incarnation, state, now);
                let restored = restored.map(|state| ShardSlot::Active(Box::new(state)));
                *slot = restored.unwrap_or(ShardSlot::Vacant);
            }
        }
    }

    /// Drops everything, after this incarnation was declared dead.
    pub fn drop_all(&self) {
        for shard in 0..SHARD_COUNT {
            *self.lock(shard) = ShardSlot::Vacant;
        }
    }

    fn lock(&self, shard: ShardId) -> MutexGuard<'_, ShardSlot> {
        self.slots[usize::from(shard)]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Former owner whose state is lost; `None` only for a shard that this process claimed and that nobody owned before.
/// A shard that another process gave away had an owner, even if this process never saw that assignment: taking it for
/// new would fill the buckets again and forget the idempotency keys.
fn former_owner(previous: Option<&ShardOwner>, claimed: bool) -> Option<HostId> {
    match previous {
        Some(owner) => Some(owner.host.clone()),
        None if claimed => None,
        None => Some(UNKNOWN_OWNER.into()),
    }
}
