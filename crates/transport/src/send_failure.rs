use miette::Diagnostic;
use thiserror::Error;

/// Result of sending a request and waiting for its response.
pub type Result<T, E = SendFailure> = std::result::Result<T, E>;

/// Says why a request got no response, and whether the other side may have received it.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SendFailure {
    /// No byte of the request was written.
    #[error("request not sent: {reason}")]
    NotSent {
        /// What prevented the request from being written.
        reason: String,
    },
    /// The request was written, at least in part, and no complete response came. The other side may have acted on it.
    #[error("request sent, but no response: {reason}")]
    Unanswered {
        /// What happened instead of a response.
        reason: String,
    },
    /// The request was written, and what came is no HTTP response. The other side may have acted on the request.
    #[error("request sent, but the answer is no HTTP response: {reason}")]
    InvalidResponse {
        /// What is wrong with the answer.
        reason: String,
    },
    /// The deadline passed before the response was complete. The other side may have acted on the request.
    #[error("request sent, but no response before the deadline")]
    TimedOut,
}

impl SendFailure {
    /// Returns true if no byte of the request was written, so that sending it again can't make it run twice.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    /// Builds [`Self::NotSent`] from an error.
    pub(crate) fn not_sent(reason: impl ToString) -> Self {
        Self::NotSent {
            reason: reason.to_string(),
        }
    }

    /// Builds [`Self::InvalidResponse`] from what is wrong with the answer.
    pub(crate) fn invalid_response(reason: impl ToString) -> Self {
        Self::InvalidResponse {
            reason: reason.to_string(),
        }
    }

    /// Builds [`Self::Unanswered`] from an error.
    pub(crate) fn unanswered(reason: impl ToString) -> Self {
        Self::Unanswered {
            reason: reason.to_string(),
        }
    }
}
