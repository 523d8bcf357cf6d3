//! Sends authenticated MessagePack messages over HTTP between zinniahinge processes.
//!
//! A [`PeerClient`] signs a message with the first key of a [`KeyRing`]; a [`PeerReceiver`] verifies it on the other
//! side. The signature of a reply covers the nonce of the request, so that a reply to another message is rejected.

mod key_ring;
mod peer_client;
mod peer_counters;
mod peer_error;
mod peer_receiver;
mod replay_filter;
mod shared_key_ring;
mod signed_parts;
mod stoppable_listener;
mod wire;

pub use key_ring::KeyRing;
pub use key_ring::PeerKey;
pub use peer_client::PeerClient;
pub use peer_client::PeerTarget;
pub use peer_counters::PeerCounters;
pub use peer_error::PeerError;
pub use peer_error::Result;
pub use peer_receiver::PeerReceiver;
pub use peer_receiver::RejectReason;
pub use replay_filter::ReplayFilter;
pub use shared_key_ring::SharedKeyRing;
pub use stoppable_listener::StoppableListener;
pub use wire::MAX_MESSAGE_BYTES;
pub use wire::PROTOCOL_VERSION;
