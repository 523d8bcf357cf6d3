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

/// Smallest read buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Pause after a failed accept; accepting again at once would only spin while descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a service returns. Errors of the body cut the connection.
pub type ServiceResult<B> = Result<Response<B>, Infallible>;

/// Accepts connections and serves requests on them.
pub struct ConnectionServer {
    /// Where connections arrive.
    pub listener: TcpListener,
    /// Ends accepting.
    pub stop_accepting: CancellationToken,
    /// Closes idle connections at once and busy ones after their answer.
    pub close_gracefully: CancellationToken,
    /// Connections open now.
    pub open: Arc<AtomicUsize>,
}

impl fmt::Debug for ConnectionServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionServer").finish_non_exhaustive()
    }
}

/// Counts a connection while it is open.
struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self(open.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ConnectionServer {
    /// Serves until accepting is stopped. `limits` is asked for each connection. The service's future is dropped when
    /// the caller closes its connection.
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
            let Ok(stream) = accepted.and_then(|(stream, _)| prepared(stream)) else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let count = OpenCount::new(&open);
            let close = close_gracefully.clone();
            let (limits, service) = (limits(), service.clone());
            tokio::spawn(async move {
                let _count = count;
                serve(stream, limits, close, service).await;
            });
        }
    }
}

fn prepared(stream: TcpStream) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    Ok(stream)
}

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
        // An error means that the caller broke the connection; its request was dropped with it.
        let _ = connection.await;
    }
}
