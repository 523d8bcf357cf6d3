//! Client that sends messages to other processes.

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
use crate::signed_parts::SignedParts;
use crate::wire::CONTENT_TYPE;
use crate::wire::KEY_HEADER;
use crate::wire::MAC_HEADER;
use crate::wire::MAX_MESSAGE_BYTES;
use crate::wire::NONCE_HEADER;
use crate::wire::PROTOCOL_VERSION;
use crate::wire::TIME_HEADER;
use crate::wire::VERSION_HEADER;

/// Time limit for setting up a connection. A live peer accepts within one round trip between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of idle connections kept open per peer.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Names the receiver of one message and the time limit of the call.
#[derive(Clone, Copy, Debug)]
pub struct PeerTarget<'a> {
    /// IP address and port of the peer.
    pub address: &'a str,
    /// HTTP path, which selects the message type.
    pub path: &'a str,
    /// Time limit for the whole call, including setting up a connection.
    pub timeout: Duration,
}

/// Sends signed messages to peers over pooled HTTP connections and verifies their replies. Clones share the pool.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    keys: SharedKeyRing,
    counters: PeerCounters,
}

impl PeerClient {
    /// Creates a client that signs with `keys`. Fails if the HTTP client cannot be built.
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
    ///
    /// Fails with [`PeerError::OutcomeUnknown`] if no valid reply arrives within the target's time limit; the peer may
    /// then have acted on the message. After [`PeerError::NotSent`] and [`PeerError::Rejected`] it has not.
    pub async fn call<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        target: PeerTarget<'_>,
        message: &Req,
    ) -> Result<Rep> {
        let call = self.exchange(target, message);
        match tokio::time::timeout(target.timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(target.outcome_unknown("timed out")),
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
        let bytes = collected
            .map_err(|error| target.outcome_unknown(error))?
            .to_bytes();
        self.counters.bytes.inc_by(bytes.len() as u64);
        if !self.is_authentic(target.path, &parts.headers, nonce, &bytes) {
            return Err(
                target.outcome_unknown("the signature of the reply is missing or does not match")
            );
        }
        rmp_serde::from_slice(&bytes).map_err(|error| target.outcome_unknown(error))
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
        let mac = SignedParts {
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
            .header(MAC_HEADER, mac)
            .body(Body::from(Bytes::from(body)));
        request
            .send()
            .await
            .map_err(|error| target.send_error(&error))
    }

    fn is_authentic(&self, path: &str, headers: &HeaderMap, nonce: u64, body: &[u8]) -> bool {
        let field = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let (Some(id), Some(time), Some(mac)) =
            (field(KEY_HEADER), field(TIME_HEADER), field(MAC_HEADER))
        else {
            return false;
        };
        let Ok(time_ms) = time.parse() else {
            return false;
        };
        let ring = self.keys.ring();
        ring.find(id).is_some_and(|key| {
            SignedParts {
                direction: "reply",
                path,
                time_ms,
                nonce,
                body,
            }
            .verify(key, mac)
        })
    }
}

impl PeerTarget<'_> {
    fn outcome_unknown(&self, cause: impl ToString) -> PeerError {
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
            _ => self.outcome_unknown(error),
        }
    }
}
