use std::time::Duration;

/// How an [`crate::HttpPool`] treats its connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Time to set up a connection.
    pub connect_timeout: Duration,
    /// Written bytes that stay unacknowledged for this long end the connection. The only sign of a host without power.
    pub unacknowledged_timeout: Duration,
    /// Silence after which the kernel probes the other side, and the time between probes; two lost probes end the
    /// connection. Whole seconds.
    pub probe_interval: Duration,
    /// Time for which an idle connection is used again if the other side states none.
    pub idle_time: Duration,
    /// Part of the stated idle time, in percent, after which a connection is not used again: the other side may be
    /// closing it while a request is on its way.
    pub idle_percent: u32,
    /// Idle connections kept per address.
    pub max_idle: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            // A live host accepts within one round trip between regions.
            connect_timeout: Duration::from_millis(500),
            unacknowledged_timeout: Duration::from_millis(1500),
            probe_interval: Duration::from_secs(1),
            idle_time: Duration::from_secs(4),
            idle_percent: 70,
            max_idle: 32,
        }
    }
}
