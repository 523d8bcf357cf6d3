use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use zinniahinge_limits::RetryBudget;
use zinniahinge_platform::FleetBounds;
use zinniahinge_types::Name;

/// Share of the fleet's retry limits that the hosts use. The rest is a margin, because the hosts' own counts of retries
/// differ a little from those by which the fleet is checked.
const USABLE_SHARE: f64 = 0.8;

/// Share of the fleet's extra retries that the hosts may save up. As many again accrue in each window, so a window that
/// begins with full budgets allows twice this share.
const BURST_SHARE: f64 = 0.4;

/// Retry budgets of this host by service; each host gets an equal part of the fleet's limit.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    /// Retries that requests earn, in percent of the requests.
    share_percent: u32,
    /// Retries of the whole fleet in one window beside that share.
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
    /// Creates budgets for a fleet of one host; [`Self::set_hosts`] raises the number.
    pub(crate) fn new(bounds: &FleetBounds) -> Self {
        Self {
            share_percent: (bounds.retry_share * USABLE_SHARE * 100.0) as u32,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
            state: Mutex::new(BudgetState {
                hosts: 1,
                budgets: HashMap::new(),
            }),
        }
    }

    /// Sets the number of hosts that share the limit; ignores a smaller one than before, because hosts that are cut off
    /// from the others still send.
    pub(crate) fn set_hosts(&self, hosts: u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if hosts <= state.hosts {
            return;
        }
        state.hosts = hosts;
        let max_balance = self.max_balance(hosts);
        for budget in state.budgets.values_mut() {
            let smaller = RetryBudget::new(self.share_percent, max_balance);
            // Keeps at most the old balance: full budgets after each change would add up over the fleet.
            while smaller.balance() > budget.balance() && smaller.try_retry() {}
            *budget = Arc::new(smaller);
        }
    }

    /// Returns the budget of a service; a new one starts full.
    pub(crate) fn for_service(&self, service: &Name) -> Arc<RetryBudget> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let max_balance = self.max_balance(state.hosts);
        let budget = state.budgets.entry(service.clone());
        budget
            .or_insert_with(|| Arc::new(RetryBudget::new(self.share_percent, max_balance)))
            .clone()
    }

    /// Adds the retries that accrue in `elapsed` to every budget.
    pub(crate) fn accrue(&self, elapsed: Duration) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let windows = elapsed.as_secs_f64() / self.window.as_secs_f64().max(0.001);
        let milli = (self.extra_per_host(state.hosts) * windows * 1000.0) as u64;
        for budget in state.budgets.values() {
            budget.credit_milli(milli);
        }
    }

    /// Whole retries that one of `hosts` hosts may save up, at least 1.
    fn max_balance(&self, hosts: u32) -> u32 {
        self.extra_per_host(hosts).round().max(1.0) as u32
    }

    /// Retries that one of `hosts` hosts may save up, and that accrue for it in each window.
    fn extra_per_host(&self, hosts: u32) -> f64 {
        self.extra * BURST_SHARE / f64::from(hosts.max(1))
    }
}
