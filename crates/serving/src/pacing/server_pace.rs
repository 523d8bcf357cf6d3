use std::time::Duration;

use zinniahinge_types::AnswerCounts;
use zinniahinge_types::MonotonicTime;

use crate::PaceEnd;
use crate::PaceStart;
use crate::pacing::peer_answers::PeerAnswers;

/// Shortest time between two changes of a pace.
const STEP_INTERVAL: Duration = Duration::from_millis(400);

/// Number of slots in the shortest step of a slow pace, so that an answer to one is in time for the step's end.
const STEP_SLOTS: f64 = 1.2;

/// Factors by which a pace grows and falls in a step.
const GROWTH: f64 = 1.5;
const FALL: f64 = 0.5;

/// Lowest pace, requests a second: enough to find out whether the server answers.
pub(crate) const MIN_PACE: f64 = 1.0;

/// Share of requests that were rejected or failed from which a pace falls.
const LOST_SHARE: f64 = 0.2;

/// Number and share of late answers from which a pace falls: more than one by chance. Those of earlier steps count half of what
/// they did a step before.
const MIN_LATE: f64 = 1.2;
const LATE_SHARE: f64 = 0.5;
const EARLIER_WEIGHT: f64 = 0.5;

/// Times of answers beyond which a pace doesn't grow: in multiples of those of peers, if they also take this many thousandths
/// of their goals.
const SLOW_FACTOR: f64 = 2.0;
const SLOW_PERMILLE: f64 = 250.0;

/// Share of the pace that has to be asked for so that it grows, and below which it is more than what is asked for.
const FULL_SHARE: f64 = 0.6;
const SUFFICIENT_SHARE: f64 = 0.5;

/// Answers in time, and time without trouble, after which a pace may end.
const PROVEN_ANSWERS: u32 = 5;
const PROVEN_TIME: Duration = Duration::from_millis(1500);

/// Longest time of a pace without trouble.
const MAX_PACE_TIME: Duration = Duration::from_secs(20);

/// Pace of one run of a server.
#[derive(Debug)]
pub(crate) struct ServerPace {
    pub(crate) per_s: f64,
    pub(crate) start: PaceStart,
    /// When there last was trouble, or the pace began.
    trouble_at: MonotonicTime,
    stepped_at: MonotonicTime,
    /// Answers and slots asked for since the last step.
    counts: AnswerCounts,
    asked: u32,
    /// Answers, and late ones among them, of this step and earlier ones.
    recent_answered: f64,
    recent_late: f64,
    /// Answers in time since the last trouble.
    proven: u32,
}

impl ServerPace {
    pub(crate) fn new(per_s: f64, start: PaceStart, now: MonotonicTime) -> Self {
        Self {
            per_s: per_s.max(MIN_PACE),
            start,
            trouble_at: now,
            stepped_at: now,
            counts: AnswerCounts::default(),
            asked: 0,
            recent_answered: 0.0,
            recent_late: 0.0,
            proven: 0,
        }
    }

    /// Adds answers that a host reported.
    pub(crate) fn record(&mut self, counts: &AnswerCounts) {
        self.counts.add(counts);
    }

    /// Counts a slot that was asked for, granted or not.
    pub(crate) fn record_ask(&mut self) {
        self.asked = self.asked.saturating_add(1);
    }

    /// Changes the pace if a step is due; returns why it ends, if it does. `bound` is what the server may get for other
    /// reasons.
    pub(crate) fn step(
        &mut self,
        peers: &PeerAnswers,
        bound: Option<f64>,
        now: MonotonicTime,
    ) -> Option<PaceEnd> {
        let elapsed = now.since(self.stepped_at);
        if elapsed < STEP_INTERVAL.max(Duration::from_secs_f64(STEP_SLOTS / self.per_s)) {
            return None;
        }
        let counts = std::mem::take(&mut self.counts);
        let asked = std::mem::take(&mut self.asked);
        let asked_per_s = f64::from(asked) / elapsed.as_secs_f64();
        self.stepped_at = now;
        self.recent_answered = self.recent_answered * EARLIER_WEIGHT + f64::from(counts.answered());
        self.recent_late = self.recent_late * EARLIER_WEIGHT + f64::from(counts.late);
        if is_lost(&counts) || self.is_late(peers) {
            self.per_s = (self.per_s * FALL).max(MIN_PACE);
            self.trouble_at = now;
            self.proven = 0;
            return None;
        }
        self.proven = self.proven.saturating_add(counts.in_time);
        let is_full = asked_per_s >= self.per_s * FULL_SHARE;
        if is_full && counts.answered() > 0 && !is_slow(&counts, peers) {
            self.per_s *= GROWTH;
        }
        self.per_s = bound.map_or(self.per_s, |bound| self.per_s.min(bound.max(MIN_PACE)));
        let calm = now.since(self.trouble_at);
        if calm >= MAX_PACE_TIME {
            return Some(PaceEnd::Expired);
        }
        let is_proven = self.proven >= PROVEN_ANSWERS && calm >= PROVEN_TIME;
        let is_sufficient = asked_per_s < self.per_s * SUFFICIENT_SHARE;
        (is_proven && is_sufficient).then_some(PaceEnd::Sufficient)
    }

    /// True if too many requests were answered late; peers that are as late excuse that.
    fn is_late(&self, peers: &PeerAnswers) -> bool {
        let late = self.recent_late - self.recent_answered * peers.late_share();
        late >= MIN_LATE && late >= self.recent_answered * LATE_SHARE
    }
}

/// True if too many requests were rejected or failed.
fn is_lost(counts: &AnswerCounts) -> bool {
    let lost = f64::from(counts.rejected) + f64::from(counts.missing);
    let all = f64::from(counts.answered()) + lost;
    lost > 0.0 && lost >= all * LOST_SHARE
}

/// True if answers take much longer than those of peers.
fn is_slow(counts: &AnswerCounts, peers: &PeerAnswers) -> bool {
    let mean = counts.goal_permille as f64 / f64::from(counts.answered().max(1));
    let usual = peers.goal_permille();
    mean > SLOW_PERMILLE && usual.is_some_and(|usual| mean > usual * SLOW_FACTOR)
}
