use crate::RequestKey;

/// Number of keys after which a connection is not kept, so that the memory of each stays below 4 KiB.
const MAX_KEYS: usize = 256;

/// Keys of all requests that one connection has carried.
#[derive(Debug, Default)]
pub(crate) struct CarriedKeys(Vec<RequestKey>);

impl CarriedKeys {
    /// Returns true if the connection has carried the request.
    pub(crate) fn contains(&self, key: RequestKey) -> bool {
        self.0.contains(&key)
    }

    /// Records that the request is about to be written to the connection.
    pub(crate) fn insert(&mut self, key: RequestKey) {
        self.0.push(key);
    }

    /// Returns true if the connection can't record further requests and must be closed.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_KEYS
    }
}
