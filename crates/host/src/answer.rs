use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio_util::sync::DropGuard;
use zinniahinge_platform::set_retry_after;

/// Ends a stream so that the caller can't take it for whole.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer was cut")]
pub(crate) struct CutAnswer;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// Events as they arrive.
    Events {
        chunks: mpsc::Receiver<Result<Bytes, CutAnswer>>,
        /// Ends the relay when the caller leaves.
        _relay: DropGuard,
    },
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutAnswer>>> {
        match self.get_mut() {
            Self::Whole(body) => match Pin::new(body).poll_frame(cx) {
                Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(|_| CutAnswer))),
                Poll::Pending => Poll::Pending,
            },
            Self::Events { chunks, .. } => {
                let chunk = std::task::ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Events { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events { .. } => SizeHint::default(),
        }
    }
}

/// Why a request is answered by this system itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalKind {
    NoConfiguration,
    StaleConfiguration,
    UnknownRoute,
    MissingKey,
    UnknownKey,
    BadHeaders,
    BodyTooLarge,
    BodyBroken,
    BodyTooSlow,
    RateLimited,
    NoBackend,
    ModelUnavailable,
    Overloaded,
    DeadlinePassed,
    BackendFailed,
}

impl RefusalKind {
    /// Name for callers, logs and counters.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::StaleConfiguration => "stale-configuration",
            Self::UnknownRoute => "unknown-route",
            Self::MissingKey => "missing-key",
            Self::UnknownKey => "unknown-key",
            Self::BadHeaders => "bad-headers",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
            Self::BodyTooSlow => "body-too-slow",
            Self::RateLimited => "rate-limited",
            Self::NoBackend => "no-backend",
            Self::ModelUnavailable => "model-unavailable",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline-passed",
            Self::BackendFailed => "backend-failed",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::MissingKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadHeaders | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::NoBackend
            | Self::ModelUnavailable
            | Self::Overloaded
            | Self::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
        }
    }
}

/// An answer of this system's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) kind: RefusalKind,
    pub(crate) retry_after: Option<Duration>,
    /// True if a backend server may have run the request; then nothing is promised.
    pub(crate) may_have_run: bool,
}

/// Result of a step of a request.
pub(crate) type Result<T, E = Refusal> = std::result::Result<T, E>;

#[derive(Serialize)]
struct ProblemBody {
    r#type: String,
    title: &'static str,
    status: u16,
    ran: &'static str,
}

impl Refusal {
    /// Refuses a request that has not run.
    pub(crate) fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            retry_after: None,
            may_have_run: false,
        }
    }

    /// Sets when a new try makes sense.
    pub(crate) fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Status: one that promises that the request was not run only if that is known.
    pub(crate) fn status(&self) -> StatusCode {
        match (self.may_have_run, self.kind) {
            (false, kind) => kind.status(),
            (true, RefusalKind::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
            (true, _) => StatusCode::BAD_GATEWAY,
        }
    }

    /// The answer.
    pub(crate) fn to_response(self) -> Response<AnswerBody> {
        let name = self.kind.name();
        let body = ProblemBody {
            r#type: format!("urn:zinniahinge:problem:{name}"),
            title: name,
            status: self.status().as_u16(),
            ran: if self.may_have_run { "unknown" } else { "no" },
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(AnswerBody::Whole(Full::new(body.into())));
        *response.status_mut() = self.status();
        let content_type = HeaderValue::from_static("application/problem+json");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        if !self.may_have_run {
            set_retry_after(&mut response, self.retry_after);
        }
        response
    }
}
