//! Authenticated MessagePack messages over HTTP between zinniahinge processes.
//!
//! A [`PeerClient`] seals a message with the first key of a [`KeyRing`]; a [`PeerGate`] opens it on the other
//! side. Replies are sealed against the nonce of the request, so that a reply to another message is rejected.

mod counters;
mod key_ring;
mod key_ring_file;
mod peer_client;
mod peer_error;
mod peer_gate;
mod replay_filter;
mod seal;
mod stoppable_listener;
mod wire;

pub use counters::PeerCounters;
pub use key_ring::KeyRing;
pub use key_ring::PeerKey;
pub use key_ring_file::KeyRingFile;
pub use peer_client::PeerClient;
pub use peer_client::PeerTarget;
pub use peer_error::PeerError;
pub use peer_error::Result;
pub use peer_gate::PeerGate;
pub use peer_gate::RejectReason;
pub use replay_filter::ReplayFilter;
pub use stoppable_listener::StoppableListener;
pub use wire::MAX_MESSAGE_BYTES;
pub use wire::PROTOCOL_VERSION;
