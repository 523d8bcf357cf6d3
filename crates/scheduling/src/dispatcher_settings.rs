use std::time::Duration;

use crate::QueueOrder;
use crate::ReplicaChoice;

/// Bounds and rules of a [`crate::ModelDispatcher`].
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// Order of service.
    pub queue_order: QueueOrder,
    /// Choice between replicas.
    pub replica_choice: ReplicaChoice,
    /// Queued urgent and normal requests; beyond it the longest queue of an account gives way.
    pub queue_limit: usize,
    /// Queued batch requests; separate, so that batch work neither blocks others nor is displaced.
    pub batch_limit: usize,
    /// Wait after which a request of a lower class gets a share of the grants.
    pub ageing: Duration,
    /// While a lower class has aged requests, one grant in this many goes to it.
    pub aged_interval: u32,
    /// Percentage of all slots that is kept for accounts below their even share and is closed to
    /// batch requests.
    pub reserve_percent: u32,
    /// Time for which an account counts as active after its last request.
    pub account_idle_timeout: Duration,
    /// Consecutive failures after which a replica is ejected.
    pub ejection_failures: u32,
    /// Time out of service after the first ejection; doubles with each further one.
    pub base_ejection_time: Duration,
    /// Longest time out of service.
    pub max_ejection_time: Duration,
    /// Utilisation that a replica in the asking host's place is preferred by.
    pub data_centre_weight: f64,
    /// Utilisation that a replica in the asking host's region is preferred by, beyond the place.
    pub region_weight: f64,
    /// Utilisation that a replica with the prompt's prefix is preferred by.
    pub prefix_weight: f64,
    /// Remembered prefixes.
    pub prefix_limit: usize,
    /// Refuse early when the estimated wait exceeds the time left.
    pub early_refusal: bool,
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        Self {
            queue_order: QueueOrder::default(),
            replica_choice: ReplicaChoice::default(),
            queue_limit: 1024,
            batch_limit: 1024,
            ageing: Duration::from_secs(10),
            aged_interval: 8,
            reserve_percent: 20,
            account_idle_timeout: Duration::from_secs(30),
            ejection_failures: 3,
            base_ejection_time: Duration::from_secs(2),
            max_ejection_time: Duration::from_secs(30),
            data_centre_weight: 0.25,
            region_weight: 1.0,
            prefix_weight: 0.3,
            prefix_limit: 4096,
            early_refusal: true,
        }
    }
}
