use std::time::Duration;

/// Limits what the other side of an accepted connection may send, and how long it may stay silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest header section of a request in bytes.
    pub header_bytes: usize,
    /// Longest time from the end of one request until the header section of the next is complete.
    pub idle_timeout: Duration,
}
