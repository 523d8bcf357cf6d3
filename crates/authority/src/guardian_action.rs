//! A guardian's answers to heartbeats, and the writes that it asks its caller to make.

use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::Revision;

/// Decision on a heartbeat that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// Acknowledge: the promise not to declare the sender dead was recorded.
    Acknowledge,
    /// Refuse to acknowledge, for this reason.
    Refuse(HeartbeatRefusal),
}

/// Reason why a heartbeat is not acknowledged.
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
    /// A write of the sender's tombstone may still take effect.
    TombstonePending,
    /// The guardian already watches as many hosts as its bounded memory allows.
    Full,
}

/// Action returned by [`GuardianWatch::tick`], to be carried out at once.
///
/// [`GuardianWatch::tick`]: crate::GuardianWatch::tick
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GuardianAction {
    /// Write the tombstone by compare-and-swap and read the record again, whatever the result.
    DeclareDead {
        /// Host to declare dead.
        host: HostId,
        /// Revision that the record had during the whole wait, and must still have.
        expected: Revision,
        /// Record of the host with state `dead`.
        record: HostRecord,
    },
    /// Become the guardian of a host whose guardian is dead, by compare-and-swap.
    TakeOver {
        /// Host to watch from now on.
        host: HostId,
        /// Revision at which the host's record named the dead guardian, and that it must still
        /// have.
        expected: Revision,
        /// Record of the host with the local host as guardian.
        record: HostRecord,
    },
}
