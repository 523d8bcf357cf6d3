use std::time::Duration;

use crate::EvictionRule;
use crate::KeepAliveRule;
use crate::LoadOrder;
use crate::PermitScope;
use crate::PlacementRule;

/// Limits and rules of a [`crate::PoolPlanner`].
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Order in which models are loaded.
    pub load_order: LoadOrder,
    /// Rule by which the server for a load is selected.
    pub placement: PlacementRule,
    /// Rule by which replicas are evicted.
    pub eviction: EvictionRule,
    /// Rule for the time that idle replicas stay loaded.
    pub keep_alive: KeepAliveRule,
    /// Loads that count against the limits of the weight store.
    pub permit_scope: PermitScope,
    /// Most load starts on the weight store, in loads per second.
    pub loads_per_second: f64,
    /// Most concurrent loads from the weight store; one more would slow down all others.
    pub load_limit: u32,
    /// Most concurrent adapter loads over all servers; more would slow all down in proportion.
    pub adapter_limit: u32,
    /// Waiting time per step by which a request for an unloaded model counts as one class more
    /// urgent.
    pub ageing: Duration,
    /// Keep-alive of a model with too few recorded idle gaps.
    pub default_keep_alive: Duration,
    /// Longest keep-alive.
    pub max_keep_alive: Duration,
    /// Idle seconds of a replica that cost as much as one second of cold start.
    pub idle_per_cold_second: f64,
    /// Time after becoming ready in which an unused replica is not evicted.
    pub min_residency: Duration,
    /// Waiting time of a request for an unloaded model after which a busy replica is drained for
    /// it.
    pub drain_busy_after: Duration,
    /// Waiting requests per slot of the ready replicas beyond which a further replica is loaded.
    pub scale_out_backlog: f64,
    /// Least waiting time before a further replica is loaded.
    pub scale_out_wait: Duration,
    /// Time for which one replica fewer must have sufficed before one is unloaded.
    pub scale_in_after: Duration,
    /// Delay before a failed load is retried on the same server; it doubles with each failure.
    pub load_retry_delay: Duration,
    /// Time after which an order without a result is sent again.
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
