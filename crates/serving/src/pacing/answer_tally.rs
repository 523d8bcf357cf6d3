use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use zinniahinge_types::AnswerCounts;

/// Counts how a run of a server answers this host, between two reports. Counts nothing unless the service has paces.
///
/// All methods may be called from several threads at once.
#[derive(Debug, Default)]
pub struct AnswerTally {
    is_used: AtomicBool,
    in_time: AtomicU32,
    late: AtomicU32,
    rejected: AtomicU32,
    missing: AtomicU32,
    goal_permille: AtomicU64,
}

impl AnswerTally {
    /// Starts or stops counting.
    pub fn set_used(&self, is_used: bool) {
        self.is_used.store(is_used, Ordering::Relaxed);
    }

    /// Counts an answer, or the first event of a stream, that took `time` on a route with this goal.
    pub fn count_answer(&self, time: Duration, goal: Duration) {
        if !self.is_used() {
            return;
        }
        let counter = if time <= goal {
            &self.in_time
        } else {
            &self.late
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let goal = goal.max(Duration::from_millis(1));
        let permille = time.as_micros().saturating_mul(1000) / goal.as_micros();
        self.goal_permille
            .fetch_add(permille as u64, Ordering::Relaxed);
    }

    /// Counts a request that the server rejected because it was full.
    pub fn count_rejection(&self) {
        if self.is_used() {
            self.rejected.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a request that failed because of the server.
    pub(crate) fn count_missing(&self) {
        if self.is_used() {
            self.missing.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the counts since the last call for the run that began at `born_ms`; `None` if there are none.
    pub fn take(&self, born_ms: u64) -> Option<AnswerCounts> {
        if !self.is_used() {
            return None;
        }
        let counts = AnswerCounts {
            born_ms,
            in_time: self.in_time.swap(0, Ordering::Relaxed),
            late: self.late.swap(0, Ordering::Relaxed),
            rejected: self.rejected.swap(0, Ordering::Relaxed),
            missing: self.missing.swap(0, Ordering::Relaxed),
            goal_permille: self.goal_permille.swap(0, Ordering::Relaxed),
        };
        let is_empty = counts.answered() + counts.rejected + counts.missing == 0;
        (!is_empty).then_some(counts)
    }

    fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }
}
