use miette::Diagnostic;
use thiserror::Error;
use zinniahinge_types::Revision;

/// Result whose error is a [`KvError`] by default.
pub type Result<T, E = KvError> = std::result::Result<T, E>;

/// Failure of a call to the key-value service, or the end of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum KvError {
    /// The client cannot be built from the settings.
    #[error("bad key-value client settings: {reason}")]
    BadSettings {
        /// Which setting is wrong, and why.
        reason: String,
    },
    /// The request breaks a limit of the service or cannot be encoded, and was not sent.
    #[error("bad key-value request: {reason}")]
    BadRequest {
        /// Which limit is broken, or why the encoding failed.
        reason: String,
    },
    /// No endpoint could be connected to; the request had no effect.
    #[error("key-value request was not sent: {reason}")]
    NotSent {
        /// Error of the endpoint that was tried last.
        reason: String,
    },
    /// The request was sent and no usable answer came; a write may have taken effect.
    #[error("outcome of the key-value request is unknown: {reason}")]
    OutcomeUnknown {
        /// What happened instead of a usable answer.
        reason: String,
    },
    /// The service refused the request; it had no effect.
    #[error("key-value service refused the request: {message} (code {code})")]
    Rejected {
        /// gRPC status code of the refusal.
        code: u32,
        /// Message from the service.
        message: String,
    },
    /// The watch ended unexpectedly; the caller lists again and starts a new one.
    #[error("watch was lost: {reason}")]
    WatchLost {
        /// What ended the watch.
        reason: String,
    },
    /// The watch asked for a revision that the service has discarded; the caller lists again.
    #[error("watch starts before compaction at revision {compacted}")]
    WatchCompacted {
        /// Oldest revision that the service still keeps.
        compacted: Revision,
    },
    /// An event was skipped, repeated or out of order; the caller lists again.
    #[error("watch skipped an event of key {key} before revision {revision}")]
    WatchGap {
        /// Key of the event that showed the gap.
        key: String,
        /// Revision of the event that showed the gap.
        revision: Revision,
    },
}

impl KvError {
    /// Returns whether the request certainly changed nothing.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown { .. })
    }

    pub(crate) fn outcome_unknown(reason: impl ToString) -> Self {
        Self::OutcomeUnknown {
            reason: reason.to_string(),
        }
    }

    pub(crate) fn watch_lost(reason: impl ToString) -> Self {
        Self::WatchLost {
            reason: reason.to_string(),
        }
    }
}
