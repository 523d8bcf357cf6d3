//! Constants of the wire format of messages between processes.

use std::time::Duration;

/// Version of the message format. A receiver rejects messages of any other version and counts them.
pub const PROTOCOL_VERSION: &str = "1";

/// Largest message body in bytes. The handover of one shard and a snapshot with several configuration documents fit.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Largest accepted difference between the wall clocks of sender and receiver. It determines how long nonces are kept;
/// synchronised clocks differ only by milliseconds.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// Header with the protocol version.
pub const VERSION_HEADER: &str = "x-zinniahinge-version";
/// Header with the id of the signing key.
pub const KEY_HEADER: &str = "x-zinniahinge-key";
/// Header with the sender's wall clock in milliseconds since the Unix epoch.
pub const TIME_HEADER: &str = "x-zinniahinge-time";
/// Header with the sender's nonce as 16 hexadecimal digits.
pub const NONCE_HEADER: &str = "x-zinniahinge-nonce";
/// Header with the message authentication code as 64 hexadecimal digits.
pub const MAC_HEADER: &str = "x-zinniahinge-mac";
/// Media type of the body.
pub const CONTENT_TYPE: &str = "application/msgpack";
