//! Errors of this crate.

use miette::Diagnostic;
use thiserror::Error;

/// Result with an [`AuthorityError`].
pub type Result<T, E = AuthorityError> = std::result::Result<T, E>;

/// Why a setting or an input was not accepted. State is unchanged after an error.
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
    /// The table of hosts is full; memory is bounded.
    #[error("the member table already holds {limit} hosts")]
    TableFull {
        /// Largest number of hosts.
        limit: usize,
    },
}
