//! Report of an acquired shard.

use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

/// Shard that the host acquired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcquiredShard {
    /// Shard.
    pub shard: ShardId,
    /// Assignment revision at which it was seen.
    pub revision: Revision,
    /// Owner before: the one in the assignment known before, or the successor of a handover that may
    /// have come back. `None` if no assignment was known.
    pub previous: Option<ShardOwner>,
    /// True if the host claimed the shard itself: staged state must not be used.
    pub claimed: bool,
}
