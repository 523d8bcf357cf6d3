use std::time::Duration;

/// Bounds on what the other side of an accepted connection may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Bytes of a header section.
    pub header_bytes: usize,
    /// Time from the end of one request to the whole header section of the next.
    pub idle_timeout: Duration,
}
