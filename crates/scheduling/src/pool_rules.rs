//! Selectable rules of the pool planner; the variants marked as baselines are for comparison.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Order in which models are loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadOrder {
    /// By priority class with ageing, deadline, fairness between accounts and expected load time.
    #[default]
    Weighted,
    /// Baseline: longest wait first.
    FirstInFirstOut,
}

/// Rule by which the backend server for a load is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementRule {
    /// Least expected load time plus cost of the evicted replicas.
    #[default]
    CacheAware,
    /// Baseline: any server that fits.
    Random,
    /// Baseline: most free memory.
    LeastLoaded,
}

/// Rule by which replicas are evicted for a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvictionRule {
    /// Least probability of a request within a minute × reload time.
    #[default]
    Value,
    /// Baseline: least recently used.
    LeastRecentlyUsed,
}

/// Rule for the time that an idle replica stays loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeepAliveRule {
    /// Computed from the model's history of idle gaps.
    #[default]
    History,
    /// Baseline: a fixed time.
    Fixed(Duration),
}

/// Loads that count against the rate and concurrency limits of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitScope {
    /// Every model load.
    #[default]
    AllLoads,
    /// Only loads whose checkpoint is not cached on the server.
    RemoteLoads,
}
