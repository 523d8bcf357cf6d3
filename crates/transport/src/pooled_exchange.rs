use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use crate::Result;
use crate::SendFailure;
use crate::http_pool::IdleTable;

/// Time for a connection to become idle after its answer was read to the end. Longer means that bytes are still due
/// in one direction, and the connection is dropped.
const SETTLE_TIME: Duration = Duration::from_millis(100);

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
    pub(crate) sender: SendRequest<Full<Bytes>>,
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

impl ConnectionLease {
    /// Reads the answer's body to its end, at most `limit` bytes, and returns the connection to its pool. A body that is
    /// cut, too long or late ends the connection.
    pub async fn read_body(self, body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes> {
        let collect = Limited::new(body, limit).collect();
        match tokio::time::timeout_at(deadline, collect).await {
            Ok(Ok(collected)) => {
                self.give_back();
                Ok(collected.to_bytes())
            }
            Ok(Err(error)) => Err(SendFailure::unanswered(error)),
            Err(_) => Err(SendFailure::TimedOut),
        }
    }

    /// Returns the connection to its pool, for an answer that was read to its end and is in order.
    pub fn give_back(self) {
        let Self {
            mut sender,
            address,
            idle_time,
            idle,
        } = self;
        if idle_time.is_zero() {
            return;
        }
        tokio::spawn(async move {
            let settled = tokio::time::timeout(SETTLE_TIME, sender.ready()).await;
            if matches!(settled, Ok(Ok(()))) {
                idle.put(address, sender, idle_time);
            }
        });
    }
}
