//! Error answers to callers, as RFC 9457 problem details.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

/// Result of a filter.
pub type Result<T, E = RequestProblem> = std::result::Result<T, E>;

/// Whether the refused or failed request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// Certainly not; sending it again is safe.
    No,
    /// It ran; the answer cannot be given.
    Yes,
    /// It was sent and no complete answer came.
    Unknown,
}

/// Kind of problem; names the `type` member of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProblemKind {
    /// No key was sent.
    MissingKey,
    /// The key belongs to no client account, or was withdrawn.
    InvalidKey,
    /// The key was sent in the path or the query, where logs would keep it.
    KeyInQuery,
    /// The client account may not use this model or route.
    Forbidden,
    /// No route for this method and path.
    UnknownRoute,
    /// The model or adapter is in no document.
    UnknownModel,
    /// The body is not what the route expects.
    InvalidBody,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The header section is over the limit.
    HeadersTooLarge,
    /// The charge is larger than the account's burst and can never be granted.
    ChargeTooLarge,
    /// The client account used up its rate.
    RateLimited,
    /// The queue is full.
    Overloaded,
    /// The deadline passed or cannot be met.
    DeadlineExceeded,
    /// The process that decides cannot be reached.
    OwnerUnavailable,
    /// The host cannot tell whether keys were withdrawn.
    StaleConfiguration,
    /// No backend server for the route.
    NoBackendServer,
    /// The backend server failed or answered garbage.
    BackendFailed,
    /// An earlier use of the idempotency key has not finished.
    IdempotencyInProgress,
    /// The idempotency key was used for another request.
    IdempotencyMismatch,
    /// An earlier use of the idempotency key may have run.
    OutcomeUnknown,
    /// The idempotency key is malformed.
    InvalidIdempotencyKey,
}

impl ProblemKind {
    /// Short name used in the `type` member, counters and events.
    pub fn name(self) -> &'static str {
        match self {
            Self::MissingKey => "missing-key",
            Self::InvalidKey => "invalid-key",
            Self::KeyInQuery => "key-in-query",
            Self::Forbidden => "forbidden",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownModel => "unknown-model",
            Self::InvalidBody => "invalid-body",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
            Self::HeadersTooLarge => "headers-too-large",
            Self::ChargeTooLarge => "charge-too-large",
            Self::RateLimited => "rate-limited",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::OwnerUnavailable => "owner-unavailable",
            Self::StaleConfiguration => "stale-configuration",
            Self::NoBackendServer => "no-backend-server",
            Self::BackendFailed => "backend-failed",
            Self::IdempotencyInProgress => "idempotency-in-progress",
            Self::IdempotencyMismatch => "idempotency-mismatch",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::InvalidIdempotencyKey => "invalid-idempotency-key",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::MissingKey | Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::UnknownRoute | Self::UnknownModel => StatusCode::NOT_FOUND,
            Self::KeyInQuery | Self::InvalidBody | Self::InvalidIdempotencyKey => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge | Self::ChargeTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::Overloaded
            | Self::OwnerUnavailable
            | Self::StaleConfiguration
            | Self::NoBackendServer => StatusCode::SERVICE_UNAVAILABLE,
            Self::BackendFailed | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::IdempotencyInProgress => StatusCode::CONFLICT,
            Self::IdempotencyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

/// A request that gets an error answer.
#[derive(Clone, Debug)]
pub struct RequestProblem {
    /// Kind.
    pub kind: ProblemKind,
    /// Sentence for the caller; never contains a key or a body.
    pub detail: String,
    /// Whether the request ran.
    pub ran: RanState,
    /// When a new attempt makes sense.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    ran: RanState,
}

impl RequestProblem {
    /// A problem with a request that did not run.
    pub fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ran: RanState::No,
            retry_after: None,
        }
    }

    /// Sets whether the request ran.
    pub fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }

    /// Takes earlier attempts at the request into account: if one of them may have run, "not run"
    /// would be false, whatever became of the last attempt.
    pub fn after_attempts(mut self, may_have_run: bool) -> Self {
        if may_have_run && self.ran == RanState::No {
            self.ran = RanState::Unknown;
        }
        self
    }

    /// Sets when a new attempt makes sense.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// JSON of the answer's body.
    pub fn to_json(&self) -> String {
        let Self {
            kind,
            detail,
            ran,
            retry_after: _,
        } = self;
        let body = ProblemBody {
            r#type: format!("urn:zinniahinge:problem:{}", kind.name()),
            title: kind.name(),
            status: kind.status().as_u16(),
            detail,
            ran: *ran,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// The whole answer.
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(Body::from(self.to_json()));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(retry_after) = self.retry_after {
            headers.insert(
                header::RETRY_AFTER,
                HeaderValue::from(whole_seconds(retry_after)),
            );
        }
        if self.kind.status() == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

/// `Retry-After` counts whole seconds; rounding down would invite a retry that must fail.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_millis().div_ceil(1000).max(1) as u64
}
