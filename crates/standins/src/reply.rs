//! Answers of the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::HeaderValue;
use http_body::Body as _;
use http_body::Frame;
use http_body_util::BodyExt;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

/// Frames of a stream that are sent before an early close.
const FRAMES_BEFORE_CLOSE: usize = 3;

/// Time between the last chunk and an early close. The HTTP library discards what it has not sent
/// yet when a body fails.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Chunks that wait for a slow client.
const CHUNKS_IN_FLIGHT: usize = 16;

/// Error type of answer bodies.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Answer with a JSON body.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Answer with status 200 and a JSON body.
pub fn ok_reply(value: &impl Serialize) -> Response {
    json_reply(StatusCode::OK, value)
}

/// Answer that refuses a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Value,
}

impl Refusal {
    /// Refusal with an error message.
    pub fn new(status: StatusCode, message: impl ToString) -> Self {
        let message = message.to_string();
        let body = json!({ "error": { "message": message } });
        Self { status, body }
    }

    /// Refusal of a body that cannot be read.
    pub fn bad_request(message: impl ToString) -> Self {
        Self::new(StatusCode::BAD_REQUEST, message)
    }

    /// Refusal of an unknown path or thing.
    pub fn not_found(message: impl ToString) -> Self {
        Self::new(StatusCode::NOT_FOUND, message)
    }

    /// Refusal because of the present state.
    pub fn conflict(message: impl ToString) -> Self {
        Self::new(StatusCode::CONFLICT, message)
    }
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        json_reply(refusal.status, &refusal.body)
    }
}

/// Answer whose body is a stream of chunks.
pub fn stream_reply<S>(content_type: &'static str, chunks: S) -> Response
where
    S: Stream<Item = Result<Bytes, BodyError>> + Send + Sync + 'static,
{
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    let mut response = Response::new(Body::from_stream(frames));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Sender and stream of an answer's chunks. Sending fails once the client has gone.
pub fn chunk_channel() -> (
    mpsc::Sender<Result<Bytes, BodyError>>,
    impl Stream<Item = Result<Bytes, BodyError>> + Send + Sync + 'static,
) {
    let (sender, mut receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let chunks = futures::stream::poll_fn(move |cx| receiver.poll_recv(cx));
    (sender, chunks)
}

/// The same answer with a body that is not of any protocol.
pub fn garble(response: Response) -> Response {
    response.map(|_| Body::from("\u{7f}<<not an answer>>{\"result\":"))
}

/// The same answer, cut in the middle. With `clean` the rest is left out without a trace.
pub fn cut_early(response: Response, clean: bool) -> Response {
    let (mut parts, body) = response.into_parts();
    let size = body.size_hint().exact();
    let whole = body.into_data_stream();
    let kept = match size {
        Some(size) => {
            // The stated length tells a careful client that the answer is incomplete.
            if !clean {
                parts.headers.insert(CONTENT_LENGTH, size.into());
            }
            let half = usize::try_from(size / 2).unwrap_or(usize::MAX);
            whole
                .map(move |chunk| Ok(chunk?.slice(..half)))
                .take(1)
                .left_stream()
        }
        None => whole.take(FRAMES_BEFORE_CLOSE).right_stream(),
    };
    let end = futures::stream::once(async {
        tokio::time::sleep(FLUSH_TIME).await;
        Err(BodyError::from("closed early"))
    });
    let end = futures::stream::iter((!clean).then_some(end)).flatten();
    let frames = kept.chain(end).map(|chunk| chunk.map(Frame::data));
    Response::from_parts(parts, Body::from_stream(frames))
}
