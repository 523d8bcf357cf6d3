//! Progress of one shard's handover, kept by the owner that gives the shard away.

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardOwner;

/// Handover of a frozen shard to another host.
#[derive(Clone, Debug)]
pub(crate) struct ShardHandover {
    /// Host and incarnation that the shard goes to.
    pub(crate) successor: ShardOwner,
    /// Assignment revision under which the shard was frozen.
    pub(crate) frozen_at: Revision,
    /// Time at which the shard was frozen.
    pub(crate) started_at: MonotonicTime,
    /// Whether the successor confirmed that it stored the state.
    pub(crate) staged: bool,
    /// Whether a write that names the successor may have taken effect.
    pub(crate) write: ReleaseWrite,
}

impl ShardHandover {
    /// Starts a handover at `now`, before any write that names the successor.
    pub(crate) fn new(successor: ShardOwner, frozen_at: Revision, now: MonotonicTime) -> Self {
        Self {
            successor,
            frozen_at,
            started_at: now,
            staged: false,
            write: ReleaseWrite::None,
        }
    }

    /// Records that a write that names the successor is sent.
    pub(crate) fn mark_sent(&mut self) {
        if self.write == ReleaseWrite::None {
            self.write = ReleaseWrite::Sent;
        }
    }

    /// Records the result of the write that was sent last. An unknown result stays unknown.
    pub(crate) fn resolve(&mut self, write: ReleaseWrite) {
        if self.write == ReleaseWrite::Sent {
            self.write = write;
        }
    }
}

/// Tells whether a write that hands the shard over may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseWrite {
    /// No write was sent, or each one certainly failed.
    None,
    /// A write was sent and may still get a definite answer.
    Sent,
    /// The result of a write is unknown; the assignment may name the successor.
    Unknown,
}
