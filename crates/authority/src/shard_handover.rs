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
