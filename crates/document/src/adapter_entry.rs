//! Adapter of a base model.

use zinniahinge_types::Name;

use crate::MemorySize;

/// Adapter that a service offers on one of its models; callers name it `base:name`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterEntry {
    /// Name, unique among the adapters of the base model.
    pub name: Name,
    /// Model that the adapter is loaded on.
    pub base: Name,
    /// Memory that the adapter takes on a backend server.
    pub memory: MemorySize,
}
