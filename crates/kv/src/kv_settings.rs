use std::net::SocketAddr;
use std::time::Duration;

/// Endpoints and timeouts of a [`KvClient`](crate::KvClient).
#[derive(Clone, Debug)]
pub struct KvSettings {
    /// Addresses of the key-value service, tried in this order from the one that worked last.
    pub endpoints: Vec<SocketAddr>,
    /// Longest time for one request at one endpoint, including the connect.
    pub request_timeout: Duration,
    /// Longest time without data on a watch before it ends with an error; `None` waits forever.
    pub watch_idle_timeout: Option<Duration>,
}

impl KvSettings {
    /// Default of [`KvSettings::request_timeout`]. A healthy service answers in milliseconds.
    pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates settings for `endpoints` with the default request timeout and no idle timeout.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints,
            request_timeout: Self::REQUEST_TIMEOUT,
            watch_idle_timeout: None,
        }
    }

    /// Sets the longest time for one request at one endpoint.
    pub fn with_request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Sets the longest time without data on a watch. It must exceed the interval of the service's
    /// progress notifications, which keep an idle watch open.
    pub fn with_watch_idle_timeout(mut self, timeout: Duration) -> Self {
        self.watch_idle_timeout = Some(timeout);
        self
    }
}
