//! What a host does about shards.

use smallvec::SmallVec;
use zinniahinge_types::Assignment;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

/// Order from [`AssignmentPlanner::tick`].
///
/// [`AssignmentPlanner::tick`]: crate::AssignmentPlanner::tick
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignmentAction {
    /// Stop acting for the shard (it already counts as not owned), send its state to the successor
    /// and report `state_staged` or `staging_failed`.
    HandOver {
        /// Shard that is frozen.
        shard: ShardId,
        /// Successor.
        to: ShardOwner,
        /// Assignment revision under which the shard was frozen.
        frozen_at: Revision,
    },
    /// Write the assignment by compare-and-swap; report with `write_finished`.
    WriteAssignment {
        /// Revision that the record must be at; 0: it must not exist.
        expected: Revision,
        /// New content.
        assignment: Assignment,
        /// Shards that the own host claims with this write; it recovers them without staged state.
        claimed: SmallVec<[ShardId; 8]>,
        /// Shards that the own host hands over with this write.
        released: SmallVec<[ShardId; 8]>,
    },
    /// Read the assignment (linearizable); report with `assignment_observed`.
    ReadAssignment,
}
