use serde::Deserialize;
use serde::Serialize;

/// Rule by which a dispatcher selects a replica among those with a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChoice {
    /// Least sum of utilisation and distance, less a bonus for prefix affinity, in a random sample.
    #[default]
    Weighed,
    /// Baseline: a random one.
    Random,
    /// Baseline: fewest requests in flight.
    LeastLoaded,
}
