//! The newest assignment that a planner has seen, and its write in flight.

use zinniahinge_types::Assignment;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;

/// Assignment record as it was at one revision.
#[derive(Clone, Debug)]
pub(crate) struct KnownAssignment {
    /// Revision of the record; 0 if it does not exist.
    pub(crate) revision: Revision,
    pub(crate) assignment: Assignment,
}

/// Write of the assignment that has no result yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightWrite {
    /// Revision that the record must have for the write to take effect.
    pub(crate) expected: Revision,
    pub(crate) sent_at: MonotonicTime,
    /// Whether the write hands shards over to their successors.
    pub(crate) releases: bool,
}
