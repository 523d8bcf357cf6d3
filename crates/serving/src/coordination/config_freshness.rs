use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Stored value before the first confirmation.
const NEVER: u64 = 0;

/// Records when the configuration was last confirmed to be the newest.
///
/// The age counts from when the confirming call was sent, because its answer says nothing about changes made after the
/// call reached the store. The clock must advance while the machine is suspended.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// Microseconds since the clock's origin, plus one; [`NEVER`] before the first confirmation.
    sent_us: AtomicU64,
}

impl ConfigFreshness {
    /// Records that a call sent at `sent` confirmed the configuration.
    pub fn confirm(&self, sent: MonotonicTime) {
        let sent = sent.since_origin().as_micros() as u64 + 1;
        self.sent_us.fetch_max(sent, Ordering::AcqRel);
    }

    /// Time since the newest confirming call was sent; `None` before the first one.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        match self.sent_us.load(Ordering::Acquire) {
            NEVER => None,
            sent => Some(now.since(MonotonicTime::from_origin(Duration::from_micros(sent - 1)))),
        }
    }

    /// True if the configuration was confirmed less than `limit` ago.
    pub fn is_fresh(&self, now: MonotonicTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
