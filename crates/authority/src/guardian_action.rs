//! What a guardian answers and does.

use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::Revision;

/// Answer to a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// The promise was recorded; acknowledge.
    Acknowledge,
    /// Do not acknowledge.
    Refuse(HeartbeatRefusal),
}

/// Why a heartbeat is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatRefusal {
    /// The guardian has no authority itself.
    NoAuthority,
    /// The sender's record was written before this incarnation of the guardian joined.
    RecordTooOld,
    /// The sender's newest known record names another guardian.
    NotGuardian,
    /// The sender's incarnation is dead or superseded.
    Superseded,
    /// An attempt to declare the sender dead is not resolved.
    TombstonePending,
    /// Too many hosts; memory is bounded.
    Full,
}

/// Order from [`GuardianWatch::tick`].
///
/// [`GuardianWatch::tick`]: crate::GuardianWatch::tick
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardianAction {
    /// Write the tombstone by compare-and-swap and read the record again, whatever the result.
    DeclareDead {
        /// Host to declare dead.
        host: HostId,
        /// Revision on which the wait was counted.
        expected: Revision,
        /// Record with state `dead`.
        record: HostRecord,
    },
    /// Become the guardian of a host whose guardian is dead, by compare-and-swap.
    TakeOver {
        /// Host to watch.
        host: HostId,
        /// Revision at which its record named the dead guardian.
        expected: Revision,
        /// Record with the own host as guardian.
        record: HostRecord,
    },
}
