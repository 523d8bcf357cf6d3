use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use zinniahinge_platform::ResponseMetadata;
use zinniahinge_serving::LoadGuard;
use zinniahinge_transport::ConnectionLease;
use zinniahinge_transport::SendFailure;

use crate::caller_response::ResponseBody;

/// Largest response that is buffered. Services respond with some kilobytes; requests may have 4 MB.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Most bytes that are read of an unneeded response so that its connection can be reused.
const MAX_DISCARD_BYTES: usize = 64 * 1024;

/// Longest time for reading an unneeded response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// A backend server's response whose head was read and whose body is still arriving.
pub(crate) struct BackendResponse {
    pub(crate) metadata: ResponseMetadata,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) lease: ConnectionLease,
    pub(crate) guard: LoadGuard,
}

/// A backend server's response that was read to its end.
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BackendResponse {
    /// Reads and drops the body in a background task, so that the connection can be reused.
    pub(crate) fn discard(self) {
        let until = Instant::now() + DISCARD_TIMEOUT;
        tokio::spawn(self.read_at_most(MAX_DISCARD_BYTES, until));
    }

    /// Reads the body to its end, at most [`MAX_BUFFERED_BYTES`] and until `deadline`. The error says why it is
    /// incomplete.
    pub(crate) async fn read_to_end(
        self,
        deadline: Instant,
    ) -> Result<BufferedResponse, SendFailure> {
        self.read_at_most(MAX_BUFFERED_BYTES, deadline).await
    }

    /// Reads the body of at most `limit` bytes; the load counts as in progress until then.
    async fn read_at_most(
        self,
        limit: usize,
        deadline: Instant,
    ) -> Result<BufferedResponse, SendFailure> {
        let Self {
            metadata,
            headers,
            body,
            lease,
            guard: _guard,
        } = self;
        let body = lease.read_body(body, limit, deadline).await?;
        Ok(BufferedResponse {
            status: metadata.status,
            headers: ResponseMetadata::forwardable_headers(&headers),
            body,
        })
    }
}

impl BufferedResponse {
    /// Builds the response to the caller, unchanged but for the framing headers.
    pub(crate) fn into_response(self) -> http::Response<ResponseBody> {
        let Self {
            status,
            headers,
            body,
        } = self;
        let mut response = http::Response::new(ResponseBody::Buffered(Full::new(body)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}
