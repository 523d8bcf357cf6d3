//! Indexes a document for the lookups that each request needs.

use std::collections::HashMap;

use subtle::ConditionallySelectable;
use zinniahinge_types::Name;

use crate::AdapterEntry;
use crate::ClientAccount;
use crate::KeyDigest;
use crate::ModelEntry;
use crate::Result;
use crate::ServiceDocument;
use crate::ServiceRoute;
use crate::normalize_path;

/// A validated document with indexes for request lookups.
#[derive(Clone, Debug)]
pub struct CompiledDocument {
    document: ServiceDocument,
    models: HashMap<Name, usize>,
    adapters: HashMap<Name, HashMap<Name, usize>>,
    accounts: HashMap<Name, usize>,
    /// Indexes of the document's routes, longest prefix first.
    routes: Vec<usize>,
    digests: Vec<DigestEntry>,
}

/// A key digest with the index of its account in the document.
#[derive(Clone, Copy, Debug)]
struct DigestEntry {
    digest: KeyDigest,
    account: u32,
}

impl CompiledDocument {
    /// Parses, validates and indexes a document. The error lists every fault.
    pub fn parse(text: &str) -> Result<Self> {
        ServiceDocument::parse(text).map(Self::new)
    }

    /// Indexes a document that has been validated.
    pub fn new(document: ServiceDocument) -> Self {
        let mut adapters: HashMap<Name, HashMap<Name, usize>> = HashMap::new();
        for (index, adapter) in document.adapters.iter().enumerate() {
            let by_name = adapters.entry(adapter.base.clone()).or_default();
            by_name.insert(adapter.name.clone(), index);
        }
        let mut routes: Vec<usize> = (0..document.routes.len()).collect();
        routes.sort_by_key(|&index| std::cmp::Reverse(document.routes[index].prefix.len()));
        Self {
            models: index_by_name(document.models.iter().map(|model| &model.name)),
            accounts: index_by_name(document.accounts.iter().map(|account| &account.name)),
            digests: digest_entries(&document.accounts),
            adapters,
            routes,
            document,
        }
    }

    /// Returns the indexed document.
    pub fn document(&self) -> &ServiceDocument {
        &self.document
    }

    /// Returns the account whose key has this SHA-256 digest.
    ///
    /// Compares every digest of the document in constant time, so that the response time reveals
    /// neither how many bytes of a digest match nor which account it belongs to.
    pub fn account_by_digest(&self, digest: &[u8; 32]) -> Option<&ClientAccount> {
        let mut account_index = u32::MAX;
        for entry in &self.digests {
            account_index.conditional_assign(&entry.account, entry.digest.matches(digest));
        }
        self.document
            .accounts
            .get(usize::try_from(account_index).ok()?)
    }

    /// Returns the account with this name.
    pub fn account(&self, name: &str) -> Option<&ClientAccount> {
        let index = *self.accounts.get(name)?;
        self.document.accounts.get(index)
    }

    /// Returns the base model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelEntry> {
        let index = *self.models.get(name)?;
        self.document.models.get(index)
    }

    /// Returns the adapter `name` of the base model `base`.
    pub fn adapter(&self, base: &str, name: &str) -> Option<&AdapterEntry> {
        let index = *self.adapters.get(base)?.get(name)?;
        self.document.adapters.get(index)
    }

    /// Returns the route of a request; `path` excludes the query string.
    ///
    /// Only routes with the longest matching prefix are considered. If none of them lists `method`,
    /// the result is `None`: the request must not fall through to a shorter prefix, whose access
    /// rules may differ.
    pub fn route(&self, method: &str, path: &str) -> Option<&ServiceRoute> {
        self.routes_at(path).find(|route| route.allows(method))
    }

    /// Returns the routes with the longest prefix that matches `path`; their methods don't overlap. Empty
    /// if no prefix matches or [`normalize_path`] refuses the path.
    pub fn routes_at(&self, path: &str) -> impl Iterator<Item = &ServiceRoute> {
        let path = normalize_path(path);
        let covers = |route: &ServiceRoute| path.as_deref().is_some_and(|path| route.covers(path));
        let by_length = || {
            self.routes
                .iter()
                .map(|&index| &self.document.routes[index])
        };
        let longest = by_length().find(|route| covers(route));
        by_length().filter(move |route| longest.is_some_and(|first| first.prefix == route.prefix))
    }
}

fn index_by_name<'a>(names: impl Iterator<Item = &'a Name>) -> HashMap<Name, usize> {
    let numbered = names.enumerate();
    numbered
        .map(|(index, name)| (name.clone(), index))
        .collect()
}

fn digest_entries(accounts: &[ClientAccount]) -> Vec<DigestEntry> {
    let numbered = (0_u32..).zip(accounts);
    let entries = numbered.flat_map(|(account, entry)| {
        let digests = entry.key_digests.iter();
        digests.map(move |&digest| DigestEntry { digest, account })
    });
    entries.collect()
}
