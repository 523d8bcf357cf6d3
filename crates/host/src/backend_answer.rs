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

use crate::answer::AnswerBody;

/// Largest answer that is not a stream. Services answer with some kilobytes; requests may have 4 MB.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of an answer that nobody needs which are read so that its connection can be used again.
const MAX_DISCARD_BYTES: usize = 64 * 1024;

/// Time to read an answer that nobody needs.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Head of a backend server's answer, its body still on the way.
pub(crate) struct BackendAnswer {
    pub(crate) facts: ResponseMetadata,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) lease: ConnectionLease,
    pub(crate) guard: LoadGuard,
}

/// A backend server's whole answer.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BackendAnswer {
    /// Reads the body in the background and drops it, so that the connection can be used again.
    pub(crate) fn discard(self) {
        let until = Instant::now() + DISCARD_TIME;
        tokio::spawn(self.read_at_most(MAX_DISCARD_BYTES, until));
    }

    /// Reads the body to its end; an error says why it is not whole.
    pub(crate) async fn read_whole(self, deadline: Instant) -> Result<WholeAnswer, SendFailure> {
        self.read_at_most(MAX_ANSWER_BYTES, deadline).await
    }

    async fn read_at_most(
        self,
        limit: usize,
        deadline: Instant,
    ) -> Result<WholeAnswer, SendFailure> {
        let Self {
            facts,
            headers,
            body,
            lease,
            guard: _guard,
        } = self;
        let body = lease.read_body(body, limit, deadline).await?;
        Ok(WholeAnswer {
            status: facts.status,
            headers: ResponseMetadata::forwardable_headers(&headers),
            body,
        })
    }
}

impl WholeAnswer {
    /// The answer to the caller, unchanged but for the framing.
    pub(crate) fn into_response(self) -> http::Response<AnswerBody> {
        let Self {
            status,
            headers,
            body,
        } = self;
        let mut response = http::Response::new(AnswerBody::Whole(Full::new(body)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}
