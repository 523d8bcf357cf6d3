//! Counters of an entry process.

use std::time::Duration;

use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use zinniahinge_telemetry::LATENCY_BUCKETS_S;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;

use crate::backend_client::BackendFailure;
use crate::problem::ProblemKind;

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
        Self {
            gauge: gauge.clone(),
        }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

impl EntryCounters {
    /// Creates the counters and registers them.
    pub fn register(registry: &MetricsRegistry) -> Result<Self, MetricError> {
        Ok(Self {
            requests: registry.counter("requests_total", "Requests received.")?,
            refused: registry.counter_vec(
                "refused_total",
                "Requests refused.",
                &["filter", "problem"],
            )?,
            dispatched: registry.counter_vec(
                "dispatched_total",
                "Requests dispatched.",
                &["start"],
            )?,
            backend_failures: registry.counter_vec(
                "backend_failures_total",
                "Failed attempts at backend servers.",
                &["failure"],
            )?,
            first_token: registry.histogram(
                "first_token_seconds",
                "Time from sending a request to its first token.",
                LATENCY_BUCKETS_S,
            )?,
            open_streams: registry.gauge("open_streams", "Streams being relayed.")?,
            in_flight: registry.gauge("requests_in_flight", "Requests in flight.")?,
        })
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
        self.backend_failures
            .with_label_values(&[&format!("{failure:?}")])
            .inc();
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
