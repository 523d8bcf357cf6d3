use std::collections::HashMap;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use zinniahinge_types::Name;

use crate::AccountSpec;

/// SHA-256 of a caller's key. Looking keys up by digest keeps the time of a look-up independent of how much of a key
/// matches.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Client accounts with the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: HashMap<Name, Arc<AccountSpec>>,
    keys: HashMap<KeyDigest, Arc<AccountSpec>>,
}

impl AccountTable {
    /// Adds an account with its keys. An account of the same name is replaced, but its keys stay.
    pub fn insert<'a>(&mut self, spec: AccountSpec, keys: impl IntoIterator<Item = &'a str>) {
        let spec = Arc::new(spec);
        for key in keys {
            self.keys
                .insert(KeyDigest::of(key.as_bytes()), spec.clone());
        }
        self.accounts.insert(spec.name.clone(), spec);
    }

    /// True if there are no accounts, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The account that the key belongs to.
    pub fn find_by_key(&self, digest: &KeyDigest) -> Option<&Arc<AccountSpec>> {
        self.keys.get(digest)
    }

    /// The account of that name.
    pub fn get(&self, name: &str) -> Option<&Arc<AccountSpec>> {
        self.accounts.get(name)
    }

    /// All accounts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<AccountSpec>> {
        self.accounts.values()
    }
}
