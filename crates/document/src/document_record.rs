//! Record that stores an accepted document in the key-value service.

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

/// Value of the record `documents/<service>`, encoded as JSON.
///
/// Unknown fields are ignored, so that older processes can read records written by a newer command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRecord {
    /// Random identifier of the acceptance that wrote the record. If the reply to a write is lost, it tells
    /// whether the stored record comes from that write.
    pub acceptance_id: Name,
    /// Text of the document, in TOML.
    pub text: Name,
}

impl DocumentRecord {
    /// Key prefix of all document records; the service's name follows.
    pub const PREFIX: &str = "/zinniahinge/documents/";

    /// Creates a record with a new random acceptance id.
    pub fn new(text: &str) -> Self {
        Self {
            acceptance_id: format!("{:032x}", rand::random::<u128>()).into(),
            text: text.into(),
        }
    }

    /// Returns the key of a service's record.
    pub fn key(service: &str) -> String {
        format!("{}{service}", Self::PREFIX)
    }

    /// Returns the service that a record's key names; `None` if the key isn't a document record's.
    pub fn service_of(key: &str) -> Option<&str> {
        key.strip_prefix(Self::PREFIX)
    }

    /// Serializes the record to its JSON value.
    pub fn to_json(&self) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec(self)
    }

    /// Parses the JSON value of a record. The text in it isn't validated.
    pub fn from_json(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }
}
