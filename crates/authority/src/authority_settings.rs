//! Durations of the authority protocol.

use std::time::Duration;

use crate::AuthorityError;
use crate::Result;

const PER_MILLE: u32 = 1000;

/// Durations of the authority protocol. All hosts of a fleet must use the same values, because a
/// guardian waits by its own settings for a host that counts by other ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthoritySettings {
    term: Duration,
    heartbeat_interval: Duration,
    retry_interval: Duration,
    settle_time: Duration,
    drift_per_mille: u32,
}

impl Default for AuthoritySettings {
    /// Uses T = 3 s, a heartbeat every 1 s, a retry every 250 ms, 5 s until a handover, and a drift
    /// allowance of 1%.
    fn default() -> Self {
        Self {
            term: Duration::from_secs(3),
            heartbeat_interval: Duration::from_secs(1),
            retry_interval: Duration::from_millis(250),
            settle_time: Duration::from_secs(5),
            drift_per_mille: 10,
        }
    }
}

impl AuthoritySettings {
    /// Sets T, the time for which one acknowledged renewal or heartbeat extends the authority.
    pub fn with_term(self, term: Duration) -> Self {
        Self { term, ..self }
    }

    /// Sets the time between two heartbeats.
    pub fn with_heartbeat_interval(self, heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            ..self
        }
    }

    /// Sets the time after which an unanswered read or write is repeated.
    pub fn with_retry_interval(self, retry_interval: Duration) -> Self {
        Self {
            retry_interval,
            ..self
        }
    }

    /// Sets how long the set of live hosts must stay unchanged before a live owner hands a shard
    /// over to another preferred host.
    pub fn with_settle_time(self, settle_time: Duration) -> Self {
        Self {
            settle_time,
            ..self
        }
    }

    /// Sets the allowance for differing clock rates, in thousandths of T.
    pub fn with_drift_per_mille(self, drift_per_mille: u32) -> Self {
        Self {
            drift_per_mille,
            ..self
        }
    }

    /// Returns the settings if the values fit together.
    ///
    /// # Errors
    /// Returns the first [`AuthorityError`] that applies.
    pub fn check(self) -> Result<Self> {
        if self.term.is_zero() {
            return Err(AuthorityError::ZeroTerm);
        }
        if self.heartbeat_interval.is_zero() || self.heartbeat_interval > self.term / 2 {
            return Err(AuthorityError::HeartbeatInterval);
        }
        if self.retry_interval.is_zero() || self.retry_interval > self.term {
            return Err(AuthorityError::RetryInterval);
        }
        if self.drift_per_mille > PER_MILLE / 2 {
            return Err(AuthorityError::DriftAllowance);
        }
        Ok(self)
    }

    /// Returns T, the time for which one acknowledgement extends the authority, before the drift
    /// allowance.
    pub fn term(&self) -> Duration {
        self.term
    }

    /// Returns how long a host relies on an acknowledgement, counted from the send time: T less the
    /// drift allowance.
    pub fn host_term(&self) -> Duration {
        self.term.saturating_sub(self.drift())
    }

    /// Returns how long a guardian waits before it declares a host dead, counted from receipt of a
    /// heartbeat or observation of a record: T plus the drift allowance.
    pub fn guardian_term(&self) -> Duration {
        self.term.saturating_add(self.drift())
    }

    /// Returns the time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval
    }

    /// Returns the time after which an unanswered read or write is repeated.
    pub fn retry_interval(&self) -> Duration {
        self.retry_interval
    }

    /// Returns how long the set of live hosts must stay unchanged before a live owner hands a shard
    /// over to another preferred host.
    pub fn settle_time(&self) -> Duration {
        self.settle_time
    }

    /// Returns the age of the newest acknowledgement at which a host renews at the key-value
    /// service. Half of T leaves the other half for the write.
    pub fn renew_after(&self) -> Duration {
        self.term / 2
    }

    fn drift(&self) -> Duration {
        self.term.saturating_mul(self.drift_per_mille) / PER_MILLE
    }
}
