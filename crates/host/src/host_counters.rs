use prometheus::Histogram;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use zinniahinge_telemetry::LATENCY_BUCKETS_S;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;

/// Metrics of the host process.
#[derive(Clone, Debug)]
pub(crate) struct HostCounters {
    /// Finished requests by outcome.
    pub(crate) requests: IntCounterVec,
    /// Sends to backend servers by outcome.
    pub(crate) sends: IntCounterVec,
    /// Rejections by backend servers that counted as "not run", by connection: new or reused.
    pub(crate) rejections: IntCounterVec,
    /// Answers of backend servers to earlier requests of a connection that came once more and were skipped.
    pub(crate) late_answers: IntCounter,
    /// Slots asked for at backend servers that get only so many requests a second, by who decided, how, and why they get no
    /// more.
    pub(crate) slots: IntCounterVec,
    /// Backend servers that limit requests, as this host knows.
    pub(crate) limited_servers: IntGauge,
    /// Backend servers that are cold, as this host knows.
    pub(crate) cold_servers: IntGauge,
    /// Backend servers with a pace, as this host knows.
    pub(crate) paced_servers: IntGauge,
    /// Data centres that are evacuated, as this host knows.
    pub(crate) evacuated_places: IntGauge,
    /// Learned time of work on the slowest server, in percent of that on the fastest; 0 if none is known.
    pub(crate) learned_spread: IntGauge,
    /// The same of the times that servers state at the moment.
    pub(crate) stated_spread: IntGauge,
    /// Questions to engines whether they still work on a request, by what the answer shows and whether the request may go
    /// on at another server.
    pub(crate) run_lookups: IntCounterVec,
    /// Requests in progress.
    pub(crate) active: IntGauge,
    /// Time in seconds from the arrival of a request to its answer, or the first event of a streamed one.
    pub(crate) first_answer: Histogram,
    /// Time in seconds that requests spent on this host before they were first sent.
    pub(crate) added: Histogram,
    /// Calls to the store without a usable answer.
    pub(crate) store_failures: IntCounter,
    /// Era of the store as of the last listing.
    pub(crate) store_era: IntGauge,
    /// Returns of the store from a copy that this host saw.
    pub(crate) era_changes: IntCounter,
    /// Orders to engines by outcome.
    pub(crate) orders: IntCounterVec,
    /// Models and adapters that were asked for in the last minute and not served, as of the last second in which this
    /// host coordinated.
    pub(crate) unserved_models: IntGauge,
    /// Seconds since the first request for the one of these that waits longest.
    pub(crate) unserved_age: IntGauge,
}

impl HostCounters {
    /// Registers all metrics; fails if a name is registered already.
    pub(crate) fn register(registry: &MetricsRegistry) -> Result<Self, MetricError> {
        Ok(Self {
            requests: registry.counter_vec(
                "host_requests_total",
                "Requests by outcome",
                &["outcome"],
            )?,
            sends: registry.counter_vec(
                "host_sends_total",
                "Sends to backend servers by outcome",
                &["outcome"],
            )?,
            rejections: registry.counter_vec(
                "host_rejections_total",
                "Rejections by backend servers by the connection they came on",
                &["connection"],
            )?,
            late_answers: registry.counter(
                "host_late_answers_total",
                "Answers to earlier requests that came again and were skipped",
            )?,
            slots: registry.counter_vec(
                "host_limit_slots_total",
                "Slots asked for at backend servers that get only so many requests a second, by source, outcome and reason",
                &["source", "outcome", "reason"],
            )?,
            limited_servers: registry.gauge(
                "host_limited_servers",
                "Backend servers that limit the requests of all hosts together",
            )?,
            cold_servers: registry.gauge(
                "host_cold_servers",
                "Backend servers that have just started and are slow",
            )?,
            paced_servers: registry.gauge(
                "host_paced_servers",
                "Backend servers whose pace the coordinator finds out",
            )?,
            evacuated_places: registry.gauge(
                "host_evacuated_places",
                "Data centres whose servers get no requests",
            )?,
            learned_spread: registry.gauge(
                "host_learned_work_spread_percent",
                "Learned time of work on the slowest backend server, in percent of that on the fastest",
            )?,
            stated_spread: registry.gauge(
                "host_stated_work_spread_percent",
                "Largest time of work that a backend server states, in percent of the smallest",
            )?,
            run_lookups: registry.counter_vec(
                "host_run_lookups_total",
                "Runs looked up at engines by evidence and permission to go on elsewhere",
                &["evidence", "may_go_on"],
            )?,
            active: registry.gauge("host_active_requests", "Requests under way")?,
            first_answer: registry.histogram(
                "host_first_answer_seconds",
                "Time from the arrival of a request to its answer or first event",
                LATENCY_BUCKETS_S,
            )?,
            added: registry.histogram(
                "host_added_seconds",
                "Time from the arrival of a request to its first send",
                LATENCY_BUCKETS_S,
            )?,
            store_failures: registry.counter(
                "host_store_failures_total",
                "Calls to the store without a usable answer",
            )?,
            store_era: registry.gauge(
                "host_store_era",
                "Era of the store at the last listing, which rises with each return from a copy",
            )?,
            era_changes: registry.counter(
                "host_store_era_changes_total",
                "Returns of the store from a copy",
            )?,
            orders: registry.counter_vec(
                "host_orders_total",
                "Orders to engines by outcome",
                &["outcome"],
            )?,
            unserved_models: registry.gauge(
                "host_unserved_models",
                "Models and adapters asked for in the last minute and not served, while this host coordinates",
            )?,
            unserved_age: registry.gauge(
                "host_unserved_oldest_seconds",
                "Time since the first request for the model or adapter that waits longest",
            )?,
        })
    }
}
