use std::time::Duration;

use zinniahinge_types::AnswerCounts;
use zinniahinge_types::MonotonicTime;

/// Time in which the weight of an answer falls to a third.
const WEIGHT_TIME: Duration = Duration::from_secs(3);

/// Answers of the servers of one service that have no pace, the newest with most weight.
#[derive(Debug, Default)]
pub(crate) struct PeerAnswers {
    answered: f64,
    late: f64,
    goal_permille: f64,
    aged_at: MonotonicTime,
}

impl PeerAnswers {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            aged_at: now,
            ..Self::default()
        }
    }

    /// Adds answers that a host reported.
    pub(crate) fn record(&mut self, counts: &AnswerCounts) {
        self.answered += f64::from(counts.answered());
        self.late += f64::from(counts.late);
        self.goal_permille += counts.goal_permille as f64;
    }

    /// Lowers the weight of older answers.
    pub(crate) fn age(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.aged_at).as_secs_f64();
        let weight = (-elapsed / WEIGHT_TIME.as_secs_f64()).exp();
        self.aged_at = now;
        self.answered *= weight;
        self.late *= weight;
        self.goal_permille *= weight;
    }

    /// Share of late answers, 0 to 1.
    pub(crate) fn late_share(&self) -> f64 {
        self.late / self.answered.max(1.0)
    }

    /// Mean time of an answer in thousandths of its route's goal; `None` without answers.
    pub(crate) fn goal_permille(&self) -> Option<f64> {
        (self.answered >= 1.0).then(|| self.goal_permille / self.answered)
    }

    /// Answers a second of each of `servers` servers.
    pub(crate) fn rate(&self, servers: usize) -> f64 {
        self.answered / WEIGHT_TIME.as_secs_f64() / servers.max(1) as f64
    }
}
