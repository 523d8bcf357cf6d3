use serde::Deserialize;
use serde::Serialize;

/// Life cycle stage of a replica or adapter. Its memory counts as used in every stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LifecycleStage {
    /// Load ordered, with its result unknown.
    Loading,
    /// Accepts requests.
    Ready,
    /// Finishes running requests and accepts no new ones.
    Draining,
    /// Unload ordered, with its result unknown.
    Unloading,
}
