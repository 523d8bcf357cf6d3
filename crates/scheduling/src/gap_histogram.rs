use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

const BUCKET_COUNT: usize = 32;

/// Upper edge of the first bucket, in seconds.
const FIRST_EDGE_S: f64 = 0.25;

/// Each bucket's edge is this times the one before; 32 buckets reach 20 hours.
const BUCKET_GROWTH: f64 = 1.5;

/// Total at which all counts are halved, so that the histogram follows changes.
const HALVING_TOTAL: u32 = 128;

/// Fewer gaps than this decide nothing.
const MIN_SAMPLES: u32 = 6;

/// Idle gaps of one model in buckets of growing width; its memory is fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapHistogram {
    counts: [u16; BUCKET_COUNT],
    total: u32,
}

impl GapHistogram {
    /// Counts one gap between the end of use and the next request.
    pub fn record(&mut self, gap: Duration) {
        if self.total >= HALVING_TOTAL {
            self.halve();
        }
        self.counts[bucket_index(gap)] += 1;
        self.total += 1;
    }

    /// True if there is enough history to decide from.
    pub fn has_enough_samples(&self) -> bool {
        self.total >= MIN_SAMPLES
    }

    /// Keep-alive with the least expected cost, where a replica that is idle for a second costs 1
    /// and a cold start costs `cold_cost`.
    pub fn best_keep_alive(&self, cold_cost: f64, longest: Duration) -> Duration {
        let limit = longest.as_secs_f64();
        let edges = (0..BUCKET_COUNT)
            .map(upper_edge_s)
            .filter(|edge| *edge <= limit);
        let options = std::iter::once(0.0).chain(edges);
        let best = options.min_by(|a, b| {
            let left = self.expected_cost(*a, cold_cost);
            left.total_cmp(&self.expected_cost(*b, cold_cost))
        });
        Duration::from_secs_f64(best.unwrap_or_default())
    }

    /// Probability of a request within `horizon`, given that the model has been idle for `idle`.
    pub fn reuse_probability(&self, idle: Duration, horizon: Duration) -> f64 {
        let first = bucket_index(idle);
        let last = bucket_index(idle + horizon);
        let later: u32 = self.sum(first, BUCKET_COUNT);
        let soon: u32 = self.sum(first, last + 1);
        // One pseudo-count beyond the horizon keeps an unseen gap from looking certain to return.
        f64::from(soon) / f64::from(later + 1)
    }

    fn expected_cost(&self, keep_alive: f64, cold_cost: f64) -> f64 {
        let costs = self.counts.iter().enumerate().map(|(index, count)| {
            let gap = upper_edge_s(index);
            let cost = if gap <= keep_alive {
                gap
            } else {
                keep_alive + cold_cost
            };
            cost * f64::from(*count)
        });
        costs.sum()
    }

    fn sum(&self, from: usize, to: usize) -> u32 {
        let range = &self.counts[from..to.min(BUCKET_COUNT)];
        range.iter().map(|count| u32::from(*count)).sum()
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.sum(0, BUCKET_COUNT);
    }
}

fn upper_edge_s(index: usize) -> f64 {
    FIRST_EDGE_S * BUCKET_GROWTH.powi(index as i32)
}

fn bucket_index(gap: Duration) -> usize {
    let ratio = gap.as_secs_f64() / FIRST_EDGE_S;
    if ratio <= 1.0 {
        return 0;
    }
    let index = (ratio.ln() / BUCKET_GROWTH.ln()).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}
