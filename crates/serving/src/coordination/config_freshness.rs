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
///
/// A reading of a store that returned from a copy is the newest one, but doesn't show revocations of keys that the copy
/// lacks. It confirms the configuration's age, and not that its keys are unrevoked.
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    /// Microseconds since the clock's origin, plus one; [`NEVER`] before the first confirmation.
    sent_us: AtomicU64,
    /// The same, of the last reading that shows every revocation of keys before it.
    proven_us: AtomicU64,
    /// The same, of the earliest reading that shows them.
    proof_from_us: AtomicU64,
}

impl ConfigFreshness {
    /// Records that a call sent at `sent` confirmed the configuration.
    pub fn confirm(&self, sent: MonotonicTime) {
        let sent = stored_time(sent);
        self.sent_us.fetch_max(sent, Ordering::AcqRel);
        if sent >= self.proof_from_us.load(Ordering::Acquire) {
            self.proven_us.fetch_max(sent, Ordering::AcqRel);
        }
    }

    /// Lets readings prove that keys are unrevoked only if they are sent at `from` or later.
    pub fn require_proof_from(&self, from: MonotonicTime) {
        self.proof_from_us
            .store(stored_time(from), Ordering::Release);
    }

    /// Lets all further readings prove that keys are unrevoked, because the newest configuration was seen.
    pub fn accept_proof(&self) {
        self.proof_from_us.store(NEVER, Ordering::Release);
    }

    /// Time until readings prove that keys are unrevoked; `None` if one did since the store last returned from a copy.
    pub fn proof_wait(&self, now: MonotonicTime) -> Option<Duration> {
        let from = self.proof_from_us.load(Ordering::Acquire);
        let is_due = from != NEVER && self.proven_us.load(Ordering::Acquire) < from;
        is_due.then(|| Duration::from_micros(from.saturating_sub(stored_time(now))))
    }

    /// Time since the newest confirming call was sent; `None` before the first one.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        age_of(&self.sent_us, now)
    }

    /// True if a reading sent less than `limit` ago proved that no key of the configuration was revoked.
    pub fn is_fresh(&self, now: MonotonicTime, limit: Duration) -> bool {
        age_of(&self.proven_us, now).is_some_and(|age| age < limit)
    }
}

fn stored_time(time: MonotonicTime) -> u64 {
    time.since_origin().as_micros() as u64 + 1
}

fn age_of(stored: &AtomicU64, now: MonotonicTime) -> Option<Duration> {
    match stored.load(Ordering::Acquire) {
        NEVER => None,
        sent => Some(now.since(MonotonicTime::from_origin(Duration::from_micros(sent - 1)))),
    }
}
