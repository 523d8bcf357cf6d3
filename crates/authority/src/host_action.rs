//! What a host does next to keep its authority.

use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::Incarnation;
use zinniahinge_types::Revision;

/// Order from [`HostAuthority::tick`]. The send time is the time of the tick, so carry actions out
/// at once; a late one is safe but shortens the authority.
///
/// [`HostAuthority::tick`]: crate::HostAuthority::tick
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostAction {
    /// Send a heartbeat; report the reply with `heartbeat_answered`. No reply needs no report.
    SendHeartbeat {
        /// Guardian.
        to: HostId,
        /// Number to match the reply.
        sequence: u64,
        /// Revision of the own record that names the guardian.
        record_revision: Revision,
    },
    /// Write the own record by compare-and-swap; report the result with `write_finished`.
    WriteRecord {
        /// Number to match the result; also in the record.
        renewal: u64,
        /// Revision that the record must be at; 0: it must not exist.
        expected: Revision,
        /// New content.
        record: HostRecord,
    },
    /// Read the own record (linearizable); report it with `record_observed`. A failed read needs no
    /// report, the action comes again.
    ReadRecord,
    /// This incarnation never acts again: start a new machine with an incarnation above this one.
    Rejoin {
        /// Largest incarnation that was seen.
        above: Incarnation,
    },
    /// The planned stop is recorded; the process may exit.
    Stopped,
}

/// Life of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    /// The record of this incarnation is not written yet.
    Joining,
    /// The record is written; authority depends on the timer.
    Member,
    /// Found dead or superseded; never acts again.
    Fenced,
    /// Stopped by plan; never acts again.
    Stopped,
}
