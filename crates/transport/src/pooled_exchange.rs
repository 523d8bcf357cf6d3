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
use crate::http_pool::PooledConnection;

/// Time limit for a connection to become ready for the next request after its response was read to the end. If it takes
/// longer, bytes are still due in one direction, and the connection is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Error of reading a body: the connection broke, or the body is too long ([`http_body_util::LengthLimitError`]).
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Holds a response and the connection on which it arrives.
#[derive(Debug)]
pub struct PooledExchange {
    /// Response, whose body is still to be read.
    pub response: Response<Incoming>,
    /// Connection of the response. If it is dropped before the body was read to its end, the connection is closed.
    pub lease: ConnectionLease,
    /// True if the connection had an exchange before. Late bytes of that one may have come first.
    pub is_reused: bool,
    /// Number of answers to earlier requests of the connection that came before the response and were skipped.
    pub late_answers: u64,
}

/// Holds a pooled connection while it is in use. Dropping it closes the connection.
pub struct ConnectionLease {
    pub(crate) connection: PooledConnection,
    pub(crate) address: SocketAddr,
    /// Time for which the connection may be reused once it is idle; zero if it must be closed.
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

/// Reads a body of at most `limit` bytes into one buffer.
///
/// Keeping the chunks instead would take several times the size of a body that consists of many small ones.
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
    /// Reads the response's body to its end and returns the connection to its pool.
    ///
    /// Fails and closes the connection if the body is cut off, longer than `limit` bytes or not complete at `deadline`.
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

    /// Returns the connection to its pool. Call it only after the response was read to its end without an error.
    pub fn return_to_pool(self) {
        let Self {
            mut connection,
            address,
            idle_time,
            idle,
        } = self;
        if idle_time.is_zero() || connection.carried.is_full() {
            return;
        }
        tokio::spawn(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                idle.put(address, connection, idle_time);
            }
        });
    }
}
