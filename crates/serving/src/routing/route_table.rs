use std::collections::HashMap;
use std::sync::Arc;

use zinniahinge_types::Name;

use crate::RouteRule;

/// Finds the route of a request by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    rules: HashMap<Name, HashMap<Name, Arc<RouteRule>>>,
    count: usize,
}

impl RouteTable {
    /// Creates a table of `rules`. Of two rules with the same host and prefix, the later one is used.
    pub fn new(rules: impl IntoIterator<Item = RouteRule>) -> Self {
        let mut table = Self::default();
        for rule in rules {
            let by_prefix = table.rules.entry(rule.host.clone()).or_default();
            if by_prefix
                .insert(rule.prefix.clone(), Arc::new(rule))
                .is_none()
            {
                table.count += 1;
            }
        }
        table
    }

    /// Number of routes with different hosts or prefixes.
    pub fn len(&self) -> usize {
        self.count
    }

    /// True if there are no routes.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Looks up each prefix of the path that ends with a slash, so that the cost doesn't grow with the number of
    /// routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let by_prefix = self.rules.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(rule) = by_prefix.get(&path[..=slash]) {
                return Some(rule);
            }
            end = slash;
        }
        None
    }
}
