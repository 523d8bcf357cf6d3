//! Errors of sending a message to a peer and of reading the key ring.

use miette::Diagnostic;
use thiserror::Error;

/// Result of a call to a peer.
pub type Result<T, E = PeerError> = std::result::Result<T, E>;

/// States why a call to a peer failed, and whether the peer may have acted on the message.
#[derive(Debug, Error, Diagnostic)]
pub enum PeerError {
    /// The connection could not be set up, so no byte of the message reached the peer.
    #[error("cannot connect to peer {address}")]
    NotSent {
        /// Address that was tried.
        address: String,
    },
    /// The message was sent, but no valid reply arrived in time; the peer may have acted on it.
    #[error("no valid reply from peer {address}: {cause}")]
    OutcomeUnknown {
        /// Address that was tried.
        address: String,
        /// What went wrong, for example `timed out`.
        cause: String,
    },
    /// The peer rejected the message before acting on it.
    #[error("peer {address} rejected the message with status {status}")]
    Rejected {
        /// Address that was tried.
        address: String,
        /// HTTP status code of the reply.
        status: u16,
    },
    /// The message could not be encoded as MessagePack; nothing was sent.
    #[error("cannot encode the message")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The key ring file could not be read or is malformed.
    #[error("key ring file {path}: {cause}")]
    #[diagnostic(help("each line holds an id and 64 hexadecimal digits, separated by a colon"))]
    KeyRing {
        /// Path of the file.
        path: String,
        /// What is wrong with the file, with the line number if it is malformed.
        cause: String,
    },
}
