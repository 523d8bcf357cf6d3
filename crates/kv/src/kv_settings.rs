use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a [`KvClient`](crate::KvClient).
#[derive(Clone, Debug)]
pub struct KvSettings {
    /// Addresses of the key-value service, tried in order from the last one that worked.
    pub endpoints: Vec<SocketAddr>,
    /// Longest time for one request at one endpoint, connect included.
    pub request_timeout: Duration,
    /// Longest silence on a watch before it ends with an error; `None` waits forever.
    pub watch_idle_timeout: Option<Duration>,
}

impl KvSettings {
    /// Default of [`KvSettings::request_timeout`]. The service answers in milliseconds when healthy.
    pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

    /// Settings for `endpoints` with default times.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints,
            request_timeout: Self::REQUEST_TIMEOUT,
            watch_idle_timeout: None,
        }
    }

    /// Sets the longest time for one request.
    pub fn with_request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Sets the longest silence on a watch. It must exceed the service's progress notify interval.
    pub fn with_watch_idle_timeout(mut self, timeout: Duration) -> Self {
        self.watch_idle_timeout = Some(timeout);
        self
    }
}
