use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Times of the duty to coordinate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoordinatorTimes {
    /// Time after which the lease lapses in the store.
    pub lease: Duration,
    /// Taken off the lease: the drift of two clocks over it.
    pub margin: Duration,
    /// Time for which orders may be given after a renewal was sent. Shorter than the lease, so that a successor, which
    /// can't come before the lease has lapsed, has to wait less.
    pub order_window: Duration,
    /// Time that must lie between the last order of one holder and the first of the next. Some backend servers don't check
    /// fencing numbers.
    pub handover_gap: Duration,
}

impl CoordinatorTimes {
    /// Time for which a new holder gives no orders. Its predecessor sent its last acknowledged renewal at least one lease
    /// before the new holder got the duty.
    pub fn handover_pause(&self) -> Duration {
        (self.order_window + self.handover_gap + self.margin).saturating_sub(self.lease)
    }

    /// Time between the last order of a holder that gives the duty up and the end of its lease.
    pub fn resign_pause(&self) -> Duration {
        (self.handover_gap + self.margin).saturating_sub(self.handover_pause())
    }
}

/// Whether this host may give orders, and under which fencing number.
///
/// The duty is a record of the store under a lease; its revision is the fencing number. All times count from when the last
/// acknowledged renewal was sent.
#[derive(Debug)]
pub struct CoordinatorTerm {
    times: CoordinatorTimes,
    held: Option<HeldTerm>,
}

#[derive(Debug)]
struct HeldTerm {
    fence: u64,
    renewed: MonotonicTime,
    orders_from: MonotonicTime,
}

impl CoordinatorTerm {
    /// No term.
    pub fn new(times: CoordinatorTimes) -> Self {
        Self { times, held: None }
    }

    /// Starts a term. `lease_sent` is when the lease was asked for; `had_predecessor` is false only if no host ever
    /// held the duty, or this host held it last.
    pub fn start(
        &mut self,
        fence: u64,
        lease_sent: MonotonicTime,
        now: MonotonicTime,
        had_predecessor: bool,
    ) {
        let pause = if had_predecessor {
            self.times.handover_pause()
        } else {
            Duration::ZERO
        };
        self.held = Some(HeldTerm {
            fence,
            renewed: lease_sent,
            orders_from: now + pause,
        });
    }

    /// Takes an acknowledged renewal in that was sent at `sent`. A term that has lapsed is valid again by it: the
    /// acknowledgement says that the lease still exists.
    pub fn renew(&mut self, sent: MonotonicTime) {
        if let Some(held) = &mut self.held {
            held.renewed = held.renewed.max(sent);
        }
    }

    /// Ends the term.
    pub fn end(&mut self) {
        self.held = None;
    }

    /// True while a term was started and not ended, although it may have lapsed.
    pub fn is_started(&self) -> bool {
        self.held.is_some()
    }

    /// Fencing number of a term that is valid at `now`.
    pub fn fence(&self, now: MonotonicTime) -> Option<u64> {
        let held = self.held.as_ref()?;
        let limit = self.times.lease.saturating_sub(self.times.margin);
        (now.since(held.renewed) < limit).then_some(held.fence)
    }

    /// Fencing number under which an order may be sent at `now`.
    pub fn order_fence(&self, now: MonotonicTime) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_renewed = now.since(held.renewed) < self.times.order_window;
        let fence = self.fence(now)?;
        (is_renewed && now >= held.orders_from).then_some(fence)
    }
}
