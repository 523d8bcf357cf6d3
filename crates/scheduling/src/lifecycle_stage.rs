use serde::Deserialize;
use serde::Serialize;

/// Life cycle of a replica or adapter in the pool. Its memory counts in every stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LifecycleStage {
    /// Load ordered, result not known.
    Loading,
    /// Takes requests.
    Ready,
    /// Finishes what runs and takes nothing new.
    Draining,
    /// Unload ordered, result not known.
    Unloading,
}
