use zinniahinge_types::Name;

use crate::LifecycleStage;

/// State of one replica, for metrics and events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Backend server.
    pub server: Name,
    /// Base model.
    pub model: Name,
    /// Life cycle stage.
    pub stage: LifecycleStage,
    /// Accelerator memory of the model and its adapters, in bytes.
    pub bytes: u64,
    /// Tickets in flight by the dispatcher's last report.
    pub in_flight: u32,
    /// Adapters that are loaded or have an open order.
    pub adapters: Vec<Name>,
}
