//! Errors of sending a message to a peer.

use miette::Diagnostic;
use thiserror::Error;

/// Result of a peer call.
pub type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Why a peer call failed, and whether the peer may have acted on it.
#[derive(Debug, Error, Diagnostic)]
pub enum PeerError {
    /// No byte reached the peer.
    #[error("cannot connect to peer {address}")]
    NotSent {
        /// Address that was tried.
        address: String,
    },
    /// The message was sent but no valid answer came; the peer may have acted on it.
    #[error("no answer from peer {address}: {cause}")]
    OutcomeUnknown {
        /// Address that was tried.
        address: String,
        /// What went wrong.
        cause: String,
    },
    /// The peer refused the message and changed nothing.
    #[error("peer {address} rejected the message with status {status}")]
    Rejected {
        /// Address that was tried.
        address: String,
        /// HTTP status code.
        status: u16,
    },
    /// The message could not be encoded.
    #[error("cannot encode the message")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The key ring file could not be used.
    #[error("key ring file {path}: {cause}")]
    #[diagnostic(help("each line holds an id and 64 hexadecimal digits, separated by a colon"))]
    KeyRing {
        /// Path of the file.
        path: String,
        /// What is wrong.
        cause: String,
    },
}
