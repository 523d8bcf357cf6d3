use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Cost of one retry in thousandths of a retry, the unit in which requests earn.
const MILLI_PER_RETRY: u64 = 1000;

/// Limits retries to a ratio of requests, so that retries cannot multiply the load of an overloaded system.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries available, in thousandths.
    balance_milli: AtomicU64,
    /// Credit per request, in thousandths of a retry.
    earn_milli: u64,
    /// Largest balance, in thousandths of a retry.
    max_milli: u64,
}

impl RetryBudget {
    /// Creates a budget that earns `ratio_percent` retries per 100 requests and holds at most `max_balance` retries.
    ///
    /// It starts full, so that the first requests can be retried too.
    pub fn new(ratio_percent: u32, max_balance: u32) -> Self {
        let max_milli = u64::from(max_balance) * MILLI_PER_RETRY;
        Self {
            balance_milli: AtomicU64::new(max_milli),
            earn_milli: u64::from(ratio_percent) * MILLI_PER_RETRY / 100,
            max_milli,
        }
    }

    /// Credits the budget for one first attempt. Retries must not be counted here.
    pub fn record_request(&self) {
        let earn = |balance: u64| Some((balance + self.earn_milli).min(self.max_milli));
        let _ = self
            .balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Credits `milli` thousandths of a retry, for budgets that also grow with time.
    pub fn credit_milli(&self, milli: u64) {
        let add = |balance: u64| Some((balance + milli).min(self.max_milli));
        let _ = self
            .balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry from the budget. Returns false if less than one is left; the caller must then not retry.
    pub fn try_retry(&self) -> bool {
        let take = |balance: u64| balance.checked_sub(MILLI_PER_RETRY);
        self.balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Returns the number of whole retries left.
    pub fn balance(&self) -> u64 {
        self.balance_milli.load(Ordering::Relaxed) / MILLI_PER_RETRY
    }
}
