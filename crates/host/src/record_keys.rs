//! Keys and formats of this system's own records in the platform's store.

use std::net::SocketAddr;

use zinniahinge_platform::StartupSettings;
use zinniahinge_platform::StoreWrite;
use zinniahinge_types::HostPower;

/// Key of the record of the coordinator lease, removed when the lease expires.
pub(crate) const LEASE_KEY: &str = "zinniahinge/duty";

/// Key of the record of the last term, which outlives the lease.
pub(crate) const TERM_KEY: &str = "zinniahinge/term";

/// Key of the record with the keys that authenticate messages between hosts.
pub(crate) const PEER_KEYS_KEY: &str = "zinniahinge/peer-keys";

/// Key of the record with the blocked prompt parts.
pub(crate) const BLOCKED_PARTS_KEY: &str = "zinniahinge/blocked-parts";

/// Prefix of the keys of host records; the host's name follows.
pub(crate) const HOSTS_PREFIX: &str = "zinniahinge/hosts/";

/// Returns the write of this host's record: the address for messages of other hosts and the host's power, separated by a
/// space.
pub(crate) fn host_record(startup: &StartupSettings) -> StoreWrite {
    StoreWrite {
        key: format!("{HOSTS_PREFIX}{}", startup.host).into(),
        value: format!("{} {}", startup.peers, startup.power).into(),
        lease: None,
    }
}

/// Parses a host record into address and power; `None` if it is malformed. Records of earlier versions hold only the
/// address, and their power counts as 0.
pub(crate) fn read_host_record(value: &[u8]) -> Option<(SocketAddr, HostPower)> {
    let text = std::str::from_utf8(value).ok()?;
    let mut words = text.split(' ');
    let address = words.next()?.parse().ok()?;
    let power = words.next().map_or(Some(0), |word| word.parse().ok())?;
    Some((address, power))
}
