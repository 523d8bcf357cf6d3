//! Status of the local host, as the other state machines need it.

use zinniahinge_types::HostId;
use zinniahinge_types::Incarnation;
use zinniahinge_types::Revision;

/// Status of the local host at the moment of a call to [`HostAuthority::local_status`].
///
/// It is out of date as soon as time passes, so it must not be kept between ticks.
///
/// [`HostAuthority::local_status`]: crate::HostAuthority::local_status
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalHostStatus {
    /// Id of the local host.
    pub host: HostId,
    /// Incarnation of the local host, which grows with every start.
    pub incarnation: Incarnation,
    /// Whether the host had authority at the time of the call.
    pub has_authority: bool,
    /// Revision of the first known record of this incarnation; `None` before the host has joined.
    pub joined_at: Option<Revision>,
    /// Whether a planned stop has begun: the host hands its shards over and claims none.
    pub leaving: bool,
}
