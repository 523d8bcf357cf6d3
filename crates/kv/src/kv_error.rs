use miette::Diagnostic;
use thiserror::Error;
use zinniahinge_types::Revision;

/// Result with [`KvError`].
pub type Result<T, E = KvError> = std::result::Result<T, E>;

/// Failure of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum KvError {
    /// The client cannot be built from the settings.
    #[error("bad key-value client settings: {reason}")]
    BadSettings {
        /// What is wrong.
        reason: String,
    },
    /// The request breaks a limit of the service and was not sent.
    #[error("bad key-value request: {reason}")]
    BadRequest {
        /// What is wrong.
        reason: String,
    },
    /// No endpoint could be connected to; the request had no effect.
    #[error("key-value request was not sent: {reason}")]
    NotSent {
        /// Error of the last endpoint.
        reason: String,
    },
    /// The request was sent and no usable answer came; a write may have taken effect.
    #[error("outcome of the key-value request is unknown: {reason}")]
    OutcomeUnknown {
        /// What happened instead of an answer.
        reason: String,
    },
    /// The service refused the request; it had no effect.
    #[error("key-value service refused the request: {message} (code {code})")]
    Rejected {
        /// Status code of gRPC.
        code: u32,
        /// Message of the service.
        message: String,
    },
    /// The watch ended; the caller lists again and starts a new one.
    #[error("watch was lost: {reason}")]
    WatchLost {
        /// What ended it.
        reason: String,
    },
    /// The watch asked for a revision that the service has discarded; the caller lists again.
    #[error("watch starts before compaction at revision {compacted}")]
    WatchCompacted {
        /// Oldest revision that the service still has.
        compacted: Revision,
    },
    /// An event before this one was not delivered; the caller lists again.
    #[error("watch skipped an event of key {key} before revision {revision}")]
    WatchGap {
        /// Key with a skipped event.
        key: String,
        /// Revision of the event that showed the gap.
        revision: Revision,
    },
}

impl KvError {
    /// True if the request certainly changed nothing.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown { .. })
    }

    pub(crate) fn unknown(reason: impl ToString) -> Self {
        Self::OutcomeUnknown {
            reason: reason.to_string(),
        }
    }

    pub(crate) fn lost(reason: impl ToString) -> Self {
        Self::WatchLost {
            reason: reason.to_string(),
        }
    }
}
