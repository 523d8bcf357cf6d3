use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// Whether this host may give orders, and under which fencing number.
///
/// The duty is a record of the store under a lease. The holder stops before the lease can have ended, counted from when
/// the last acknowledged renewal was sent. A new holder starts when the former one's last order is `handover_pause` old:
/// some backend servers don't check fencing numbers.
#[derive(Debug)]
pub struct DutyTerm {
    lease_time: Duration,
    safety_margin: Duration,
    handover_pause: Duration,
    held: Option<HeldTerm>,
}

#[derive(Debug)]
struct HeldTerm {
    fence: u64,
    valid_until: MonotonicTime,
    orders_from: MonotonicTime,
}

impl DutyTerm {
    /// No term. `safety_margin` is taken off the lease for the way of an order and the drift of clocks.
    pub fn new(lease_time: Duration, safety_margin: Duration, handover_pause: Duration) -> Self {
        Self {
            lease_time,
            safety_margin,
            handover_pause,
            held: None,
        }
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
            self.handover_pause
        } else {
            Duration::ZERO
        };
        self.held = Some(HeldTerm {
            fence,
            valid_until: self.end_of(lease_sent),
            orders_from: now + pause,
        });
    }

    /// Takes an acknowledged renewal in that was sent at `sent`. A term that has lapsed stays so until the store says
    /// that the lease still exists, which the acknowledgement does.
    pub fn renew(&mut self, sent: MonotonicTime) {
        let until = self.end_of(sent);
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(until);
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
        (now < held.valid_until).then_some(held.fence)
    }

    /// Fencing number under which an order may be sent at `now`.
    pub fn order_fence(&self, now: MonotonicTime) -> Option<u64> {
        let held = self.held.as_ref()?;
        let may_order = now >= held.orders_from && now < held.valid_until;
        may_order.then_some(held.fence)
    }

    fn end_of(&self, sent: MonotonicTime) -> MonotonicTime {
        sent + self.lease_time.saturating_sub(self.safety_margin)
    }
}
