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

/// Error that aborts the connection of a stream, so that the caller can't take the stream for complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the event stream was aborted before its end")]
pub(crate) struct StreamAborted;

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// A body that is held in memory as a whole.
    Buffered(Full<Bytes>),
    /// Events of a stream, passed on as they arrive.
    Events {
        chunks: mpsc::Receiver<Result<Bytes, StreamAborted>>,
        /// Cancels the relay task when the caller disconnects, which drops the body.
        _relay: DropGuard,
    },
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Buffered(body) => match Pin::new(body).poll_frame(cx) {
                Poll::Ready(frame) => {
                    Poll::Ready(frame.map(|frame| frame.map_err(|_| StreamAborted)))
                }
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
            Self::Buffered(body) => body.is_end_stream(),
            Self::Events { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Events { .. } => SizeHint::default(),
        }
    }
}

/// Reason for which the host answers a request itself instead of passing on a backend server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalKind {
    /// This host has not read a configuration yet.
    NoConfiguration,
    /// This host can't tell whether the key was withdrawn, since its configuration was not confirmed recently.
    StaleConfiguration,
    /// No route has the request's host name and path.
    UnknownRoute,
    /// The request has no key, and its route requires one.
    MissingKey,
    /// The key belongs to no client account, or was withdrawn.
    UnknownKey,
    /// Required headers are missing or malformed, or the body is framed by more than one header.
    BadHeaders,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body broke off or was malformed.
    BodyBroken,
    /// The body did not arrive within the time limit.
    BodyTooSlow,
    /// This host shuts down, and another one can take the request.
    HostStopping,
    /// The client account exceeds its rate.
    RateLimited,
    /// No backend server of the service is available.
    NoBackend,
    /// All backend servers that could run the request asked for a pause.
    ServersPaused,
    /// All backend servers that could run the request limit requests and have no slot in time.
    ServersLimited,
    /// A part of the request's prompt crashes backend servers.
    PartBlocked,
    /// The model is not loaded and can't be loaded in time.
    ModelUnavailable,
    /// No body memory is left, or no retry became available.
    Overloaded,
    /// The deadline passed before a response came.
    DeadlinePassed,
    /// Backend servers failed, and the request can't be sent again.
    BackendFailed,
}

impl RefusalKind {
    /// Name of the reason in problem documents, request logs and metric labels.
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
            Self::HostStopping => "host-stopping",
            Self::RateLimited => "rate-limited",
            Self::NoBackend => "no-backend",
            Self::ServersPaused => "servers-paused",
            Self::ServersLimited => "servers-limited",
            Self::PartBlocked => "prompt-part-blocked",
            Self::ModelUnavailable => "model-unavailable",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline-passed",
            Self::BackendFailed => "backend-failed",
        }
    }

    /// Status if the request surely has not run.
    fn status(self) -> StatusCode {
        match self {
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::MissingKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadHeaders | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::HostStopping
            | Self::StaleConfiguration
            | Self::NoBackend
            | Self::ServersPaused
            | Self::ServersLimited
            | Self::PartBlocked
            | Self::ModelUnavailable
            | Self::Overloaded
            | Self::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A response that the host gives itself, as a problem document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) kind: RefusalKind,
    /// Delay after which the caller may try again; `None` states none.
    pub(crate) retry_after: Option<Duration>,
    /// True if a backend server may have run the request; the response then doesn't promise that it did not run.
    pub(crate) may_have_run: bool,
}

/// Result of a step in the handling of a request; the error is what the caller gets.
pub(crate) type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Body of a refusal, a problem document (RFC 9457); `ran` is "no" or "unknown".
#[derive(Serialize)]
struct ProblemBody {
    r#type: String,
    title: &'static str,
    status: u16,
    ran: &'static str,
}

impl Refusal {
    /// Creates the refusal of a request that has not run, without a delay for the next try.
    pub(crate) fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            retry_after: None,
            may_have_run: false,
        }
    }

    /// Sets the delay after which the caller may try again. The response states it only if the request certainly has not
    /// run.
    pub(crate) fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Status of the response; one that promises that the request did not run is used only if that is certain.
    pub(crate) fn status(&self) -> StatusCode {
        match (self.may_have_run, self.kind) {
            (false, kind) => kind.status(),
            (true, RefusalKind::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
            (true, _) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Builds the response, with a problem document as its body.
    pub(crate) fn to_response(self) -> Response<ResponseBody> {
        let name = self.kind.name();
        let body = ProblemBody {
            r#type: format!("urn:zinniahinge:problem:{name}"),
            title: name,
            status: self.status().as_u16(),
            ran: if self.may_have_run { "unknown" } else { "no" },
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(ResponseBody::Buffered(Full::new(body.into())));
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
