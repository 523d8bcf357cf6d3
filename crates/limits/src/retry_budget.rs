use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Cost of one retry. Requests earn thousandths of a retry.
const MILLI_PER_RETRY: u64 = 1000;

/// Bounds retries to a ratio of requests, so that retries cannot multiply an overload.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicU64,
    earn_milli: u64,
    max_milli: u64,
}

impl RetryBudget {
    /// A budget that earns `ratio_percent` retries per 100 requests and holds at most
    /// `max_balance` retries. It starts full, so that a few early retries are possible.
    pub fn new(ratio_percent: u32, max_balance: u32) -> Self {
        let max_milli = u64::from(max_balance) * MILLI_PER_RETRY;
        Self {
            balance_milli: AtomicU64::new(max_milli),
            earn_milli: u64::from(ratio_percent) * MILLI_PER_RETRY / 100,
            max_milli,
        }
    }

    /// Counts one first attempt.
    pub fn record_request(&self) {
        let earn = |balance: u64| Some((balance + self.earn_milli).min(self.max_milli));
        let _ = self
            .balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Adds thousandths of a retry, for a part of the budget that accrues with time.
    pub fn credit_milli(&self, milli: u64) {
        let add = |balance: u64| Some((balance + milli).min(self.max_milli));
        let _ = self
            .balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn try_retry(&self) -> bool {
        let take = |balance: u64| balance.checked_sub(MILLI_PER_RETRY);
        self.balance_milli
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Whole retries left.
    pub fn balance(&self) -> u64 {
        self.balance_milli.load(Ordering::Relaxed) / MILLI_PER_RETRY
    }
}
