use miette::Diagnostic;
use thiserror::Error;

/// Result of sending a request.
pub type Result<T, E = SendFailure> = std::result::Result<T, E>;

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SendFailure {
    /// No byte of the request was written.
    #[error("not sent: {reason}")]
    NotSent {
        /// What prevented it.
        reason: String,
    },
    /// The request was written, at least in part, and no answer came; the other side may have acted.
    #[error("sent, but no answer: {reason}")]
    Unanswered {
        /// What happened instead of an answer.
        reason: String,
    },
    /// The time for the answer ran out after the request was written.
    #[error("sent, but no answer in time")]
    TimedOut,
}

impl SendFailure {
    /// True if the other side certainly did not get the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    pub(crate) fn not_sent(reason: impl ToString) -> Self {
        Self::NotSent {
            reason: reason.to_string(),
        }
    }

    pub(crate) fn unanswered(reason: impl ToString) -> Self {
        Self::Unanswered {
            reason: reason.to_string(),
        }
    }
}
