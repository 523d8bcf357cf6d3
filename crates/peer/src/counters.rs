//! Counters of the peer layer.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

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
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counters = Self {
            sent: vec("zinniahinge_peer_sent_total", "Peer messages sent.", "path")?,
            received: vec("zinniahinge_peer_received_total", "Peer messages accepted.", "path")?,
            rejected: vec("zinniahinge_peer_rejected_total", "Peer messages rejected.", "reason")?,
            bytes: IntCounter::new("zinniahinge_peer_bytes_total", "Peer body bytes, both ways.")?,
        };
        registry.register(Box::new(counters.sent.clone()))?;
        registry.register(Box::new(counters.received.clone()))?;
        registry.register(Box::new(counters.rejected.clone()))?;
        registry.register(Box::new(counters.bytes.clone()))?;
        Ok(counters)
    }
}

fn vec(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}
