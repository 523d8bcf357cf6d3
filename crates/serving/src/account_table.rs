use std::collections::HashMap;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use zinniahinge_types::Name;

use crate::AccountSpec;

/// SHA-256 of a caller's key. Keys are looked up by digest, so that the time of a look-up tells nothing about a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Client accounts and the keys that they hold.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: HashMap<Name, Arc<AccountSpec>>,
    keys: HashMap<KeyDigest, Arc<AccountSpec>>,
}

impl AccountTable {
    /// Adds an account with its keys.
    pub fn insert<'a>(&mut self, spec: AccountSpec, keys: impl IntoIterator<Item = &'a str>) {
        let spec = Arc::new(spec);
        for key in keys {
            self.keys
                .insert(KeyDigest::of(key.as_bytes()), spec.clone());
        }
        self.accounts.insert(spec.name.clone(), spec);
    }

    /// True without accounts; then no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Account that holds the key.
    pub fn find_by_key(&self, digest: &KeyDigest) -> Option<&Arc<AccountSpec>> {
        self.keys.get(digest)
    }

    /// Account by name.
    pub fn get(&self, name: &str) -> Option<&Arc<AccountSpec>> {
        self.accounts.get(name)
    }

    /// All accounts, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<AccountSpec>> {
        self.accounts.values()
    }
}
