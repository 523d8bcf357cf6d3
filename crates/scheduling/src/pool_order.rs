use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

/// Identifies an order to a backend server; unique over owners of the pool.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OrderId(pub u64);

/// What a backend server is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load a base model.
    LoadModel,
    /// Unload a base model with its adapters.
    UnloadModel,
    /// Load an adapter on a loaded base model.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
}

/// Order to a backend server. Its memory counts as used until the result is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolOrder {
    /// Identifies the order; a repeated order has the same id.
    pub order_id: OrderId,
    /// Fencing number: the assignment revision under which the planner decides.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
    /// Backend server.
    pub server: Name,
    /// IP address and port of the backend server.
    pub address: Name,
    /// Boot of the server that the order is meant for.
    pub boot_id: u64,
    /// False if the order must be recorded as a [`crate::MemoryReservation`] before it is sent.
    pub fencing: bool,
    /// Base model.
    pub model: Name,
    /// Adapter, for adapter orders.
    pub adapter: Option<Name>,
    /// Accelerator memory that the order takes or gives back, in bytes.
    pub bytes: u64,
    /// True if the order was given before and its result is not known.
    pub repeated: bool,
}

/// Known end of an order. An order with an unknown result is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The server carried it out.
    Done,
    /// The server did not carry it out, and will not.
    Failed,
    /// It was never sent.
    NotSent,
}
