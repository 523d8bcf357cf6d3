//! Identifiers that processes exchange.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Immutable text that is cheap to clone: the name of an account, model, service, data centre and so on.
pub type Name = Arc<str>;

/// Name of a host, unique in the fleet and stable over restarts of its processes.
pub type HostId = Arc<str>;

/// Number that distinguishes two runs of one host's process; a later run has a larger number.
pub type Incarnation = u64;

/// Revision that the key-value service assigns to a record at each write; later writes have larger revisions.
pub type Revision = u64;

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
            SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(s, 16).map(Self)
            }
        }
    };
}

hex_id! {
    /// Identifies one caller's request in all processes that handle it. Serialized as 32 hexadecimal digits.
    RequestId
}
hex_id! {
    /// Holds the trace id of the W3C `traceparent` header. Serialized as 32 hexadecimal digits.
    TraceId
}
hex_id! {
    /// Identifies one charge against a token bucket. A charge that is sent again carries the same id and counts once.
    /// Serialized as 32 hexadecimal digits.
    GrantId
}
hex_id! {
    /// Identifies one dispatched request in its model's dispatcher. Serialized as 32 hexadecimal digits.
    TicketId
}
