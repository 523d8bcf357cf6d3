use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

/// Id of an order to a backend server; unique over all owners of the pool.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OrderId(pub u64);

/// Action that a backend server is ordered to carry out.
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

/// Order to a backend server, whose memory counts as used until the result is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolOrder {
    /// Id of the order; a repeated order has the same one.
    pub order_id: OrderId,
    /// Fencing number: the assignment revision under which the planner decides.
    pub fence: u64,
    /// Action to carry out.
    pub action: OrderAction,
    /// Backend server.
    pub server: Name,
    /// IP address and port of the backend server.
    pub address: Name,
    /// Boot id of the server process that the order is addressed to.
    pub boot_id: u64,
    /// False if the order must be recorded as a [`crate::MemoryReservation`] before it is sent.
    pub fencing: bool,
    /// Base model.
    pub model: Name,
    /// Adapter, for adapter orders.
    pub adapter: Option<Name>,
    /// Accelerator memory that the order uses or frees, in bytes.
    pub bytes: u64,
    /// Whether the order was sent before and its result is unknown.
    pub repeated: bool,
}

/// Known result of an order. An order whose result is unknown must not be confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The server carried it out.
    Done,
    /// The server did not carry it out and never will.
    Failed,
    /// It was never sent.
    NotSent,
}
