//! Durations of the authority protocol.

use std::time::Duration;

use crate::AuthorityError;
use crate::Result;

const PER_MILLE: u32 = 1000;

/// Durations of the authority protocol. All hosts of a fleet must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthoritySettings {
    term: Duration,
    heartbeat_interval: Duration,
    retry_interval: Duration,
    settle_time: Duration,
    drift_per_mille: u32,
}

impl Default for AuthoritySettings {
    /// T = 3 s, a heartbeat every 1 s, a retry every 250 ms, 5 s until a handover, 1% drift.
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
    /// Sets T, the time that one acknowledged renewal or heartbeat lasts.
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

    /// Sets how long another host must stay preferred before a live owner hands a shard over.
    pub fn with_settle_time(self, settle_time: Duration) -> Self {
        Self {
            settle_time,
            ..self
        }
    }

    /// Sets the allowance for clock rates, in thousandths.
    pub fn with_drift_per_mille(self, drift_per_mille: u32) -> Self {
        Self {
            drift_per_mille,
            ..self
        }
    }

    /// Checks that the values fit together.
    ///
    /// # Errors
    /// The first [`AuthorityError`] that applies.
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

    /// T.
    pub fn term(&self) -> Duration {
        self.term
    }

    /// How long a host relies on an acknowledgement, from the send time: T less the drift allowance.
    pub fn host_term(&self) -> Duration {
        self.term.saturating_sub(self.drift())
    }

    /// How long a guardian waits, from receipt or observation: T plus the drift allowance.
    pub fn guardian_term(&self) -> Duration {
        self.term.saturating_add(self.drift())
    }

    /// Time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval
    }

    /// Time after which an unanswered read or write is repeated.
    pub fn retry_interval(&self) -> Duration {
        self.retry_interval
    }

    /// How long another host must stay preferred before a live owner hands a shard over.
    pub fn settle_time(&self) -> Duration {
        self.settle_time
    }

    /// Age of the newest acknowledgement at which a host renews at the key-value service. Half of T
    /// leaves the other half for the write.
    pub fn renew_after(&self) -> Duration {
        self.term / 2
    }

    fn drift(&self) -> Duration {
        self.term.saturating_mul(self.drift_per_mille) / PER_MILLE
    }
}
