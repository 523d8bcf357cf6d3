//! The time until which a host may act.

use zinniahinge_types::MonotonicTime;

use crate::AuthoritySettings;

/// Holds the time until which a host has authority. It is cheap to copy, so that a request path can
/// keep it in an atomic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityTimer {
    settings: AuthoritySettings,
    until: MonotonicTime,
    last_acknowledged_send: Option<MonotonicTime>,
    revoked: bool,
}

impl AuthorityTimer {
    /// Creates a timer without authority.
    pub fn new(settings: AuthoritySettings) -> Self {
        Self {
            settings,
            until: MonotonicTime::ZERO,
            last_acknowledged_send: None,
            revoked: false,
        }
    }

    /// Extends the authority after a renewal or heartbeat sent at `sent_at` was acknowledged. The
    /// time of the answer doesn't count, because the other side's wait started before it.
    pub fn acknowledged(&mut self, sent_at: MonotonicTime) {
        self.until = self.until.max(sent_at + self.settings.host_term());
        self.last_acknowledged_send = self.last_acknowledged_send.max(Some(sent_at));
    }

    /// Ends the authority permanently; later acknowledgements have no effect.
    pub fn revoke(&mut self) {
        self.revoked = true;
    }

    /// Returns whether the host may act at `now`.
    pub fn holds(&self, now: MonotonicTime) -> bool {
        !self.revoked && now < self.until
    }

    /// Returns the time at which the authority ends; `None` if it was revoked.
    pub fn until(&self) -> Option<MonotonicTime> {
        (!self.revoked).then_some(self.until)
    }

    /// Returns the send time of the newest acknowledged renewal or heartbeat.
    pub fn last_acknowledged_send(&self) -> Option<MonotonicTime> {
        self.last_acknowledged_send
    }
}
