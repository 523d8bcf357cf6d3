use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Identifies a request over all sends of it. Two requests may have the same key by chance, but a request never has two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Returns the key of the request with this id.
    pub fn new(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}
