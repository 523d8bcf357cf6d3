//! Record of an accepted document in the key-value service.

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

/// Value of the record `documents/<service>`, JSON.
///
/// Unknown fields are ignored, so that an older process still reads what a newer command accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRecord {
    /// Names the acceptance that wrote the record. It resolves a write whose answer was lost.
    pub acceptance_id: Name,
    /// Document text, TOML.
    pub text: Name,
}

impl DocumentRecord {
    /// Prefix of the keys of all document records; the service's name follows.
    pub const PREFIX: &str = "/zinniahinge/documents/";

    /// Record of a new acceptance.
    pub fn new(text: &str) -> Self {
        Self {
            acceptance_id: format!("{:032x}", rand::random::<u128>()).into(),
            text: text.into(),
        }
    }

    /// Key of a service's record.
    pub fn key(service: &str) -> String {
        format!("{}{service}", Self::PREFIX)
    }

    /// Service of a record's key.
    pub fn service_of(key: &str) -> Option<&str> {
        key.strip_prefix(Self::PREFIX)
    }

    /// Value of the record.
    pub fn to_json(&self) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec(self)
    }

    /// Reads the value of a record.
    pub fn from_json(value: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(value)
    }
}
