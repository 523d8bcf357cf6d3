//! The host's own record at the key-value service, as far as the host knows it.

use zinniahinge_types::HostRecord;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;

/// Own record as last read, written or reported by a watch.
#[derive(Clone, Debug)]
pub(crate) enum OwnRecord {
    /// The record was never read.
    Unread,
    /// The record was read and did not exist.
    Absent,
    /// The record was read or written.
    Known {
        revision: Revision,
        record: HostRecord,
    },
}

impl OwnRecord {
    /// Returns the record with its revision; `None` if it is unread or doesn't exist.
    pub(crate) fn known(&self) -> Option<(Revision, &HostRecord)> {
        match self {
            Self::Known { revision, record } => Some((*revision, record)),
            Self::Unread | Self::Absent => None,
        }
    }

    /// Returns the revision that a write must expect, 0 if the record doesn't exist; `None` before
    /// the first read.
    pub(crate) fn expected(&self) -> Option<Revision> {
        match self {
            Self::Unread => None,
            Self::Absent => Some(0),
            Self::Known { revision, .. } => Some(*revision),
        }
    }
}

/// Write of the own record whose effect has not been seen yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    /// Number of the write, which is also in the record.
    pub(crate) renewal: u64,
    pub(crate) sent_at: MonotonicTime,
    pub(crate) record: HostRecord,
    /// False once the result is unknown; a read of the record then tells whether it took effect.
    pub(crate) in_flight: bool,
}
