//! Maps state that has one owner to shards.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::Name;

/// Number of shards. A shard is the unit of ownership; 64 shards keep the assignment record under 4 KB.
pub const SHARD_COUNT: u16 = 64;

/// Index of a shard, below [`SHARD_COUNT`].
pub type ShardId = u16;

/// Names a piece of state that only one control process at a time may change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ResourceKey {
    /// Token bucket of a client account.
    Account {
        /// Service whose document defines the account.
        service: Name,
        /// Client account.
        account: Name,
    },
    /// Request queue and tickets of a base model.
    Model {
        /// Service whose document defines the model.
        service: Name,
        /// Base model; adapters share the queue of their base model.
        model: Name,
    },
    /// Backend servers and replicas of a service, and its permits to load weights from the weight store.
    Pool {
        /// Service whose document defines the pool.
        service: Name,
    },
    /// Idempotency record for one key that a client account sent.
    Idempotency {
        /// Client account that sent the key.
        account: Name,
        /// Value of the `Idempotency-Key` header.
        key: Name,
    },
}

impl ResourceKey {
    /// Returns the shard of this resource: the first 8 bytes of the SHA-256 of its text form, as a big-endian number
    /// modulo [`SHARD_COUNT`].
    ///
    /// Processes of different builds must agree on the result, so neither the text form nor this rule may change.
    pub fn shard(&self) -> ShardId {
        let digest = Sha256::digest(self.to_string().as_bytes());
        let mut prefix = [0_u8; 8];
        prefix.copy_from_slice(&digest[..8]);
        (u64::from_be_bytes(prefix) % u64::from(SHARD_COUNT)) as ShardId
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Account { service, account } => write!(f, "account/{service}/{account}"),
            Self::Model { service, model } => write!(f, "model/{service}/{model}"),
            Self::Pool { service } => write!(f, "pool/{service}"),
            Self::Idempotency { account, key } => write!(f, "idempotency/{account}/{key}"),
        }
    }
}
