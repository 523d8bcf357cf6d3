//! Sending side of peer messages.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

use crate::PeerCounters;
use crate::PeerError;
use crate::Result;
use crate::SharedKeyRing;
use crate::peer_receiver::wall_clock_ms;
use crate::seal::SealedParts;
use crate::wire::CONTENT_TYPE;
use crate::wire::KEY_HEADER;
use crate::wire::MAC_HEADER;
use crate::wire::MAX_MESSAGE_BYTES;
use crate::wire::NONCE_HEADER;
use crate::wire::PROTOCOL_VERSION;
use crate::wire::TIME_HEADER;
use crate::wire::VERSION_HEADER;

/// Time to set up a connection. A live peer accepts within one round trip between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept per peer.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Where a message goes.
#[derive(Clone, Copy, Debug)]
pub struct PeerTarget<'a> {
    /// IP address and port.
    pub address: &'a str,
    /// Path of the message type.
    pub path: &'a str,
    /// Time for the whole call.
    pub timeout: Duration,
}

/// Sends messages to peers over pooled connections.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    keys: SharedKeyRing,
    counters: PeerCounters,
}

impl PeerClient {
    /// Creates a client.
    pub fn new(keys: SharedKeyRing, counters: PeerCounters) -> Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.disable_tls(true);
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_max_idle_per_host(MAX_IDLE_CONNECTIONS);
        let client = builder
            .build()
            .map_err(|error: ClientError| PeerError::OutcomeUnknown {
                address: String::new(),
                cause: error.to_string(),
            })?;
        Ok(Self {
            client,
            keys,
            counters,
        })
    }

    /// Sends `message` and waits for the reply.
    pub async fn call<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        target: PeerTarget<'_>,
        message: &Req,
    ) -> Result<Rep> {
        let call = self.exchange(target, message);
        match tokio::time::timeout(target.timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(target.unknown("timed out")),
        }
    }

    async fn exchange<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        target: PeerTarget<'_>,
        message: &Req,
    ) -> Result<Rep> {
        let body = rmp_serde::to_vec_named(message)?;
        self.counters.bytes.inc_by(body.len() as u64);
        self.counters.sent.with_label_values(&[target.path]).inc();
        let nonce = rand::random::<u64>();
        let response = self.send(target, nonce, body).await?;
        let (parts, body) = response.into_parts();
        if !parts.status.is_success() {
            return Err(target.rejected(parts.status.as_u16()));
        }
        let collected = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
        let bytes = collected.map_err(|error| target.unknown(error))?.to_bytes();
        self.counters.bytes.inc_by(bytes.len() as u64);
        if !self.is_genuine(target.path, &parts.headers, nonce, &bytes) {
            return Err(target.unknown("the reply is not authentic"));
        }
        rmp_serde::from_slice(&bytes).map_err(|error| target.unknown(error))
    }

    async fn send(
        &self,
        target: PeerTarget<'_>,
        nonce: u64,
        body: Vec<u8>,
    ) -> Result<volo_http::response::Response> {
        let ring = self.keys.ring();
        let key = ring.signing_key();
        let time_ms = wall_clock_ms();
        let path = target.path;
        let code = SealedParts {
            direction: "request",
            path,
            time_ms,
            nonce,
            body: &body,
        }
        .sign(key);
        let uri = format!("http://{}{path}", target.address);
        let request = self
            .client
            .post(uri)
            .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
            .header(VERSION_HEADER, PROTOCOL_VERSION)
            .header(KEY_HEADER, &*key.id)
            .header(TIME_HEADER, time_ms.to_string())
            .header(NONCE_HEADER, format!("{nonce:016x}"))
            .header(MAC_HEADER, code)
            .body(Body::from(Bytes::from(body)));
        request
            .send()
            .await
            .map_err(|error| target.send_error(&error))
    }

    fn is_genuine(&self, path: &str, headers: &HeaderMap, nonce: u64, body: &[u8]) -> bool {
        let field = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let (Some(id), Some(time), Some(code)) =
            (field(KEY_HEADER), field(TIME_HEADER), field(MAC_HEADER))
        else {
            return false;
        };
        let Ok(time_ms) = time.parse() else {
            return false;
        };
        let ring = self.keys.ring();
        ring.find(id).is_some_and(|key| {
            SealedParts {
                direction: "reply",
                path,
                time_ms,
                nonce,
                body,
            }
            .verify(key, code)
        })
    }
}

impl PeerTarget<'_> {
    fn unknown(&self, cause: impl ToString) -> PeerError {
        PeerError::OutcomeUnknown {
            address: self.address.to_owned(),
            cause: cause.to_string(),
        }
    }

    fn rejected(&self, status: u16) -> PeerError {
        PeerError::Rejected {
            address: self.address.to_owned(),
            status,
        }
    }

    fn send_error(&self, error: &ClientError) -> PeerError {
        match error.kind() {
            ErrorKind::Connect | ErrorKind::Builder => PeerError::NotSent {
                address: self.address.to_owned(),
            },
            _ => self.unknown(error),
        }
    }
}
