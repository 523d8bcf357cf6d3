use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use zinniahinge_platform::AnswerFacts;
use zinniahinge_serving::LoadGuard;
use zinniahinge_transport::ConnectionLease;
use zinniahinge_transport::SendFailure;

use crate::answer::AnswerBody;

/// Largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time to read an answer that nobody needs.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Head of a backend server's answer, its body still on the way.
pub(crate) struct BackendAnswer {
    pub(crate) facts: AnswerFacts,
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
        tokio::spawn(self.read_whole(Instant::now() + DISCARD_TIME));
    }

    /// Reads the body to its end; an error says why it is not whole.
    pub(crate) async fn read_whole(self, deadline: Instant) -> Result<WholeAnswer, SendFailure> {
        let Self {
            facts,
            headers,
            body,
            lease,
            guard: _guard,
        } = self;
        let body = lease.read_body(body, MAX_ANSWER_BYTES, deadline).await?;
        Ok(WholeAnswer {
            status: facts.status,
            headers: AnswerFacts::caller_headers(&headers),
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
