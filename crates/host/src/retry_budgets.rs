use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use zinniahinge_limits::RetryBudget;
use zinniahinge_platform::FleetBounds;
use zinniahinge_types::Name;

/// Part of the fleet's budget that is used: what hosts count as sent and what the fleet's judge counts differ a little.
const USED_SHARE: f64 = 0.8;

/// Part of the fleet's extra retries that the hosts may save up; as much again accrues in each window.
const SAVED_SHARE: f64 = 0.4;

/// Retry budgets by service. Each host has an equal part of what the fleet may use.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    share_percent: u32,
    extra: f64,
    window: Duration,
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    hosts: u32,
    budgets: HashMap<Name, Arc<RetryBudget>>,
}

impl RetryBudgets {
    pub(crate) fn new(bounds: &FleetBounds) -> Self {
        Self {
            share_percent: (bounds.retry_share * USED_SHARE * 100.0) as u32,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
            state: Mutex::new(BudgetState {
                hosts: 1,
                budgets: HashMap::new(),
            }),
        }
    }

    /// Sets the number of hosts; a smaller one than before is not believed, because hosts that are cut off still send.
    pub(crate) fn set_hosts(&self, hosts: u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if hosts <= state.hosts {
            return;
        }
        state.hosts = hosts;
        let saved = self.whole_saved(hosts);
        for budget in state.budgets.values_mut() {
            let smaller = RetryBudget::new(self.share_percent, saved);
            // What is saved stays; a full budget for each new host would add up over the fleet.
            while smaller.balance() > budget.balance() && smaller.try_retry() {}
            *budget = Arc::new(smaller);
        }
    }

    /// Budget of a service.
    pub(crate) fn of(&self, service: &Name) -> Arc<RetryBudget> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let saved = self.whole_saved(state.hosts);
        let budget = state.budgets.entry(service.clone());
        budget
            .or_insert_with(|| Arc::new(RetryBudget::new(self.share_percent, saved)))
            .clone()
    }

    /// Adds what accrued in `elapsed`.
    pub(crate) fn accrue(&self, elapsed: Duration) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let windows = elapsed.as_secs_f64() / self.window.as_secs_f64().max(0.001);
        let milli = (self.saved(state.hosts) * windows * 1000.0) as u64;
        for budget in state.budgets.values() {
            budget.credit_milli(milli);
        }
    }

    fn whole_saved(&self, hosts: u32) -> u32 {
        self.saved(hosts).round().max(1.0) as u32
    }

    fn saved(&self, hosts: u32) -> f64 {
        self.extra * SAVED_SHARE / f64::from(hosts.max(1))
    }
}
