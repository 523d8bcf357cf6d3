use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::ServerEntry;

use crate::ChooserSettings;

/// Distance of a server from this process, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ServerDistance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// A listed backend server, with counts that all threads share.
#[derive(Debug)]
pub(crate) struct TrackedServer {
    pub(crate) entry: ServerEntry,
    pub(crate) distance: ServerDistance,
    pub(crate) counts: Arc<ServerCounts>,
}

/// Requests in flight and failures of a backend server. They are kept when the server list changes.
#[derive(Debug, Default)]
pub(crate) struct ServerCounts {
    in_flight: AtomicU32,
    failures: AtomicU32,
    ejections: AtomicU32,
    /// End of the ejection in ms on the clock of this process; 0 while the server is not ejected.
    ejected_until_ms: AtomicU64,
}

impl ServerCounts {
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns true if the server may get a request. After an ejection it gets one at a time until
    /// one succeeds.
    pub(crate) fn admits(&self, now: MonotonicTime) -> bool {
        let until = self.ejected_until_ms.load(Ordering::Acquire);
        until == 0 || (millis(now) >= until && self.in_flight() == 0)
    }

    /// Counts a request as started; returns false if another thread took the only request that an
    /// ejected server may get.
    pub(crate) fn begin(&self, now: MonotonicTime) -> bool {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let until = self.ejected_until_ms.load(Ordering::Acquire);
        let admitted = until == 0 || (millis(now) >= until && before == 0);
        if !admitted {
            self.end();
        }
        admitted
    }

    /// Counts a request as started even if the server is ejected.
    pub(crate) fn begin_unconditionally(&self) {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a request as ended.
    pub(crate) fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }

    /// Resets the failure counts and ends an ejection.
    pub(crate) fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
        self.ejected_until_ms.store(0, Ordering::Release);
    }

    /// Counts a failure, and ejects the server at the limit or at the first failure after an
    /// ejection.
    pub(crate) fn record_failure(&self, settings: &ChooserSettings, now: MonotonicTime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let until = self.ejected_until_ms.load(Ordering::Acquire);
        let is_half_open = until != 0 && millis(now) >= until;
        if !is_half_open && failures < settings.ejection_failures {
            return;
        }
        let ejections = self.ejections.fetch_add(1, Ordering::Relaxed);
        let doubled = settings
            .base_ejection_time
            .saturating_mul(1 << ejections.min(10));
        let end = now + doubled.min(settings.max_ejection_time);
        self.failures.store(0, Ordering::Relaxed);
        self.ejected_until_ms
            .store(millis(end).max(1), Ordering::Release);
    }
}

fn millis(time: MonotonicTime) -> u64 {
    u64::try_from(time.since_origin().as_millis()).unwrap_or(u64::MAX)
}
