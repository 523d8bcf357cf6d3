use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

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
    /// True if the connection was set up for this request.
    pub is_new: bool,
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
