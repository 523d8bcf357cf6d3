//! This system's own records in the platform's store.

use zinniahinge_platform::HostBoot;
use zinniahinge_platform::Write;

/// Host that coordinates; ends with its lease.
pub(crate) const DUTY_KEY: &str = "zinniahinge/duty";

/// Host that coordinated last; stays.
pub(crate) const TERM_KEY: &str = "zinniahinge/term";

/// Keys that authenticate messages between hosts.
pub(crate) const PEER_KEYS_KEY: &str = "zinniahinge/peer-keys";

/// Prefix of the hosts' records, followed by their names.
pub(crate) const HOSTS_PREFIX: &str = "zinniahinge/hosts/";

/// Record that names this host and where it takes messages.
pub(crate) fn host_record(boot: &HostBoot) -> Write {
    Write {
        key: format!("{HOSTS_PREFIX}{}", boot.host).into(),
        value: boot.peers.to_string().into(),
        lease: None,
    }
}
