//! Document in the form that requests are looked up in.

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

/// Document with its lookup tables.
#[derive(Clone, Debug)]
pub struct CompiledDocument {
    document: ServiceDocument,
    models: HashMap<Name, usize>,
    adapters: HashMap<Name, HashMap<Name, usize>>,
    accounts: HashMap<Name, usize>,
    /// Indexes of the routes, longest prefix first.
    routes: Vec<usize>,
    digests: Vec<DigestEntry>,
}

/// Key digest and the index of its account.
#[derive(Clone, Copy, Debug)]
struct DigestEntry {
    digest: KeyDigest,
    account: u32,
}

impl CompiledDocument {
    /// Reads, checks and compiles a document.
    pub fn parse(text: &str) -> Result<Self> {
        ServiceDocument::parse(text).map(Self::new)
    }

    /// Compiles a checked document.
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

    /// The document itself.
    pub fn document(&self) -> &ServiceDocument {
        &self.document
    }

    /// Account whose key has this SHA-256 digest.
    ///
    /// Compares with every digest in constant time, so that the time reveals neither how much of a
    /// digest matched nor which account it belongs to.
    pub fn account_by_digest(&self, digest: &[u8; 32]) -> Option<&ClientAccount> {
        let mut found = u32::MAX;
        for entry in &self.digests {
            found.conditional_assign(&entry.account, entry.digest.matches(digest));
        }
        self.document.accounts.get(usize::try_from(found).ok()?)
    }

    /// Account by name.
    pub fn account(&self, name: &str) -> Option<&ClientAccount> {
        let index = *self.accounts.get(name)?;
        self.document.accounts.get(index)
    }

    /// Base model by name.
    pub fn model(&self, name: &str) -> Option<&ModelEntry> {
        let index = *self.models.get(name)?;
        self.document.models.get(index)
    }

    /// Adapter by base model and name.
    pub fn adapter(&self, base: &str, name: &str) -> Option<&AdapterEntry> {
        let index = *self.adapters.get(base)?.get(name)?;
        self.document.adapters.get(index)
    }

    /// Route of a request; `path` comes without the query.
    ///
    /// The longest prefix that covers the path decides, whatever its methods, so that a request
    /// with an unlisted method never falls through to a shorter route with other access.
    pub fn route(&self, method: &str, path: &str) -> Option<&ServiceRoute> {
        self.routes_at(path).find(|route| route.allows(method))
    }

    /// Routes with the longest prefix that covers `path`; they differ in their methods.
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
