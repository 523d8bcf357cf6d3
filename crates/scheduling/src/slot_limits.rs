use zinniahinge_types::DispatchRequest;
use zinniahinge_types::PriorityClass;

use crate::ModelDispatcher;
use crate::QueueOrder;
use crate::ticket_table::TicketTable;

/// Limits on the slots that one account and the batch class may occupy.
pub(crate) struct SlotLimits {
    free: u32,
    reserved: u32,
    batch_limit: u32,
    even_share: u32,
}

impl SlotLimits {
    /// Computes the limits from the ready slots, the open tickets and the active accounts.
    pub(crate) fn for_dispatcher(dispatcher: &ModelDispatcher) -> Self {
        let slots = dispatcher.replicas.ready_slots();
        let in_flight = u32::try_from(dispatcher.tickets.len()).unwrap_or(u32::MAX);
        let holders = dispatcher.tickets.accounts();
        let inactive = holders.filter(|account| !dispatcher.recent_accounts.contains_key(*account));
        let accounts = inactive.count() + dispatcher.recent_accounts.len();
        let accounts = u32::try_from(accounts).unwrap_or(u32::MAX).max(1);
        let fair = dispatcher.settings.queue_order == QueueOrder::Fair;
        let percent = if fair {
            dispatcher.settings.reserve_percent
        } else {
            0
        };
        Self {
            free: slots.saturating_sub(in_flight),
            reserved: slots * percent / 100,
            batch_limit: slots - slots * percent / 100,
            even_share: slots.div_ceil(accounts),
        }
    }

    /// Returns true if the request may start: batch requests stay out of the reserve, and an
    /// account at its even share may use only slots outside it.
    pub(crate) fn admits(&self, request: &DispatchRequest, tickets: &TicketTable) -> bool {
        let batch = request.class == PriorityClass::Batch;
        if batch && tickets.batch_count() >= self.batch_limit {
            return false;
        }
        self.free > self.reserved || tickets.account_count(&request.account) < self.even_share
    }
}
