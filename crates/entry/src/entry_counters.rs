//! Counters of an entry process.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

use crate::backend_client::BackendFailure;
use crate::problem::ProblemKind;

/// Buckets of the time to the first token, in seconds. The goal of 0.56 s is one of the bounds.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.01, 0.03, 0.1, 0.2, 0.3, 0.56, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];

/// Counters of an entry process.
#[derive(Clone)]
pub struct EntryCounters {
    requests: IntCounter,
    refused: IntCounterVec,
    dispatched: IntCounterVec,
    backend_failures: IntCounterVec,
    first_token: Histogram,
    open_streams: IntGauge,
    in_flight: IntGauge,
}

/// Lowers a gauge when dropped.
pub struct GaugeGuard {
    gauge: IntGauge,
}

impl GaugeGuard {
    fn raise(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self { gauge: gauge.clone() }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

impl EntryCounters {
    /// Creates the counters and registers them.
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counters = Self {
            requests: IntCounter::new("zinniahinge_requests_total", "Requests received.")?,
            refused: vec("zinniahinge_refused_total", "Requests refused.", &["filter", "problem"])?,
            dispatched: vec("zinniahinge_dispatched_total", "Requests dispatched.", &["start"])?,
            backend_failures: vec(
                "zinniahinge_backend_failures_total",
                "Failed attempts at backend servers.",
                &["failure"],
            )?,
            first_token: Histogram::with_opts(
                HistogramOpts::new("zinniahinge_first_token_seconds", "Time to the first token.")
                    .buckets(FIRST_TOKEN_BUCKETS.to_vec()),
            )?,
            open_streams: IntGauge::new("zinniahinge_open_streams", "Streams being relayed.")?,
            in_flight: IntGauge::new("zinniahinge_requests_in_flight", "Requests in flight.")?,
        };
        let Self {
            requests,
            refused,
            dispatched,
            backend_failures,
            first_token,
            open_streams,
            in_flight,
        } = counters.clone();
        registry.register(Box::new(requests))?;
        registry.register(Box::new(refused))?;
        registry.register(Box::new(dispatched))?;
        registry.register(Box::new(backend_failures))?;
        registry.register(Box::new(first_token))?;
        registry.register(Box::new(open_streams))?;
        registry.register(Box::new(in_flight))?;
        Ok(counters)
    }

    /// Counts a request until the guard is dropped.
    pub fn request(&self) -> GaugeGuard {
        self.requests.inc();
        GaugeGuard::raise(&self.in_flight)
    }

    /// Counts a refusal.
    pub fn refused(&self, filter: &str, kind: ProblemKind) {
        self.refused.with_label_values(&[filter, kind.name()]).inc();
    }

    /// Counts a dispatched request; `start` is `cold` or `warm`.
    pub fn dispatched(&self, start: &str) {
        self.dispatched.with_label_values(&[start]).inc();
    }

    /// Counts a failed attempt.
    pub fn backend_failure(&self, failure: BackendFailure) {
        self.backend_failures.with_label_values(&[&format!("{failure:?}")]).inc();
    }

    /// Notes the time to a first token.
    pub fn first_token(&self, elapsed: Duration) {
        self.first_token.observe(elapsed.as_secs_f64());
    }

    /// Counts an open stream until the guard is dropped.
    pub fn open_stream(&self) -> GaugeGuard {
        GaugeGuard::raise(&self.open_streams)
    }

    /// Requests and streams in flight.
    pub fn active(&self) -> i64 {
        self.in_flight.get() + self.open_streams.get()
    }
}

fn vec(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), labels)
}
