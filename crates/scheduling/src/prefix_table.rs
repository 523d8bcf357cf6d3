use std::collections::BTreeMap;
use std::collections::VecDeque;

use zinniahinge_types::Name;

/// Backend server that last got each prompt prefix. At the limit the oldest prefix is evicted.
#[derive(Clone, Debug)]
pub(crate) struct PrefixTable {
    servers: BTreeMap<u64, Name>,
    order: VecDeque<u64>,
    limit: usize,
}

impl PrefixTable {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            servers: BTreeMap::new(),
            order: VecDeque::new(),
            limit,
        }
    }

    pub(crate) fn server(&self, prefix_hash: u64) -> Option<&Name> {
        self.servers.get(&prefix_hash)
    }

    /// Records the server that got the prefix, and evicts the oldest prefix beyond the limit.
    pub(crate) fn record(&mut self, prefix_hash: u64, server: &Name) {
        if self.servers.insert(prefix_hash, server.clone()).is_none() {
            self.order.push_back(prefix_hash);
        }
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.servers.remove(&oldest);
            }
        }
    }
}
