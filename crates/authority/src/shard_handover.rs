//! Handover of one shard by its owner.

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardOwner;

/// Handover of a frozen shard.
#[derive(Clone, Debug)]
pub(crate) struct ShardHandover {
    /// Successor.
    pub(crate) to: ShardOwner,
    /// Assignment revision under which the shard was frozen.
    pub(crate) frozen_at: Revision,
    /// Time of the freeze.
    pub(crate) since: MonotonicTime,
    /// Whether the successor holds the state.
    pub(crate) staged: bool,
    /// State of the write that names the successor.
    pub(crate) write: ReleaseWrite,
}

impl ShardHandover {
    /// A handover that starts at `now`; nothing was sent.
    pub(crate) fn new(to: ShardOwner, frozen_at: Revision, now: MonotonicTime) -> Self {
        Self {
            to,
            frozen_at,
            since: now,
            staged: false,
            write: ReleaseWrite::None,
        }
    }

    /// Notes that a write that names the successor is sent.
    pub(crate) fn mark_sent(&mut self) {
        if self.write == ReleaseWrite::None {
            self.write = ReleaseWrite::Sent;
        }
    }

    /// Notes the result of the write that was sent last. An unknown result stays unknown.
    pub(crate) fn settle(&mut self, write: ReleaseWrite) {
        if self.write == ReleaseWrite::Sent {
            self.write = write;
        }
    }
}

/// Whether a write that hands the shard over may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseWrite {
    /// None was sent, or each one certainly failed.
    None,
    /// One was sent and may get a definite answer.
    Sent,
    /// The answer of one is unknown.
    Unknown,
}
