use std::net::SocketAddr;

use zinniahinge_types::Name;

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResidencyAction {
    /// Load a model, or an adapter of a loaded model.
    Load,
    /// Unload a model with its adapters, or one adapter.
    Unload,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Server.
    pub backend: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// What to do.
    pub action: ResidencyAction,
    /// Model.
    pub model: Name,
    /// Adapter, for adapter orders.
    pub adapter: Option<Name>,
    /// Orders that the engine must have accepted before; with another number it refuses. An order that arrives late
    /// is refused therefore once a later one was accepted.
    pub expected: u64,
}
