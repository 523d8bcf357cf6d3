use std::time::Duration;

/// Rules of a [`crate::ResidencyPlanner`].
#[derive(Clone, Debug, PartialEq)]
pub struct ResidencySettings {
    /// Loads from the weight store that run at full speed at once.
    pub store_loads_at_once: usize,
    /// Time over which the weight store's rate of loads is kept.
    pub rate_window: Duration,
    /// An order without an answer may be carried out up to this much later.
    pub unanswered_order_time: Duration,
    /// How old a report's contents may be when it arrives.
    pub report_lag: Duration,
    /// How often an engine is asked for a report when nothing else asks for one.
    pub report_interval: Duration,
    /// A model that was used within this time is not unloaded.
    pub recent_use: Duration,
    /// Half-life of the measured demand.
    pub demand_half_life: Duration,
    /// Engine time that a prompt token takes, milliseconds.
    pub prompt_token_ms: f64,
    /// Engine time that an answer's token takes with several requests in a batch, milliseconds.
    pub output_token_ms: f64,
    /// Share of an engine's time that one model may fill before it gets another replica.
    pub replica_load: f64,
    /// How long an eviction is held against a load, seconds: the demand of this time pays for loading it again.
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
            prompt_token_ms: 0.02,
            output_token_ms: 0.7,
            replica_load: 0.35,
            eviction_horizon_s: 10.0,
        }
    }
}
