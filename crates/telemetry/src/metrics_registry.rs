use miette::Diagnostic;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use thiserror::Error;

/// Upper bounds of latency histograms in seconds. They are dense around 0.3 ms and 1 ms, the targets for the latency
/// that an entry process adds.
pub const LATENCY_BUCKETS_S: &[f64] = &[
    0.0001, 0.0002, 0.0003, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Prefix of all metric names, followed by an underscore.
const NAMESPACE: &str = "zinniahinge";

/// Reports that a metric could not be created, registered or encoded.
#[derive(Debug, Error, Diagnostic)]
#[error("metric {name}: {source}")]
#[diagnostic(code(zinniahinge::metric))]
pub struct MetricError {
    /// Name of the metric without the prefix; `exposition` if encoding all metrics failed.
    pub name: String,
    source: prometheus::Error,
}

type Result<T> = std::result::Result<T, MetricError>;

/// Holds the Prometheus metrics of one process. All names get the prefix `zinniahinge_`.
///
/// Creating a metric fails if its name is invalid or already registered.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    registry: Registry,
}

impl MetricsRegistry {
    /// Creates a registry without metrics.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates and registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.register(name, IntCounter::with_opts(metric_opts(name, help)))
    }

    /// Creates and registers a family of counters, one for each combination of label values.
    pub fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.register(name, IntCounterVec::new(metric_opts(name, help), labels))
    }

    /// Creates and registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(name, IntGauge::with_opts(metric_opts(name, help)))
    }

    /// Creates and registers a family of gauges, one for each combination of label values.
    pub fn gauge_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.register(name, IntGaugeVec::new(metric_opts(name, help), labels))
    }

    /// Creates and registers a histogram with the upper bounds `buckets`.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram> {
        let opts = HistogramOpts::from(metric_opts(name, help)).buckets(buckets.to_vec());
        self.register(name, Histogram::with_opts(opts))
    }

    /// Creates and registers a family of histograms with the upper bounds `buckets`.
    pub fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> Result<HistogramVec> {
        let opts = HistogramOpts::from(metric_opts(name, help)).buckets(buckets.to_vec());
        self.register(name, HistogramVec::new(opts, labels))
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|source| MetricError {
                name: "exposition".to_owned(),
                source,
            })?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    fn register<C>(&self, name: &str, collector: prometheus::Result<C>) -> Result<C>
    where
        C: Collector + Clone + 'static,
    {
        let error = |source| MetricError {
            name: name.to_owned(),
            source,
        };
        let collector = collector.map_err(error)?;
        self.registry
            .register(Box::new(collector.clone()))
            .map_err(error)?;
        Ok(collector)
    }
}

fn metric_opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}
