use serde::Deserialize;
use serde::Serialize;

/// How a dispatcher chooses among the replicas that have a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaChoice {
    /// Distance weighed against utilisation and prefix affinity, on a random sample.
    #[default]
    Weighed,
    /// Baseline: any of them.
    Random,
    /// Baseline: fewest requests in flight.
    LeastLoaded,
}
