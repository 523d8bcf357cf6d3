use serde::Deserialize;
use serde::Serialize;

/// Order in which a dispatcher serves waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueueOrder {
    /// By priority class with ageing; within a class, weighted fair queueing by tokens between
    /// accounts.
    #[default]
    Fair,
    /// Baseline: oldest request first, regardless of class and account.
    FirstInFirstOut,
}
