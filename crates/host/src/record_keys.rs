//! Keys of this system's own records in the platform's store.

/// Host that coordinates; ends with its lease.
pub(crate) const DUTY_KEY: &str = "zinniahinge/duty";

/// Host that coordinated last; stays.
pub(crate) const TERM_KEY: &str = "zinniahinge/term";

/// Keys that authenticate messages between hosts.
pub(crate) const PEER_KEYS_KEY: &str = "zinniahinge/peer-keys";

/// Prefix of the hosts' records, followed by their names.
pub(crate) const HOSTS_PREFIX: &str = "zinniahinge/hosts/";
