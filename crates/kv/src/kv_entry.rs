use bytes::Bytes;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

/// Record of the key-value service as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvEntry {
    /// Key of the record.
    pub key: Name,
    /// Content of the record.
    pub value: Bytes,
    /// Store revision of the record's last change.
    pub mod_revision: Revision,
    /// Store revision at which the record was created.
    pub create_revision: Revision,
}

/// All records with a prefix at one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeListing {
    /// Records in key order.
    pub entries: Vec<KvEntry>,
    /// Revision of the store at the time of the read. A watch from the next revision misses no
    /// change.
    pub revision: Revision,
}
