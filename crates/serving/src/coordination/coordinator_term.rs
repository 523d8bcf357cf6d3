use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

use crate::HandoverWait;

/// Timing of a coordinator's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoordinatorTimes {
    /// Time after which the lease expires in the store.
    pub lease: Duration,
    /// Safety margin subtracted from the lease for the drift between two clocks.
    pub margin: Duration,
    /// Time after sending a renewal for which orders may be sent. Shorter than the lease, so that a successor, which
    /// can't start before the lease has expired, waits less.
    pub order_window: Duration,
    /// Shortest time between the last order of one coordinator and the first order of the next. Some backend servers
    /// don't check fencing numbers.
    pub handover_gap: Duration,
}

impl CoordinatorTimes {
    /// Time for which a new coordinator sends no orders. Its predecessor sent its last acknowledged renewal at least
    /// one lease before the new coordinator's term began.
    pub fn handover_pause(&self) -> Duration {
        (self.order_window + self.handover_gap + self.margin).saturating_sub(self.lease)
    }

    /// Time for which a new coordinator sends no orders because its predecessor's lease may have been lost with a copy of the
    /// store. The predecessor's last renewal was acknowledged before the new coordinator's term began.
    pub fn lost_lease_pause(&self) -> Duration {
        self.order_window + self.handover_gap + self.margin
    }

    /// Time to wait between the last order of a coordinator that resigns and the release of its lease.
    pub fn resign_pause(&self) -> Duration {
        (self.handover_gap + self.margin).saturating_sub(self.handover_pause())
    }
}

/// Tracks whether this host may send orders as coordinator, and under which fencing number.
///
/// The coordinator is named in a record of the store under a lease; the record's position is the fencing number. All
/// times count from when the last acknowledged renewal was sent.
#[derive(Debug)]
pub struct CoordinatorTerm {
    times: CoordinatorTimes,
    held: Option<HeldTerm>,
}

/// A term of this host that was started and not ended.
#[derive(Debug)]
struct HeldTerm {
    position: StorePosition,
    /// When the last acknowledged renewal was sent.
    renewed: MonotonicTime,
    /// Time from which orders may be sent.
    orders_from: MonotonicTime,
}

impl CoordinatorTerm {
    /// Creates the state of a host that is not the coordinator.
    pub fn new(times: CoordinatorTimes) -> Self {
        Self { times, held: None }
    }

    /// Starts a term claimed at `position`. `lease_sent` is when the lease was requested. Orders wait for the pause that
    /// `wait` requires.
    pub fn start(
        &mut self,
        position: StorePosition,
        lease_sent: MonotonicTime,
        now: MonotonicTime,
        wait: HandoverWait,
    ) {
        let pause = match wait {
            HandoverWait::None => Duration::ZERO,
            HandoverWait::LeaseExpired => self.times.handover_pause(),
            HandoverWait::LeaseLost => self.times.lost_lease_pause(),
        };
        self.held = Some(HeldTerm {
            position,
            renewed: lease_sent,
            orders_from: now + pause,
        });
    }

    /// Records an acknowledged renewal that was sent at `sent`. It makes an expired term valid again, because the
    /// acknowledgement shows that the lease still exists.
    pub fn renew(&mut self, sent: MonotonicTime) {
        if let Some(held) = &mut self.held {
            held.renewed = held.renewed.max(sent);
        }
    }

    /// Ends the term if the store has been seen in an era newer than the term's, because the lease may be lost, and a renewal
    /// may extend the lease of another host that got the same id. Returns true if it ended one.
    pub fn observe_era(&mut self, newest: StoreEra) -> bool {
        let held = self.held.take();
        let is_started = held.is_some();
        self.held = held.filter(|held| held.position.era >= newest);
        is_started && self.held.is_none()
    }

    /// Ends the term; no fencing number is valid afterwards.
    pub fn end(&mut self) {
        self.held = None;
    }

    /// True from the start of a term until [`Self::end`], even if the term has expired meanwhile.
    pub fn is_started(&self) -> bool {
        self.held.is_some()
    }

    /// Fencing number of the term; `None` if the lease may have expired at `now`.
    pub fn fence(&self, now: MonotonicTime) -> Option<u64> {
        let held = self.held.as_ref()?;
        let limit = self.times.lease.saturating_sub(self.times.margin);
        (now.since(held.renewed) < limit).then(|| held.position.fence())
    }

    /// Fencing number for an order sent at `now`; `None` if no order may be sent.
    pub fn order_fence(&self, now: MonotonicTime) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_renewed = now.since(held.renewed) < self.times.order_window;
        let fence = self.fence(now)?;
        (is_renewed && now >= held.orders_from).then_some(fence)
    }
}
