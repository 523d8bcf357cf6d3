use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use zinniahinge_types::StoreEra;

/// Records the newest era of the store that this process has seen, in answers of the store or in messages of other hosts.
#[derive(Debug, Default)]
pub struct StoreEraRecord {
    newest: AtomicU64,
    is_known: AtomicBool,
    has_risen: AtomicBool,
}

impl StoreEraRecord {
    /// Records that `era` was seen. Returns false if a newer one is known, so that what came with it is void.
    pub fn observe(&self, era: StoreEra) -> bool {
        let before = self.newest.fetch_max(era.0, Ordering::AcqRel);
        let was_known = self.is_known.swap(true, Ordering::AcqRel);
        if was_known && before < era.0 {
            self.has_risen.store(true, Ordering::Release);
        }
        before <= era.0
    }

    /// The newest era seen; era 0 before the first one.
    pub fn newest(&self) -> StoreEra {
        StoreEra(self.newest.load(Ordering::Acquire))
    }

    /// True if the era has risen since this process first saw one.
    pub fn has_risen(&self) -> bool {
        self.has_risen.load(Ordering::Acquire)
    }
}
