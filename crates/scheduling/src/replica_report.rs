use zinniahinge_types::Name;

use crate::LifecycleStage;

/// One replica as the pool sees it, for metrics and events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Backend server.
    pub server: Name,
    /// Base model.
    pub model: Name,
    /// Stage of its life cycle.
    pub stage: LifecycleStage,
    /// Accelerator memory of the model and its adapters, in bytes.
    pub bytes: u64,
    /// Tickets by the dispatcher's last report.
    pub in_flight: u32,
    /// Adapters that are loaded or have an open order.
    pub adapters: Vec<Name>,
}
