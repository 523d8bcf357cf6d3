use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

use crate::OrderAction;
use crate::OrderId;

/// Stored record of an order whose result is unknown. A successor counts its memory as used until
/// the server reports the result or restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReservation {
    /// Id of the order.
    pub order_id: OrderId,
    /// Action that was ordered.
    pub action: OrderAction,
    /// Backend server.
    pub server: Name,
    /// Boot id of the server process that the order is addressed to.
    pub boot_id: u64,
    /// Base model.
    pub model: Name,
    /// Adapter, for adapter orders.
    pub adapter: Option<Name>,
    /// Accelerator memory, in bytes.
    pub bytes: u64,
}
