use std::time::Duration;

use http::HeaderName;

/// Sets the time-outs and the size of an [`crate::HttpPool`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Longest time to set up a connection.
    pub connect_timeout: Duration,
    /// Time after which written bytes that stay unacknowledged end the connection. There is no other sign of a host
    /// that lost power.
    pub unacknowledged_timeout: Duration,
    /// Time of silence after which the kernel probes the other side, and the time between probes; two lost probes end
    /// the connection. Only whole seconds count.
    pub probe_interval: Duration,
    /// Time for which the other side is assumed to keep an idle connection if its response states none.
    pub idle_time: Duration,
    /// Share of the idle time, in percent, after which a connection is not reused. Near the end of the idle time, the
    /// other side may close the connection while a request is on its way.
    pub idle_percent: u32,
    /// Largest number of idle connections per address.
    pub max_idle: usize,
    /// Header in which the other side repeats the id of the request that it answers, the one that
    /// [`crate::RequestKey::new`] gets. Late answers to earlier requests of a connection are then skipped; `None` if
    /// answers name no request.
    pub id_header: Option<HeaderName>,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            // A running host accepts within one round trip between regions.
            connect_timeout: Duration::from_millis(500),
            unacknowledged_timeout: Duration::from_millis(1500),
            probe_interval: Duration::from_secs(1),
            idle_time: Duration::from_secs(4),
            idle_percent: 70,
            max_idle: 32,
            id_header: None,
        }
    }
}
