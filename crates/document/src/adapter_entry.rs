//! Adapters of base models, as listed in a document.

use zinniahinge_types::Name;

use crate::MemorySize;

/// An adapter that a service offers on one of its base models; callers request it as `base:name`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterEntry {
    /// Name; unique among the adapters of the base model.
    pub name: Name,
    /// Name of the base model, which has an entry in the same document.
    pub base: Name,
    /// Memory that the loaded adapter takes on a backend server, in addition to the base model.
    pub memory: MemorySize,
}
