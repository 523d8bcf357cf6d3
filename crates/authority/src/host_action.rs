//! Actions that the host's state machine asks its caller to carry out, and the phases of its life.

use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::Incarnation;
use zinniahinge_types::Revision;

/// Action returned by [`HostAuthority::tick`], to be carried out at once.
///
/// The time of the tick counts as the send time. A late action is safe but shortens the authority.
///
/// [`HostAuthority::tick`]: crate::HostAuthority::tick
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostAction {
    /// Send a heartbeat; report the reply with `heartbeat_answered`. No reply needs no report.
    SendHeartbeat {
        /// Guardian that the heartbeat goes to.
        to: HostId,
        /// Number by which the reply is matched to this heartbeat.
        sequence: u64,
        /// Revision of the own record that names the guardian.
        record_revision: Revision,
    },
    /// Write the own record by compare-and-swap; report the result with `write_finished`.
    WriteRecord {
        /// Number by which the result is matched to this write; it is also in the record.
        renewal: u64,
        /// Revision that the record must have; 0 if it must not exist.
        expected: Revision,
        /// New content of the record.
        record: HostRecord,
    },
    /// Read the own record with a linearizable read; report it with `record_observed`. A failed
    /// read needs no report, because the action is returned again.
    ReadRecord,
    /// Start a new state machine with an incarnation above `above`; this one never acts again.
    Rejoin {
        /// Largest incarnation of this host that was seen in its record.
        above: Incarnation,
    },
    /// The planned stop is recorded at the key-value service, and the process may exit.
    Stopped,
}

/// Phase in the life of one incarnation; `Fenced` and `Stopped` are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    /// The record of this incarnation is not written yet.
    Joining,
    /// The record is written; the host has authority while its timer runs.
    Member,
    /// The record was found dead, deleted or superseded; this incarnation never acts again.
    Fenced,
    /// The planned stop has ended; this incarnation never acts again.
    Stopped,
}
