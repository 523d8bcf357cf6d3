use std::io;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;
use volo::net::incoming::MakeIncoming;

/// Accepts connections until a token is cancelled, then closes the listening socket.
///
/// Without it a graceful shutdown can take 28 s longer: the HTTP library checks for shutdown only between two accepted
/// connections, so it serves one more connection after it has told all others to close, and waits 28 s for that one.
#[derive(Debug)]
pub struct StoppableListener {
    listener: Option<TcpListener>,
    token: CancellationToken,
}

impl StoppableListener {
    /// Creates a listener that accepts connections on `listener` until `token` is cancelled.
    pub fn new(listener: TcpListener, token: CancellationToken) -> Self {
        Self {
            listener: Some(listener),
            token,
        }
    }
}

impl Incoming for StoppableListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        if let Some(listener) = &self.listener {
            let accepted = self.token.run_until_cancelled(listener.accept()).await;
            if let Some(accepted) = accepted {
                let (stream, _peer) = accepted?;
                return Ok(Some(Conn::from(stream)));
            }
        }
        // Closes the socket, so that new connections are refused at once instead of waiting in the backlog.
        self.listener = None;
        std::future::pending().await
    }
}

impl MakeIncoming for StoppableListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}
