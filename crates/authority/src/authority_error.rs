//! Errors of the settings and of the member table.

use miette::Diagnostic;
use thiserror::Error;

/// Result whose error is an [`AuthorityError`] by default.
pub type Result<T, E = AuthorityError> = std::result::Result<T, E>;

/// Reason why a setting or an input was not accepted. State is unchanged after an error.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum AuthorityError {
    /// The term T is zero.
    #[error("the authority term is zero")]
    ZeroTerm,
    /// The heartbeat interval leaves no room for one lost heartbeat.
    #[error("the heartbeat interval must be above zero and at most half the authority term")]
    HeartbeatInterval,
    /// The retry interval is zero or longer than the term.
    #[error("the retry interval must be above zero and at most the authority term")]
    RetryInterval,
    /// The drift allowance is outside 0 to 50%.
    #[error("the drift allowance must be at most 500 per mille")]
    DriftAllowance,
    /// The member table is full; its size is bounded so that its memory is.
    #[error("the member table already holds {limit} hosts")]
    TableFull {
        /// Number of hosts that the table can hold.
        limit: usize,
    },
}
