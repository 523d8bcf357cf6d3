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

/// Upper bounds of latency histograms, seconds. Dense around 0.3 ms and 1 ms, the goals for the
/// latency an entry process adds.
pub const LATENCY_BUCKETS_S: &[f64] = &[
    0.0001, 0.0002, 0.0003, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Prefix of all metric names.
const NAMESPACE: &str = "zinniahinge";

/// A metric could not be created or written.
#[derive(Debug, Error, Diagnostic)]
#[error("metric {name}: {source}")]
#[diagnostic(code(zinniahinge::metric))]
pub struct MetricError {
    /// Name without the prefix.
    pub name: String,
    source: prometheus::Error,
}

type Result<T> = std::result::Result<T, MetricError>;

/// Metrics of one process. All names get the prefix `zinniahinge_`.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    registry: Registry,
}

impl MetricsRegistry {
    /// A registry without metrics.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.add(name, IntCounter::with_opts(opts(name, help)))
    }

    /// Creates a family of counters.
    pub fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.add(name, IntCounterVec::new(opts(name, help), labels))
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.add(name, IntGauge::with_opts(opts(name, help)))
    }

    /// Creates a family of gauges.
    pub fn gauge_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.add(name, IntGaugeVec::new(opts(name, help), labels))
    }

    /// Creates a histogram with the upper bounds `buckets`.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram> {
        let opts = HistogramOpts::from(opts(name, help)).buckets(buckets.to_vec());
        self.add(name, Histogram::with_opts(opts))
    }

    /// Creates a family of histograms with the upper bounds `buckets`.
    pub fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> Result<HistogramVec> {
        let opts = HistogramOpts::from(opts(name, help)).buckets(buckets.to_vec());
        self.add(name, HistogramVec::new(opts, labels))
    }

    /// All metrics in the Prometheus text format.
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

    fn add<C>(&self, name: &str, collector: prometheus::Result<C>) -> Result<C>
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

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}
