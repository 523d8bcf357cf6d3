use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;

use crate::SentParts;

/// Time for which a server is avoided after it gave this host no answer.
const AVOID_TIME: Duration = Duration::from_millis(1500);

/// Load that a backend server stated with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// What this host knows of the load of one run of a backend server.
#[derive(Debug, Default)]
pub struct BackendLoad {
    in_flight: AtomicU32,
    pending_tokens: AtomicU64,
    others_in_flight: AtomicU32,
    others_pending: AtomicU64,
    is_suspect: AtomicBool,
    avoid_until_us: AtomicU64,
    succeeded: AtomicU32,
    failed: AtomicU32,
    stated: Mutex<Option<(LoadSample, MonotonicTime)>>,
    parts: Mutex<SentParts>,
}

impl BackendLoad {
    /// Requests of this host on the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Prompt tokens of this host's requests that have no first event yet.
    pub fn pending_tokens(&self) -> u64 {
        self.pending_tokens.load(Ordering::Relaxed)
    }

    /// Requests of all hosts, as far as known.
    pub fn fleet_in_flight(&self) -> u32 {
        self.in_flight()
            .saturating_add(self.others_in_flight.load(Ordering::Relaxed))
    }

    /// Prompt tokens of all hosts' requests without a first event, as far as known.
    pub fn fleet_pending_tokens(&self) -> u64 {
        self.pending_tokens()
            .saturating_add(self.others_pending.load(Ordering::Relaxed))
    }

    /// Takes in what the other hosts together have on the server.
    pub fn set_others(&self, in_flight: u32, pending_tokens: u64, is_suspect: bool) {
        self.others_in_flight.store(in_flight, Ordering::Relaxed);
        self.others_pending.store(pending_tokens, Ordering::Relaxed);
        self.is_suspect.store(is_suspect, Ordering::Relaxed);
    }

    /// True if the fleet sees the server fail more often than its peers.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect.load(Ordering::Relaxed)
    }

    /// Takes in what the server states with an answer.
    pub fn record_sample(&self, sample: LoadSample, now: MonotonicTime) {
        *self.stated.lock().unwrap_or_else(PoisonError::into_inner) = Some((sample, now));
    }

    /// What the server stated last, if that is younger than `limit`.
    pub fn recent_sample(&self, now: MonotonicTime, limit: Duration) -> Option<LoadSample> {
        let stated = self.stated.lock().unwrap_or_else(PoisonError::into_inner);
        let (sample, at) = (*stated)?;
        (now.since(at) < limit).then_some(sample)
    }

    /// Counts a request that the server answered.
    pub fn count_success(&self) {
        self.succeeded.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that the server failed.
    pub fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Avoids the server for a while: it could not be reached, or left a request unanswered.
    pub fn avoid(&self, now: MonotonicTime) {
        let until = (now + AVOID_TIME).since_origin().as_micros() as u64;
        self.avoid_until_us.fetch_max(until, Ordering::Relaxed);
    }

    /// True while the server is avoided.
    pub fn is_avoided(&self, now: MonotonicTime) -> bool {
        let now = now.since_origin().as_micros() as u64;
        now < self.avoid_until_us.load(Ordering::Relaxed)
    }

    /// Answered and failed requests since the last call.
    pub fn take_outcomes(&self) -> (u32, u32) {
        (
            self.succeeded.swap(0, Ordering::Relaxed),
            self.failed.swap(0, Ordering::Relaxed),
        )
    }

    /// Calls `use_parts` with the prompt parts that this host sent to the server.
    pub fn with_sent_parts<T>(&self, use_parts: impl FnOnce(&mut SentParts) -> T) -> T {
        use_parts(&mut self.parts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts a request on a server until it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    load: Arc<BackendLoad>,
    tokens: u64,
}

impl LoadGuard {
    /// Counts a request whose prompt has `tokens`.
    pub fn new(load: Arc<BackendLoad>, tokens: u64) -> Self {
        load.in_flight.fetch_add(1, Ordering::Relaxed);
        load.pending_tokens.fetch_add(tokens, Ordering::Relaxed);
        Self { load, tokens }
    }

    /// Load of the server.
    pub fn load(&self) -> &Arc<BackendLoad> {
        &self.load
    }

    /// The prompt was read: the first event arrived.
    pub fn finish_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.tokens);
        self.load
            .pending_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
