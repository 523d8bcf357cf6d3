use std::time::Duration;

use crate::EvictionRule;
use crate::KeepAliveRule;
use crate::LoadOrder;
use crate::PermitScope;
use crate::PlacementRule;

/// Bounds and rules of a [`crate::PoolPlanner`].
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Order of loads.
    pub load_order: LoadOrder,
    /// Choice of the server.
    pub placement: PlacementRule,
    /// Choice of what gives way.
    pub eviction: EvictionRule,
    /// Time that idle replicas stay.
    pub keep_alive: KeepAliveRule,
    /// Which loads take a permit.
    pub permit_scope: PermitScope,
    /// Loads per second that the weight store starts.
    pub loads_per_second: f64,
    /// Loads in flight at full speed; one more slows all others.
    pub load_limit: u32,
    /// Adapter loads in flight over the fleet at full speed; more slow all in proportion.
    pub adapter_limit: u32,
    /// Wait after which a request for a cold model counts as one class more urgent.
    pub ageing: Duration,
    /// Keep-alive as long as a model has too little history.
    pub default_keep_alive: Duration,
    /// Longest keep-alive.
    pub max_keep_alive: Duration,
    /// Idle time of a replica that is worth avoiding one second of cold start.
    pub idle_per_cold_second: f64,
    /// Time after becoming ready in which a replica is not evicted unless it has been used.
    pub min_residency: Duration,
    /// Wait of a cold request after which a replica with requests in flight is drained for it.
    pub drain_busy_after: Duration,
    /// Waiting requests per slot of the ready replicas beyond which a further replica is loaded.
    pub scale_out_backlog: f64,
    /// Wait beyond which a further replica is loaded.
    pub scale_out_wait: Duration,
    /// Time for which fewer replicas must have sufficed before one is unloaded.
    pub scale_in_after: Duration,
    /// Pause before a failed load is tried again on the same server; doubles with each failure.
    pub load_retry_delay: Duration,
    /// Time after which an order without a result is given again.
    pub resend_after: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            load_order: LoadOrder::default(),
            placement: PlacementRule::default(),
            eviction: EvictionRule::default(),
            keep_alive: KeepAliveRule::default(),
            permit_scope: PermitScope::default(),
            loads_per_second: 1.5,
            load_limit: 4,
            adapter_limit: 30,
            ageing: Duration::from_secs(30),
            default_keep_alive: Duration::from_secs(60),
            max_keep_alive: Duration::from_secs(1800),
            idle_per_cold_second: 20.0,
            min_residency: Duration::from_secs(2),
            drain_busy_after: Duration::from_secs(2),
            scale_out_backlog: 1.0,
            scale_out_wait: Duration::from_millis(500),
            scale_in_after: Duration::from_secs(30),
            load_retry_delay: Duration::from_secs(1),
            resend_after: Duration::from_secs(10),
        }
    }
}
