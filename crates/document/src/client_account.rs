//! Client account of a service.

use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

use crate::KeyDigest;
use crate::ModelGrant;

/// Client account with its keys, its rate and what it may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name, unique in the service.
    pub name: Name,
    /// Digests of the keys in use. There are several while keys rotate.
    pub key_digests: Vec<KeyDigest>,
    /// Rate of the token bucket, tokens per second.
    pub tokens_per_second: u64,
    /// Size of the token bucket, tokens.
    pub burst: u64,
    /// Most urgent class that the account's requests may have.
    pub class_ceiling: PriorityClass,
    /// Share in fair queueing relative to other accounts, 1 unless stated.
    pub weight: u32,
    /// Models and adapters that the account may use.
    pub models: Vec<ModelGrant>,
    /// Prefixes of the routes that the account may use, or `*`.
    pub routes: Vec<Name>,
}

impl ClientAccount {
    /// Whether the account may send a request to `base`, with `adapter` if one is named.
    pub fn may_use_model(&self, base: &str, adapter: Option<&str>) -> bool {
        self.models.iter().any(|grant| grant.covers(base, adapter))
    }

    /// Whether the account may use the route with this prefix.
    pub fn may_use_route(&self, prefix: &str) -> bool {
        self.routes
            .iter()
            .any(|route| **route == *"*" || **route == *prefix)
    }

    /// Class of a request: the asked one, lowered to the account's ceiling.
    pub fn allowed_class(&self, asked: PriorityClass) -> PriorityClass {
        asked.max(self.class_ceiling)
    }
}
