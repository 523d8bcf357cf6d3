//! Selectable rules of the pool; each has baselines to compare with.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Order in which cold models are loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadOrder {
    /// Priority class, deadline, age, fairness between accounts and expected load time.
    #[default]
    Weighted,
    /// Baseline: longest wait first.
    FirstInFirstOut,
}

/// Choice of the backend server for a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementRule {
    /// Expected load time plus the cost of what must be evicted.
    #[default]
    CacheAware,
    /// Baseline: any server that fits.
    Random,
    /// Baseline: most free memory.
    LeastLoaded,
}

/// Choice of the replicas that give way to a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvictionRule {
    /// Least probability of use soon × reload time.
    #[default]
    Value,
    /// Baseline: longest unused.
    LeastRecentlyUsed,
}

/// How long an idle replica stays loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeepAliveRule {
    /// From the model's own history of idle gaps.
    #[default]
    History,
    /// Baseline: a fixed time.
    Fixed(Duration),
}

/// Which loads take a weight store permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitScope {
    /// Every model load.
    #[default]
    AllLoads,
    /// Only loads whose checkpoint is not cached on the server.
    RemoteLoads,
}
