use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

const BUCKET_COUNT: usize = 32;

/// Upper edge of the first bucket.
const FIRST_EDGE_S: f64 = 0.25;

/// Ratio between the upper edges of neighbouring buckets; 32 buckets reach 20 hours.
const BUCKET_GROWTH: f64 = 1.5;

/// Number of samples at which all counts are halved, so that the histogram follows changes.
const HALVING_TOTAL: u32 = 128;

/// Least number of samples for a decision.
const MIN_SAMPLES: u32 = 6;

/// Histogram of one model's idle gaps, in a fixed number of buckets of growing width.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapHistogram {
    counts: [u16; BUCKET_COUNT],
    total: u32,
}

impl GapHistogram {
    /// Adds one gap between the end of the last activity and the next request.
    pub fn record(&mut self, gap: Duration) {
        if self.total >= HALVING_TOTAL {
            self.halve();
        }
        self.counts[bucket_index(gap)] += 1;
        self.total += 1;
    }

    /// Returns true if there are enough samples for a decision.
    pub fn has_enough_samples(&self) -> bool {
        self.total >= MIN_SAMPLES
    }

    /// Returns the keep-alive up to `longest` with the least expected cost, where one idle second
    /// costs 1 and a cold start costs `cold_cost`.
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

    /// Returns the probability of a request within `horizon`, given that the model has been idle
    /// for `idle`.
    pub fn reuse_probability(&self, idle: Duration, horizon: Duration) -> f64 {
        let first = bucket_index(idle);
        let last = bucket_index(idle + horizon);
        let later: u32 = self.sum(first, BUCKET_COUNT);
        let soon: u32 = self.sum(first, last + 1);
        // One extra count beyond the horizon keeps the probability below 1 for gaps without later
        // samples.
        f64::from(soon) / f64::from(later + 1)
    }

    /// Returns the cost of a keep-alive summed over all samples, in idle seconds.
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

    /// Halves all counts; single samples are rounded away.
    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.sum(0, BUCKET_COUNT);
    }
}

/// Returns the upper edge of a bucket.
fn upper_edge_s(index: usize) -> f64 {
    FIRST_EDGE_S * BUCKET_GROWTH.powi(index as i32)
}

/// Returns the bucket of a gap; the last one also counts all longer gaps.
fn bucket_index(gap: Duration) -> usize {
    let ratio = gap.as_secs_f64() / FIRST_EDGE_S;
    if ratio <= 1.0 {
        return 0;
    }
    let index = (ratio.ln() / BUCKET_GROWTH.ln()).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}
