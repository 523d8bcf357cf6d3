//! Shard state that an owner sent to its successor before the assignment names the successor.

use std::collections::BTreeMap;

use zinniahinge_types::HandoverRequest;
use zinniahinge_types::Incarnation;
use zinniahinge_types::PeerAck;
use zinniahinge_types::Revision;
use zinniahinge_types::SHARD_COUNT;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

use crate::AcquiredShard;

/// State of one shard as its owner froze it for a handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StagedShard {
    /// Owner that froze the shard and sent its state.
    pub from: ShardOwner,
    /// Assignment revision under which the shard was frozen.
    pub frozen_at: Revision,
    /// State of the shard, encoded as MessagePack.
    pub state: Vec<u8>,
}

/// Holds the staged state of at most one handover per shard, for one incarnation of this host.
#[derive(Clone, Debug)]
pub struct StagedShards {
    incarnation: Incarnation,
    staged: BTreeMap<ShardId, StagedShard>,
}

impl StagedShards {
    /// Limits the state of one shard, in bytes; with 64 shards at most 64 MiB are held.
    pub const MAX_STATE_BYTES: usize = 1 << 20;

    /// Creates an empty store that accepts state for `incarnation` only.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            staged: BTreeMap::new(),
        }
    }

    /// Stores the state of `request` in place of older state of the same shard.
    ///
    /// A request for another incarnation, one that was frozen at an older revision than the stored
    /// state, or one above [`MAX_STATE_BYTES`](Self::MAX_STATE_BYTES) changes nothing and gets
    /// [`PeerAck::Stale`].
    pub fn stage(&mut self, request: HandoverRequest) -> PeerAck {
        let HandoverRequest {
            host,
            incarnation,
            to_incarnation,
            assignment,
            shard,
            state,
        } = request;
        let is_older = self
            .staged
            .get(&shard)
            .is_some_and(|staged_shard| staged_shard.frozen_at > assignment);
        if to_incarnation != self.incarnation
            || shard >= SHARD_COUNT
            || is_older
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

    /// Removes the staged state of the acquired shard and returns it if the host may resume from
    /// it.
    ///
    /// State staged by an owner that did not finish the handover is dropped, because the shard may
    /// have changed since.
    pub fn take(&mut self, acquired: &AcquiredShard) -> Option<StagedShard> {
        let staged_shard = self.staged.remove(&acquired.shard)?;
        let is_finished = !acquired.claimed
            && acquired.previous.as_ref() == Some(&staged_shard.from)
            && staged_shard.frozen_at < acquired.revision;
        is_finished.then_some(staged_shard)
    }
}
