use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::MemoryReservation;
use crate::OrderAction;
use crate::OrderId;

/// An order whose result is unknown.
#[derive(Clone, Debug)]
pub(crate) struct OpenOrder {
    pub(crate) action: OrderAction,
    pub(crate) server: Name,
    pub(crate) boot_id: u64,
    pub(crate) model: Name,
    pub(crate) adapter: Option<Name>,
    pub(crate) bytes: u64,
    pub(crate) issued_at: MonotonicTime,
    pub(crate) resend_at: MonotonicTime,
    /// Whether the load counts against the limits of the weight store.
    pub(crate) permit: bool,
    /// Client account whose request caused the load; used for fairness between accounts.
    pub(crate) account: Option<Name>,
}

impl OpenOrder {
    /// Converts the order into the record that the key-value service stores.
    pub(crate) fn reservation(&self, order_id: OrderId) -> MemoryReservation {
        MemoryReservation {
            order_id,
            action: self.action,
            server: self.server.clone(),
            boot_id: self.boot_id,
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            bytes: self.bytes,
        }
    }
}
