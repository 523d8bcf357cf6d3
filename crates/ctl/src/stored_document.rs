//! Accepted document as read from its record.

use zinniahinge_document::DocumentRecord;
use zinniahinge_document::ServiceDocument;
use zinniahinge_document::check;
use zinniahinge_kv::KvEntry;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::CtlError;
use crate::RecordStore;
use crate::Result;

/// Accepted document and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument {
    /// Service by the record's key.
    pub service: Name,
    /// Revision of the record.
    pub revision: Revision,
    /// Acceptance that wrote it.
    pub acceptance_id: Name,
    /// Text.
    pub text: Name,
}

impl StoredDocument {
    /// Reads a record.
    pub fn from_entry(entry: &KvEntry) -> Result<Self> {
        let service = DocumentRecord::service_of(&entry.key).unwrap_or(&entry.key);
        let revision = entry.mod_revision;
        match DocumentRecord::from_json(&entry.value) {
            Ok(DocumentRecord {
                acceptance_id,
                text,
            }) => Ok(Self {
                service: service.into(),
                revision,
                acceptance_id,
                text,
            }),
            Err(source) => Err(CtlError::BadRecord {
                service: service.to_owned(),
                revision,
                source,
            }),
        }
    }

    /// Reads the document in force, if there is one.
    pub async fn read(store: &RecordStore, service: &str) -> Result<Option<Self>> {
        let entry = (store.get)(DocumentRecord::key(service)).await?;
        entry.as_ref().map(Self::from_entry).transpose()
    }

    /// Checks the text. A document that an older version accepted may have faults.
    pub fn parse(&self) -> zinniahinge_document::Result<ServiceDocument> {
        check(
            &self.text,
            &format!("{} at revision {}", self.service, self.revision),
        )
    }
}
