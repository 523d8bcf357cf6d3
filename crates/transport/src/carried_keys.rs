use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::RequestKey;

/// Number of keys after which a connection is not kept, so that the memory of each stays below 4 KiB.
const MAX_KEYS: usize = 256;

/// Keys of all requests that one connection has carried. Clones share the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct CarriedKeys(Arc<Mutex<Vec<CarriedKey>>>);

#[derive(Clone, Copy, Debug)]
struct CarriedKey {
    key: RequestKey,
    /// False if its answer has no body whatever length it states, as that to HEAD.
    has_body: bool,
}

impl CarriedKeys {
    fn lock(&self) -> MutexGuard<'_, Vec<CarriedKey>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of requests so far.
    pub(crate) fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns true if the connection has carried the request.
    pub(crate) fn contains(&self, key: RequestKey) -> bool {
        self.lock().iter().any(|carried| carried.key == key)
    }

    /// Returns true if the connection has carried the request before the present one, and an answer to it has the body
    /// whose length it states.
    pub(crate) fn is_earlier(&self, key: RequestKey) -> bool {
        let keys = self.lock();
        let Some((last, earlier)) = keys.split_last() else {
            return false;
        };
        let mut same = earlier.iter().filter(|carried| carried.key == key);
        last.key != key && same.next().is_some_and(|carried| carried.has_body)
    }

    /// Records that the request is about to be written to the connection.
    pub(crate) fn insert(&self, key: RequestKey, has_body: bool) {
        self.lock().push(CarriedKey { key, has_body });
    }

    /// Returns true if the connection can't record further requests and must be closed.
    pub(crate) fn is_full(&self) -> bool {
        self.count() >= MAX_KEYS
    }
}
