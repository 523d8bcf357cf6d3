use std::net::SocketAddr;

use zinniahinge_types::Name;

/// Kind of an order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResidencyAction {
    /// Load a model, or an adapter of a loaded model.
    Load,
    /// Unload a model together with its adapters, or one adapter.
    Unload,
}

/// An order to a model engine to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Id of the server.
    pub backend: Name,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Whether to load or to unload.
    pub action: ResidencyAction,
    /// Model to load or unload, or the base model of the adapter.
    pub model: Name,
    /// Adapter, for orders that concern one.
    pub adapter: Option<Name>,
    /// Number of orders that the engine must have accepted before; with any other number it refuses. A delayed order is
    /// therefore refused once a later one was accepted.
    pub expected: u64,
}
