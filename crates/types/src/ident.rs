//! Identifiers exchanged between processes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

/// Immutable name shared by reference: account, model, service, place and so on.
pub type Name = Arc<str>;

/// Name of a control process's host, unique in the fleet and stable over restarts.
pub type HostId = Arc<str>;

/// Distinguishes two runs of the process on one host; a later run has a larger number.
pub type Incarnation = u64;

/// Revision of a key-value record, as assigned by the key-value service.
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
    /// Identifies one caller request over all processes that handle it.
    RequestId
}
hex_id! {
    /// Trace id of the W3C `traceparent` header.
    TraceId
}
hex_id! {
    /// Identifies one charge against a token bucket; a repeated charge has the same id.
    GrantId
}
hex_id! {
    /// Identifies one dispatched request in its model's dispatcher.
    TicketId
}
