use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Value of a reading that never happened.
const NEVER: u64 = 0;

/// When the configuration was last known to be the newest.
///
/// Counts from when the confirming call was sent, on a clock that counts suspension: an answer says nothing about
/// changes after the call reached the store.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// Microseconds since the clock's origin, plus one.
    sent_us: AtomicU64,
}

impl ConfigFreshness {
    /// Records a call that was sent at `sent` and confirmed the configuration.
    pub fn confirm(&self, sent: MonotonicTime) {
        let sent = sent.since_origin().as_micros() as u64 + 1;
        self.sent_us.fetch_max(sent, Ordering::AcqRel);
    }

    /// Age of the newest confirmation; `None` before the first.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        match self.sent_us.load(Ordering::Acquire) {
            NEVER => None,
            sent => Some(now.since(MonotonicTime::from_origin(Duration::from_micros(sent - 1)))),
        }
    }

    /// True if the newest confirmation is younger than `limit`.
    pub fn is_fresh(&self, now: MonotonicTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
