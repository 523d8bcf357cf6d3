use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::Result;
use crate::SendFailure;
use crate::http_pool::IdleTable;
use crate::http_pool::PooledLine;

/// Time for a connection to become idle after its answer was read to the end. Longer means that bytes are still due
/// in one direction, and the connection is dropped.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Why a body could not be read: the connection broke, or it is too long ([`http_body_util::LengthLimitError`]).
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// An answer and the connection that it comes on.
#[derive(Debug)]
pub struct PooledExchange {
    /// Answer; its body is still on the way.
    pub response: Response<Incoming>,
    /// Keeps the connection. Dropped before the body was read to its end, the connection is closed.
    pub lease: ConnectionLease,
}

/// A connection in use.
pub struct ConnectionLease {
    pub(crate) line: PooledLine,
    pub(crate) address: SocketAddr,
    pub(crate) idle_time: Duration,
    pub(crate) idle: Arc<IdleTable>,
}

impl fmt::Debug for ConnectionLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionLease")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Reads a body of at most `limit` bytes into one buffer. A body of many small chunks would take several times its size if each were kept.
pub async fn collect_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

impl ConnectionLease {
    /// Reads the answer's body to its end, at most `limit` bytes, and returns the connection to its pool. A body that is
    /// cut, too long or late ends the connection.
    pub async fn read_body(self, body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes> {
        match tokio::time::timeout_at(deadline, collect_body(body, limit)).await {
            Ok(Ok(collected)) => {
                self.return_to_pool();
                Ok(collected)
            }
            Ok(Err(error)) => Err(SendFailure::unanswered(error)),
            Err(_) => Err(SendFailure::TimedOut),
        }
    }

    /// Returns the connection to its pool, for an answer that was read to its end and is in order.
    pub fn return_to_pool(self) {
        let Self {
            mut line,
            address,
            idle_time,
            idle,
        } = self;
        if idle_time.is_zero() {
            return;
        }
        tokio::spawn(async move {
            let settled = tokio::time::timeout(SETTLE_TIME, line.sender.ready()).await;
            if matches!(settled, Ok(Ok(()))) {
                idle.put(address, line, idle_time);
            }
        });
    }
}
