//! Assignment and write as a planner knows them.

use zinniahinge_types::Assignment;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;

/// Assignment at a revision.
#[derive(Clone, Debug)]
pub(crate) struct KnownAssignment {
    /// Revision of the record, 0 if it does not exist.
    pub(crate) revision: Revision,
    /// Content.
    pub(crate) assignment: Assignment,
}

/// Write of the assignment without an answer yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightWrite {
    /// Revision that the write is bound to.
    pub(crate) expected: Revision,
    /// Time of sending.
    pub(crate) sent_at: MonotonicTime,
    /// Whether it hands shards over.
    pub(crate) releases: bool,
}
