//! Constants of the wire format.

use std::time::Duration;

/// Version of the message format. A message of another version is rejected and counted.
pub const PROTOCOL_VERSION: &str = "1";

/// Largest message body in bytes. A handover of one shard and a snapshot with several documents fit.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Largest difference between the sender's wall clock and ours. Bounds how long nonces are kept; synchronised clocks
/// differ by milliseconds.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// Header with the protocol version.
pub const VERSION_HEADER: &str = "x-zinniahinge-version";
/// Header with the id of the signing key.
pub const KEY_HEADER: &str = "x-zinniahinge-key";
/// Header with the sender's wall clock, milliseconds since the Unix epoch.
pub const TIME_HEADER: &str = "x-zinniahinge-time";
/// Header with the sender's nonce, hexadecimal.
pub const NONCE_HEADER: &str = "x-zinniahinge-nonce";
/// Header with the message authentication code, hexadecimal.
pub const MAC_HEADER: &str = "x-zinniahinge-mac";
/// Media type of the body.
pub const CONTENT_TYPE: &str = "application/msgpack";
