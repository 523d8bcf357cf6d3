use std::time::Duration;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a header section.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a header section, and for a body, to arrive.
    pub read_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
