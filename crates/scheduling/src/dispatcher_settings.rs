use std::time::Duration;

use crate::QueueOrder;
use crate::ReplicaChoice;

/// Limits and rules of a [`crate::ModelDispatcher`].
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// Order in which waiting requests are served.
    pub queue_order: QueueOrder,
    /// Rule by which a replica is selected.
    pub replica_choice: ReplicaChoice,
    /// Most queued urgent and normal requests; beyond it a request of the account with the longest
    /// queue is refused.
    pub queue_limit: usize,
    /// Most queued batch requests; a separate limit, so that batch work neither blocks others nor
    /// is displaced.
    pub batch_limit: usize,
    /// Waiting time after which a request of a lower class gets a share of the grants.
    pub ageing: Duration,
    /// While a lower class has aged requests, one grant in this many goes to it.
    pub aged_interval: u32,
    /// Percentage of all slots that is reserved for accounts below their even share and closed to
    /// batch requests.
    pub reserve_percent: u32,
    /// Time after its last request for which an account counts as active.
    pub account_idle_timeout: Duration,
    /// Consecutive failures after which a replica is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub base_ejection_time: Duration,
    /// Longest duration of an ejection.
    pub max_ejection_time: Duration,
    /// Score penalty, as a fraction of utilisation, of a replica outside the requesting host's data
    /// centre.
    pub data_centre_weight: f64,
    /// Further score penalty, as a fraction of utilisation, of a replica outside that host's
    /// region.
    pub region_weight: f64,
    /// Score bonus, as a fraction of utilisation, of the replica that last got the prompt's prefix.
    pub prefix_weight: f64,
    /// Most prompt prefixes for which the last replica is remembered.
    pub prefix_limit: usize,
    /// Whether requests are refused early when the estimated wait exceeds the time to their
    /// deadline.
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
