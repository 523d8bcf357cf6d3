use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits of recorded latencies.
const DIGITS: u8 = 3;

/// Longest latency that is told apart, far above any deadline.
const LONGEST: Duration = Duration::from_secs(7 * 24 * 3600);

/// Latencies of requests, counted from the time at which each was meant to be sent.
///
/// A generator that falls behind, or waits for a stalled server, would hide the delay of the
/// requests that it did not send in time if it counted from the time of sending.
#[derive(Clone, Debug)]
pub struct LatencyRecord {
    histogram: Histogram<u64>,
}

/// Latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of requests.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

impl Default for LatencyRecord {
    fn default() -> Self {
        let histogram = Histogram::new(DIGITS);
        Self {
            histogram: histogram.expect("3 digits are within the library's limits"),
        }
    }
}

impl LatencyRecord {
    /// Adds a request that was meant to be sent at `intended`.
    pub fn add(&mut self, intended: Instant, finished: Instant) {
        self.add_duration(finished.saturating_duration_since(intended));
    }

    /// Adds a latency.
    pub fn add_duration(&mut self, latency: Duration) {
        let nanos = latency.min(LONGEST).as_nanos() as u64;
        // Resizes the histogram where needed, unlike the saturating method, which would clamp the
        // value to the present range. Fails only beyond the largest range.
        let _ = self.histogram.record(nanos);
    }

    /// Adds all latencies of another record.
    pub fn merge(&mut self, other: &Self) {
        // Both have the same digits and resize themselves.
        let _ = self.histogram.add(&other.histogram);
    }

    /// Number of requests.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Latency that the given share of requests does not exceed.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_nanos(self.histogram.value_at_quantile(share))
    }

    /// The figures of a report.
    pub fn summary(&self) -> LatencySummary {
        let at = |share| millis(self.quantile(share));
        LatencySummary {
            count: self.count(),
            mean_ms: self.histogram.mean() / 1e6,
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: millis(Duration::from_nanos(self.histogram.max())),
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
