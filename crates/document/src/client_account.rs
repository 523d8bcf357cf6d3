//! Client accounts of a service, as listed in a document.

use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

use crate::KeyDigest;
use crate::ModelGrant;

/// A client account with its keys, rate limit and permissions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name; unique among the accounts of the service.
    pub name: Name,
    /// Digests of the valid keys. There are several during a key rotation, and none if the account can't
    /// authenticate.
    pub key_digests: Vec<KeyDigest>,
    /// Refill rate of the token bucket, in tokens per second.
    pub tokens_per_second: u64,
    /// Capacity of the token bucket, in tokens.
    pub burst: u64,
    /// Most urgent priority class that the account's requests may have.
    pub class_ceiling: PriorityClass,
    /// Weight in fair queueing relative to other accounts; 1 by default.
    pub weight: u32,
    /// Grants of models and adapters.
    pub models: Vec<ModelGrant>,
    /// Prefixes of the routes that the account may use; `*` stands for all routes.
    pub routes: Vec<Name>,
}

impl ClientAccount {
    /// Returns true if a grant permits requests for `base` with `adapter`, or without an adapter if that is
    /// `None`.
    pub fn may_use_model(&self, base: &str, adapter: Option<&str>) -> bool {
        self.models.iter().any(|grant| grant.covers(base, adapter))
    }

    /// Returns true if the account may use the routes with this prefix.
    pub fn may_use_route(&self, prefix: &str) -> bool {
        self.routes
            .iter()
            .any(|route| **route == *"*" || **route == *prefix)
    }

    /// Returns the priority class that a request gets: the requested one, but none more urgent than
    /// [`Self::class_ceiling`].
    pub fn allowed_class(&self, requested: PriorityClass) -> PriorityClass {
        requested.max(self.class_ceiling)
    }
}
