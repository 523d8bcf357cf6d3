//! Actions that the assignment planner asks its caller to carry out.

use smallvec::SmallVec;
use zinniahinge_types::Assignment;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

/// Action returned by [`AssignmentPlanner::tick`], to be carried out at once.
///
/// [`AssignmentPlanner::tick`]: crate::AssignmentPlanner::tick
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignmentAction {
    /// Stop acting for the shard, send its state to the successor and report `state_staged` or
    /// `staging_failed`. The shard has no fencing number from this tick on.
    HandOver {
        /// Shard that was frozen by this tick.
        shard: ShardId,
        /// Host and incarnation that the state is sent to.
        to: ShardOwner,
        /// Assignment revision under which the shard was frozen.
        frozen_at: Revision,
    },
    /// Write the assignment by compare-and-swap; report the result with `write_finished`.
    WriteAssignment {
        /// Revision that the record must have; 0 if it must not exist.
        expected: Revision,
        /// New content of the record.
        assignment: Assignment,
        /// Shards that the own host claims with this write; it recovers them without staged state.
        claimed: SmallVec<[ShardId; 8]>,
        /// Shards that the own host hands over with this write.
        released: SmallVec<[ShardId; 8]>,
    },
    /// Read the assignment with a linearizable read; report it with `assignment_observed`. A failed
    /// read needs no report, because the action is returned again.
    ReadAssignment,
}
