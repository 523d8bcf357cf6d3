//! Metrics of the messages between processes.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;

/// Counts sent and received messages by path, rejected messages by reason, and body bytes.
#[derive(Clone)]
pub struct PeerCounters {
    /// Messages sent, by path.
    pub sent: IntCounterVec,
    /// Messages received and accepted, by path.
    pub received: IntCounterVec,
    /// Messages rejected on receipt, by the label of their [`RejectReason`](crate::RejectReason).
    pub rejected: IntCounterVec,
    /// Body bytes sent and received, as one sum.
    pub bytes: IntCounter,
}

impl PeerCounters {
    /// Creates the counters and registers them. Fails if `registry` already holds a metric of the same name.
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
