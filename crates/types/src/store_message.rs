//! What the coordinating host passes on of the platform's store, so that not every host has to watch it.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::RecordBytes;
use crate::Revision;

/// Changes of the store since a revision, as of a reading of the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// The changes come after this revision.
    pub after: Revision,
    /// They are complete up to this one.
    pub revision: Revision,
    /// Age of the reading when it was passed on, milliseconds; counted from when the call to the store was sent.
    pub age_ms: u64,
    /// Time since the store last failed the sender, milliseconds; `None` if it didn't.
    pub outage_age_ms: Option<u64>,
    /// Changes that the hosts need, in order.
    pub changes: Vec<RelayedChange>,
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedChange {
    /// Key.
    pub key: Name,
    /// Revision of the change.
    pub revision: Revision,
    /// What happened to the key.
    pub value: RelayedValue,
}

/// Asks for the configuration, by a host whose own reading of the store fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Revision of the change that it was told of.
    pub revision: Revision,
}

/// Answer to a [`ConfigRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigReply {
    /// The receiver has none as new as that.
    Unknown,
    /// As the operators wrote it.
    Written(RecordBytes),
}

/// New value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayedValue {
    /// The key was removed.
    Removed,
    /// The value.
    Written(RecordBytes),
    /// A value that each host reads from the store itself, because it is large or secret.
    Omitted,
}
