use std::time::Duration;

/// Settings of a [`crate::ResidencyPlanner`].
#[derive(Clone, Debug, PartialEq)]
pub struct ResidencySettings {
    /// Initial estimate of the number of concurrent loads from the weight store that run at full speed.
    pub store_loads_at_once: usize,
    /// Window over which the weight store's rate limit on loads is kept.
    pub rate_window: Duration,
    /// Time for which an order without an answer may still be carried out.
    pub unanswered_order_time: Duration,
    /// Largest age of a report's contents when it arrives.
    pub report_lag: Duration,
    /// Shortest interval of an engine's reports when nothing else asks for one.
    pub report_interval: Duration,
    /// Time after its last use for which evicting a model is avoided.
    pub recent_use: Duration,
    /// Half-life of the decaying average of demand.
    pub demand_half_life: Duration,
    /// Period over which the waiting time that a replica saves is weighed against that of the models it displaces, seconds.
    pub eviction_horizon_s: f64,
}

impl Default for ResidencySettings {
    fn default() -> Self {
        Self {
            store_loads_at_once: 4,
            rate_window: Duration::from_secs(5),
            unanswered_order_time: Duration::from_secs(13),
            report_lag: Duration::from_millis(500),
            report_interval: Duration::from_secs(3),
            recent_use: Duration::from_millis(700),
            demand_half_life: Duration::from_secs(8),
            eviction_horizon_s: 10.0,
        }
    }
}
