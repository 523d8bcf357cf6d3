//! What a host knows of its own record.

use zinniahinge_types::HostRecord;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;

/// Own record as last known.
#[derive(Clone, Debug)]
pub(crate) enum RecordView {
    /// Never read.
    Unread,
    /// Read, and it did not exist.
    Absent,
    /// Read or written.
    Known {
        /// Revision of the record.
        revision: Revision,
        /// The record.
        record: HostRecord,
    },
}

impl RecordView {
    /// Revision and record, if there is one.
    pub(crate) fn known(&self) -> Option<(Revision, &HostRecord)> {
        match self {
            Self::Known { revision, record } => Some((*revision, record)),
            Self::Unread | Self::Absent => None,
        }
    }

    /// Revision to bind a write to; `None` before the first read.
    pub(crate) fn expected(&self) -> Option<Revision> {
        match self {
            Self::Unread => None,
            Self::Absent => Some(0),
            Self::Known { revision, .. } => Some(*revision),
        }
    }
}

/// Write of the own record whose result was not seen yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    /// Number of the write.
    pub(crate) renewal: u64,
    /// Time of sending.
    pub(crate) sent_at: MonotonicTime,
    /// Content.
    pub(crate) record: HostRecord,
    /// False once the result is unknown; a read resolves it.
    pub(crate) in_flight: bool,
}
