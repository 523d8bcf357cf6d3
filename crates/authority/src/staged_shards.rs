//! State that another owner sent before the assignment names this host.

use std::collections::BTreeMap;

use zinniahinge_types::HandoverRequest;
use zinniahinge_types::Incarnation;
use zinniahinge_types::PeerAck;
use zinniahinge_types::Revision;
use zinniahinge_types::SHARD_COUNT;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

use crate::AcquiredShard;

/// State of one shard, as frozen by its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagedShard {
    /// Owner that froze the shard.
    pub from: ShardOwner,
    /// Assignment revision under which it was frozen.
    pub frozen_at: Revision,
    /// State, MessagePack.
    pub state: Vec<u8>,
}

/// Staged state of at most one handover per shard.
#[derive(Clone, Debug)]
pub struct StagedShards {
    incarnation: Incarnation,
    staged: BTreeMap<ShardId, StagedShard>,
}

impl StagedShards {
    /// Largest accepted state in bytes; with 64 shards at most 64 MiB are held.
    pub const MAX_STATE_BYTES: usize = 1 << 20;

    /// Nothing staged for `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            staged: BTreeMap::new(),
        }
    }

    /// Keeps the state of `request`. A request for another incarnation, one that is older than what
    /// is held, or an over-long one changes nothing.
    pub fn stage(&mut self, request: HandoverRequest) -> PeerAck {
        let HandoverRequest {
            host,
            incarnation,
            to_incarnation,
            assignment,
            shard,
            state,
        } = request;
        let older = self
            .staged
            .get(&shard)
            .is_some_and(|held| held.frozen_at > assignment);
        if to_incarnation != self.incarnation
            || shard >= SHARD_COUNT
            || older
            || state.len() > Self::MAX_STATE_BYTES
        {
            return PeerAck::Stale;
        }
        let from = ShardOwner { host, incarnation };
        self.staged.insert(
            shard,
            StagedShard {
                from,
                frozen_at: assignment,
                state,
            },
        );
        PeerAck::Accepted
    }

    /// State to resume from after `gain`, if there is any. State staged by an owner that did not
    /// finish the handover is dropped: the shard may have changed since.
    pub fn take(&mut self, gain: &AcquiredShard) -> Option<StagedShard> {
        let held = self.staged.remove(&gain.shard)?;
        let finished = !gain.claimed
            && gain.previous.as_ref() == Some(&held.from)
            && held.frozen_at < gain.revision;
        finished.then_some(held)
    }
}
