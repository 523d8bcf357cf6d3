use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::Name;

use crate::OrderAction;
use crate::OrderId;

/// Record of an order whose result is not known, for the key-value service. A successor counts its
/// memory as used until the server reports the result or restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReservation {
    /// Order.
    pub order_id: OrderId,
    /// What was ordered.
    pub action: OrderAction,
    /// Backend server.
    pub server: Name,
    /// Boot of the server that the order was meant for.
    pub boot_id: u64,
    /// Base model.
    pub model: Name,
    /// Adapter, for adapter orders.
    pub adapter: Option<Name>,
    /// Accelerator memory, in bytes.
    pub bytes: u64,
}
