//! This system's own records in the platform's store.

use std::net::SocketAddr;

use zinniahinge_platform::StartupSettings;
use zinniahinge_platform::StoreWrite;
use zinniahinge_types::HostPower;

/// Host that coordinates; ends with its lease.
pub(crate) const DUTY_KEY: &str = "zinniahinge/duty";

/// Host that coordinated last; stays.
pub(crate) const TERM_KEY: &str = "zinniahinge/term";

/// Keys that authenticate messages between hosts.
pub(crate) const PEER_KEYS_KEY: &str = "zinniahinge/peer-keys";

/// Prefix of the hosts' records, followed by their names.
pub(crate) const HOSTS_PREFIX: &str = "zinniahinge/hosts/";

/// Record that names this host, where it takes messages and what it can do: address and power, separated by a space.
pub(crate) fn host_record(boot: &StartupSettings) -> StoreWrite {
    StoreWrite {
        key: format!("{HOSTS_PREFIX}{}", boot.host).into(),
        value: format!("{} {}", boot.peers, boot.power).into(),
        lease: None,
    }
}

/// Address and power of a host's record. Records of earlier versions hold the address only.
pub(crate) fn read_host_record(value: &[u8]) -> Option<(SocketAddr, HostPower)> {
    let text = std::str::from_utf8(value).ok()?;
    let mut words = text.split(' ');
    let address = words.next()?.parse().ok()?;
    let power = words.next().map_or(Some(0), |word| word.parse().ok())?;
    Some((address, power))
}
