//! Keys of the records in the key-value service.
//!
//! Every host watches [`WATCHED_PREFIX`]. Records that only an owner reads stay outside of it, because their
//! writes would otherwise reach every host.

use zinniahinge_types::Name;
use zinniahinge_types::ShardId;

/// Prefix of the records that every host follows.
pub const WATCHED_PREFIX: &str = "/zinniahinge/";

/// Record of the assignment.
pub const ASSIGNMENT_KEY: &str = "/zinniahinge/assignment";

const HOSTS_PREFIX: &str = "/zinniahinge/hosts/";
const DOCUMENTS_PREFIX: &str = "/zinniahinge/documents/";
const RESERVATIONS_PREFIX: &str = "/zinniahinge-state/reservations/";
const IDEMPOTENCY_PREFIX: &str = "/zinniahinge-state/idempotency/";

/// What a watched key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchedKey {
    /// Host record.
    Host(Name),
    /// Assignment.
    Assignment,
    /// Document of a service.
    Document(Name),
}

/// Reads a watched key; `None` for a key that this version does not know.
pub fn parse_watched(key: &str) -> Option<WatchedKey> {
    if key == ASSIGNMENT_KEY {
        return Some(WatchedKey::Assignment);
    }
    if let Some(host) = key.strip_prefix(HOSTS_PREFIX) {
        return Some(WatchedKey::Host(host.into()));
    }
    key.strip_prefix(DOCUMENTS_PREFIX)
        .map(|service| WatchedKey::Document(service.into()))
}

/// Key of a host record.
pub fn host_key(host: &str) -> String {
    format!("{HOSTS_PREFIX}{host}")
}

/// Prefix of a service's reservation records.
pub fn reservations_prefix(service: &str) -> String {
    format!("{RESERVATIONS_PREFIX}{service}/")
}

/// Key of a backend server's reservation record.
pub fn reservation_key(service: &str, server: &str) -> String {
    format!("{RESERVATIONS_PREFIX}{service}/{server}")
}

/// Prefix of a shard's idempotency records.
pub fn idempotency_prefix(shard: ShardId) -> String {
    format!("{IDEMPOTENCY_PREFIX}{shard}/")
}

/// Key of an idempotency record. The digest keeps callers' text out of the key.
pub fn idempotency_key(shard: ShardId, digest: &str) -> String {
    format!("{IDEMPOTENCY_PREFIX}{shard}/{digest}")
}
