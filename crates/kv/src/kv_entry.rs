use bytes::Bytes;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

/// One record of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvEntry {
    /// Key.
    pub key: Name,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub mod_revision: Revision,
    /// Revision of the creation.
    pub create_revision: Revision,
}

/// All records with a prefix at one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeListing {
    /// Records in key order.
    pub entries: Vec<KvEntry>,
    /// Revision of the store; a watch from the next one misses nothing.
    pub revision: Revision,
}
