use std::time::Duration;

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header section, bytes.
    pub header_bytes: usize,
    /// Largest body, bytes.
    pub body_bytes: usize,
    /// Longest time until a header section, and then a body, has arrived.
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
