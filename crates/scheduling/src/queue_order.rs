use serde::Deserialize;
use serde::Serialize;

/// Order in which a dispatcher serves its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueueOrder {
    /// Priority classes with ageing, fair by tokens between accounts inside a class.
    #[default]
    Fair,
    /// Baseline: oldest request first, whatever its class and account.
    FirstInFirstOut,
}
