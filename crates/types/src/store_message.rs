//! Messages by which the coordinator relays changes of the platform's store, so that not every host has to watch it.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::RecordBytes;
use crate::Revision;
use crate::StoreEra;

/// Relays all changes of the store between two revisions, with the age of the sender's knowledge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Era of both revisions.
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    pub era: StoreEra,
    /// Revision before the first of the changes.
    pub after: Revision,
    /// Revision up to which `changes` is complete.
    pub revision: Revision,
    /// Age in milliseconds of the sender's last confirmation by the store, when this was sent. It is counted from the
    /// sending of the call to the store, so that it is never too low.
    pub age_ms: u64,
    /// Time in milliseconds since a call of the sender to the store last failed; `None` if none did. Hosts of earlier
    /// versions read it here, others in [`RelayedOutage`].
    pub outage_age_ms: Option<u64>,
    /// Changes of the keys that hosts need, in order of revision.
    pub changes: Vec<RelayedChange>,
}

/// Tells how long ago, in milliseconds, the sender's calls to the store failed without an answered one between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedOutage {
    /// Since the first of the calls failed.
    pub since_ms: u64,
    /// Since the last of them was sent.
    pub last_sent_ms: u64,
    /// Since the last of them failed.
    pub until_ms: u64,
}

/// Relays one change of a key in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedChange {
    /// Key in the store.
    pub key: Name,
    /// Revision of the change.
    pub revision: Revision,
    /// New value of the key, or its removal.
    pub value: RelayedValue,
}

/// Asks the coordinator for the configuration, when the sender cannot read it from the store itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Era of the revision.
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    pub era: StoreEra,
    /// Lowest acceptable revision: that of the change that the sender was told of.
    pub revision: Revision,
}

/// Answers a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigReply {
    /// The receiver has no configuration of that revision or a later one.
    Unknown,
    /// Configuration as the operators wrote it to the store.
    Written(RecordBytes),
}

/// Gives the new value of a changed key, as far as it is relayed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayedValue {
    /// The key was removed.
    Removed,
    /// The key was written with this value.
    Written(RecordBytes),
    /// The key was written with a value that is large or secret; each host reads it from the store itself.
    Omitted,
}
