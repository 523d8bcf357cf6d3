use std::convert::Infallible;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::ServerLimits;

/// Smallest read buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Delay after a failed accept. Without it, the loop would spin while the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of a service call. It has no error case: only an error of the response body can break the connection.
pub type ServiceResult<B> = Result<Response<B>, Infallible>;

/// Accepts connections and passes their requests to a service.
pub struct ConnectionServer {
    /// Socket on which connections arrive.
    pub listener: TcpListener,
    /// Stops accepting connections when cancelled; open connections stay open.
    pub stop_accepting: CancellationToken,
    /// When cancelled, closes idle connections at once and busy ones after their response.
    pub close_gracefully: CancellationToken,
    /// Number of connections that are open now.
    pub open: Arc<AtomicUsize>,
}

impl fmt::Debug for ConnectionServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionServer").finish_non_exhaustive()
    }
}

/// Counts a connection as open until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ConnectionServer {
    /// Accepts connections until `stop_accepting` is cancelled. Each connection is served by a task of its own, which
    /// may outlive this call.
    ///
    /// `limits` is called once per connection, so changed limits apply to new connections. The service's future is
    /// dropped when the caller closes its connection.
    pub async fn run<S, F, B>(self, limits: impl Fn() -> ServerLimits, service: S)
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ServiceResult<B>> + Send + 'static,
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Self {
            listener,
            stop_accepting,
            close_gracefully,
            open,
        } = self;
        while let Some(accepted) = stop_accepting.run_until_cancelled(listener.accept()).await {
            let Ok(stream) = accepted.and_then(|(stream, _)| disable_delay(stream)) else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let guard = OpenGuard::new(&open);
            let close = close_gracefully.clone();
            let (limits, service) = (limits(), service.clone());
            tokio::spawn(async move {
                let _guard = guard;
                serve(stream, limits, close, service).await;
            });
        }
    }
}

/// Disables Nagle's algorithm, which would delay small writes such as events of a stream.
fn disable_delay(stream: TcpStream) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Serves one connection until the caller closes it or `close` is cancelled and the current response is complete.
async fn serve<S, F, B>(
    stream: TcpStream,
    limits: ServerLimits,
    close: CancellationToken,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = ServiceResult<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_header_size(limits.header_bytes)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(service));
    let mut connection = std::pin::pin!(connection);
    let closing = tokio::select! {
        _ended = connection.as_mut() => false,
        () = close.cancelled() => true,
    };
    if closing {
        connection.as_mut().graceful_shutdown();
        // An error means that the caller broke the connection, which also dropped its request.
        let _ = connection.await;
    }
}
