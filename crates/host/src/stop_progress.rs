use std::sync::OnceLock;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Steps of a graceful shutdown, in order. Each token is cancelled when its step begins.
#[derive(Debug, Default)]
pub(crate) struct StopProgress {
    /// SIGTERM has come: the host says that it is not ready.
    pub(crate) started: CancellationToken,
    /// Each answer closes its connection.
    pub(crate) closing: CancellationToken,
    /// Requests that are not complete by now are refused, since they could be cut off by the end of the process.
    pub(crate) refusing: CancellationToken,
    /// Requests that are still unanswered get an answer now.
    pub(crate) ending: CancellationToken,
    started_at: OnceLock<Instant>,
}

impl StopProgress {
    /// Begins the shutdown; later calls change nothing.
    pub(crate) fn start(&self) {
        self.started_at.get_or_init(Instant::now);
        self.started.cancel();
    }

    /// When the shutdown began; `None` before it.
    pub(crate) fn started_at(&self) -> Option<Instant> {
        self.started_at.get().copied()
    }
}
