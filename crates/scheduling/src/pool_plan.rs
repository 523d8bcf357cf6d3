//! Planning step of a [`PoolPlanner`], and the time of the next one.

use std::time::Duration;

use zinniahinge_types::MonotonicTime;

use crate::OrderId;
use crate::PoolOrder;
use crate::PoolPlanner;

/// Interval at which keep-alive, ageing and scaling are re-evaluated, which change without events.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

impl PoolPlanner {
    /// Returns the orders to send at `now`. An order to a server that ignores fencing must be
    /// recorded as a [`MemoryReservation`](crate::MemoryReservation) before it is sent. Each known
    /// result must be passed to [`Self::confirm`].
    pub fn plan(&mut self, now: MonotonicTime) -> Vec<PoolOrder> {
        for demand in self.demands.values_mut() {
            demand.expire(now);
        }
        if self.is_recovering(now) {
            // A model without a replica may be loaded on a server that has not been observed yet.
            return self.repeat_orders(now);
        }
        self.cancel_drains();
        self.cancel_adapter_drains();
        self.start_drains(now);
        let mut orders = self.repeat_orders(now);
        orders.extend(self.unload_drained(now));
        orders.extend(self.unload_adapters(now));
        orders.extend(self.load_models(now));
        orders.extend(self.load_adapters(now));
        orders
    }

    /// Returns when [`Self::plan`] must be called even if nothing else happens.
    pub fn next_wakeup(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let resend = self.orders.values().map(|order| order.resend_at).min();
        let waiting = self
            .demands
            .values()
            .any(|demand| demand.waiting_count() > 0);
        let permit = waiting.then(|| self.permits.next_start());
        let permit = permit.filter(|start| *start > now);
        let periodic = now + PLAN_INTERVAL;
        [resend, permit, Some(periodic)].into_iter().flatten().min()
    }

    /// Returns the open orders that are due to be sent again, with their earlier ids.
    fn repeat_orders(&mut self, now: MonotonicTime) -> Vec<PoolOrder> {
        let resend_after = self.settings.resend_after;
        let mut due: Vec<OrderId> = Vec::new();
        for (order_id, order) in &mut self.orders {
            if order.resend_at <= now {
                order.resend_at = now + resend_after;
                due.push(*order_id);
            }
        }
        let messages = due.iter().filter_map(|order_id| {
            let order = self.orders.get(order_id)?;
            let observed = self.servers.get(&order.server)?.observed;
            observed.then(|| self.order_message(*order_id, order, true))?
        });
        messages.collect()
    }
}
