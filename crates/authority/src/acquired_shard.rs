//! Report of a shard that the host became the owner of.

use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

/// Shard that the newest assignment gives to this host; see [`AssignmentPlanner::take_acquired`].
///
/// [`AssignmentPlanner::take_acquired`]: crate::AssignmentPlanner::take_acquired
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcquiredShard {
    /// Shard that the host owns now.
    pub shard: ShardId,
    /// Assignment revision at which the ownership was first seen.
    pub revision: Revision,
    /// Previous owner, from the assignment known before, or the successor of an own handover with
    /// an unknown result, from which the shard may have come back. `None` if no owner was known.
    pub previous: Option<ShardOwner>,
    /// True if the host claimed the shard itself. Staged state must not be used then, because no
    /// handover was finished.
    pub claimed: bool,
}
