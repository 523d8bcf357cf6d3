//! What the other machines need to know of the host they run on.

use zinniahinge_types::HostId;
use zinniahinge_types::Incarnation;
use zinniahinge_types::Revision;

/// Standing of the own host at the moment of a call; see [`HostAuthority::local_status`].
///
/// [`HostAuthority::local_status`]: crate::HostAuthority::local_status
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalHostStatus {
    /// Own host.
    pub host: HostId,
    /// Own run.
    pub incarnation: Incarnation,
    /// Whether the host had authority at the time of the call.
    pub has_authority: bool,
    /// Revision at which this incarnation joined; `None` before that.
    pub joined_at: Option<Revision>,
    /// Whether the host hands its shards over and takes none.
    pub leaving: bool,
}
