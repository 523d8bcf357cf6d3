//! Server side of the messages between processes: verifies requests and signs replies.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use zinniahinge_telemetry::wall_clock_us;
use zinniahinge_types::MonotonicTime;

use crate::PeerCounters;
use crate::ReplayFilter;
use crate::SharedKeyRing;
use crate::signed_parts::SignedParts;
use crate::wire::CONTENT_TYPE;
use crate::wire::KEY_HEADER;
use crate::wire::MAC_HEADER;
use crate::wire::MAX_CLOCK_SKEW;
use crate::wire::MAX_MESSAGE_BYTES;
use crate::wire::NONCE_HEADER;
use crate::wire::PROTOCOL_VERSION;
use crate::wire::TIME_HEADER;
use crate::wire::VERSION_HEADER;

/// Time limit for a message body to arrive after its headers.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// States why a message was rejected. A rejected message changes nothing and is counted by its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// A header is missing or malformed.
    Malformed,
    /// The sender uses another protocol version.
    UnknownVersion,
    /// The key ring does not hold the key that signed the message.
    UnknownKey,
    /// The message authentication code does not match the message.
    InvalidMac,
    /// The sender's time differs from this host's by more than `MAX_CLOCK_SKEW`: clocks differ, or the message is
    /// old.
    ClockSkew,
    /// The nonce was seen before, or the replay filter is full.
    Repeated,
    /// The body is larger than [`MAX_MESSAGE_BYTES`], truncated, or did not arrive in time.
    BadBody,
    /// The body cannot be decoded as the message type of the path.
    Undecodable,
}

impl RejectReason {
    fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnknownVersion => "unknown_version",
            Self::UnknownKey => "unknown_key",
            Self::InvalidMac => "bad_code",
            Self::ClockSkew => "out_of_time",
            Self::Repeated => "repeated",
            Self::BadBody => "bad_body",
            Self::Undecodable => "undecodable",
        }
    }
}

/// Verifies and decodes incoming messages, and signs the replies. Clones share the replay filter.
#[derive(Clone)]
pub struct PeerReceiver {
    keys: SharedKeyRing,
    counters: PeerCounters,
    replay_filter: Arc<ReplayFilter>,
    origin: Instant,
}

struct MessageHeader {
    key_id: String,
    time_ms: u64,
    nonce: u64,
    mac: String,
}

impl PeerReceiver {
    /// Creates a receiver that accepts messages signed with any of `keys`.
    pub fn new(keys: SharedKeyRing, counters: PeerCounters) -> Self {
        Self {
            keys,
            counters,
            replay_filter: Arc::default(),
            origin: Instant::now(),
        }
    }

    /// Verifies a request, calls `handler` with the decoded message, and signs the reply.
    ///
    /// A rejected request gets status 400 without a reason, which is only counted; `handler` is not called.
    pub async fn serve<Req, Rep, Fut>(
        &self,
        request: Request,
        handler: impl FnOnce(Req) -> Fut,
    ) -> Response
    where
        Req: DeserializeOwned,
        Rep: Serialize,
        Fut: Future<Output = Rep>,
    {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        match self.verify_and_decode(&parts, body).await {
            Ok((message, nonce)) => {
                self.counters.received.with_label_values(&[&path]).inc();
                self.sign_reply(&path, nonce, &handler(message).await)
            }
            Err(reason) => {
                self.counters
                    .rejected
                    .with_label_values(&[reason.label()])
                    .inc();
                StatusCode::BAD_REQUEST.into_response()
            }
        }
    }

    async fn verify_and_decode<Req: DeserializeOwned>(
        &self,
        parts: &Parts,
        body: Body,
    ) -> Result<(Req, u64), RejectReason> {
        let header = MessageHeader::read(&parts.headers)?;
        let bytes = read_body(body).await?;
        self.verify(parts.uri.path(), &header, &bytes)?;
        self.counters.bytes.inc_by(bytes.len() as u64);
        let message = rmp_serde::from_slice(&bytes).map_err(|_| RejectReason::Undecodable)?;
        Ok((message, header.nonce))
    }

    fn verify(&self, path: &str, header: &MessageHeader, body: &[u8]) -> Result<(), RejectReason> {
        let MessageHeader {
            key_id,
            time_ms,
            nonce,
            mac,
        } = header;
        let ring = self.keys.ring();
        let key = ring.find(key_id).ok_or(RejectReason::UnknownKey)?;
        let parts = SignedParts {
            direction: "request",
            path,
            time_ms: *time_ms,
            nonce: *nonce,
            body,
        };
        if !parts.verify(key, mac) {
            return Err(RejectReason::InvalidMac);
        }
        if wall_clock_ms().abs_diff(*time_ms) > MAX_CLOCK_SKEW.as_millis() as u64 {
            return Err(RejectReason::ClockSkew);
        }
        let now = MonotonicTime::from_origin(self.origin.elapsed());
        if !self.replay_filter.admit(*nonce, now) {
            return Err(RejectReason::Repeated);
        }
        Ok(())
    }

    fn sign_reply<Rep: Serialize>(&self, path: &str, nonce: u64, reply: &Rep) -> Response {
        let Ok(body) = rmp_serde::to_vec_named(reply) else {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        };
        self.counters.bytes.inc_by(body.len() as u64);
        let ring = self.keys.ring();
        let key = ring.signing_key();
        let time_ms = wall_clock_ms();
        let mac = SignedParts {
            direction: "reply",
            path,
            time_ms,
            nonce,
            body: &body,
        }
        .sign(key);
        let response = http::Response::builder()
            .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
            .header(KEY_HEADER, &*key.id)
            .header(TIME_HEADER, time_ms)
            .header(MAC_HEADER, mac)
            .body(Body::from(Bytes::from(body)));
        response.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
    }
}

impl MessageHeader {
    fn read(headers: &HeaderMap) -> Result<Self, RejectReason> {
        if header_text(headers, VERSION_HEADER)? != PROTOCOL_VERSION {
            return Err(RejectReason::UnknownVersion);
        }
        let time_ms = header_text(headers, TIME_HEADER)?.parse();
        let nonce = u64::from_str_radix(header_text(headers, NONCE_HEADER)?, 16);
        Ok(Self {
            key_id: header_text(headers, KEY_HEADER)?.to_owned(),
            time_ms: time_ms.map_err(|_| RejectReason::Malformed)?,
            nonce: nonce.map_err(|_| RejectReason::Malformed)?,
            mac: header_text(headers, MAC_HEADER)?.to_owned(),
        })
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, RejectReason> {
    let value = headers.get(name).ok_or(RejectReason::Malformed)?;
    value.to_str().map_err(|_| RejectReason::Malformed)
}

async fn read_body(body: Body) -> Result<Bytes, RejectReason> {
    let limited = Limited::new(body, MAX_MESSAGE_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, limited).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        _ => Err(RejectReason::BadBody),
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub(crate) fn wall_clock_ms() -> u64 {
    wall_clock_us() / 1000
}
