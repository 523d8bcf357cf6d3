//! Sends requests to backend servers.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http_body_util::BodyExt;
use http_body_util::Limited;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;

/// Time to set up a connection to a backend server in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept per backend server.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Largest answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Why a backend server gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendFailure {
    /// No byte of the request was written.
    NotSent,
    /// The request was sent; it may have run.
    NoAnswer,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The answer belongs to another request.
    CrossedAnswer,
    /// The answer is cut short or is not what the interface promises.
    BrokenAnswer,
}

/// Result of a backend call.
pub type Result<T, E = BackendFailure> = std::result::Result<T, E>;

/// One request to a backend server.
#[derive(Clone)]
pub struct BackendCall {
    /// IP address and port.
    pub address: zinniahinge_types::Name,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, already stripped.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When to give up waiting for the answer's headers.
    pub deadline: Instant,
}

/// Connections to backend servers.
#[derive(Clone)]
pub struct BackendClient {
    pooled: Client,
    single_use: Client,
}

impl BackendClient {
    /// Creates the clients.
    pub fn new() -> std::result::Result<Self, ClientError> {
        Ok(Self {
            pooled: build_client(MAX_IDLE_CONNECTIONS)?,
            // A kept connection may be closed by the server just as a request is written. For a request that
            // must not be repeated that would make the outcome unknown, so each gets a fresh connection.
            single_use: build_client(0)?,
        })
    }

    /// Sends a request that may be repeated.
    pub async fn send(&self, call: BackendCall) -> Result<Response> {
        exchange(&self.pooled, call).await
    }

    /// Sends a request that must not be repeated, on a connection of its own.
    pub async fn send_once(&self, call: BackendCall) -> Result<Response> {
        exchange(&self.single_use, call).await
    }
}

/// Reads a whole answer; a cut or over-long one is an error.
pub async fn read_whole(body: Body, deadline: Instant) -> Result<Bytes> {
    let left = deadline.saturating_duration_since(Instant::now());
    let collect = Limited::new(body, MAX_ANSWER_BYTES).collect();
    match tokio::time::timeout(left, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(BackendFailure::BrokenAnswer),
        Err(_) => Err(BackendFailure::TimedOut),
    }
}

fn build_client(max_idle: usize) -> std::result::Result<Client, ClientError> {
    let mut builder = ClientBuilder::new();
    builder.disable_tls(true);
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder.set_max_idle_per_host(max_idle);
    builder.build()
}

async fn exchange(client: &Client, call: BackendCall) -> Result<Response> {
    let BackendCall {
        address,
        method,
        path,
        headers,
        body,
        deadline,
    } = call;
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(BackendFailure::NotSent);
    }
    let mut request = client.request(method, format!("http://{address}{path}"));
    request.headers_mut().extend(headers);
    let send = request.body(Body::from(body)).send();
    match tokio::time::timeout(left, send).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(classify(&error)),
        Err(_) => Err(BackendFailure::TimedOut),
    }
}

fn classify(error: &ClientError) -> BackendFailure {
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder => BackendFailure::NotSent,
        _ => BackendFailure::NoAnswer,
    }
}
