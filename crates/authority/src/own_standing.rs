//! What the other machines need to know of the host they run on.

use zinniahinge_types::HostId;
use zinniahinge_types::Incarnation;
use zinniahinge_types::Revision;

/// Standing of the own host at the moment of a call; see [`HostAuthority::standing`].
///
/// [`HostAuthority::standing`]: crate::HostAuthority::standing
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnStanding {
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
