//! Counters of the peer layer.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;

/// Counts messages and bytes by direction, and rejected messages by reason.
#[derive(Clone)]
pub struct PeerCounters {
    /// Messages sent, by path.
    pub sent: IntCounterVec,
    /// Messages received and accepted, by path.
    pub received: IntCounterVec,
    /// Messages rejected, by reason.
    pub rejected: IntCounterVec,
    /// Body bytes sent and received.
    pub bytes: IntCounter,
}

impl PeerCounters {
    /// Creates the counters and registers them.
    pub fn register(registry: &MetricsRegistry) -> Result<Self, MetricError> {
        Ok(Self {
            sent: registry.counter_vec("peer_sent_total", "Peer messages sent.", &["path"])?,
            received: registry.counter_vec(
                "peer_received_total",
                "Peer messages accepted.",
                &["path"],
            )?,
            rejected: registry.counter_vec(
                "peer_rejected_total",
                "Peer messages rejected.",
                &["reason"],
            )?,
            bytes: registry.counter("peer_bytes_total", "Peer body bytes, both ways.")?,
        })
    }
}
