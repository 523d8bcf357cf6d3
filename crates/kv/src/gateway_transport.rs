use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::body::BodyConversion;
use volo_http::client::Client;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;

use crate::CallCounter;
use crate::CallKind;
use crate::KvError;
use crate::KvSettings;
use crate::Result;
use crate::gateway_message::GatewayError;

/// gRPC status codes after which a write may still have taken effect: cancelled, unknown, deadline
/// exceeded, aborted, internal, unavailable, data loss.
const AMBIGUOUS_CODES: [u32; 7] = [1, 2, 4, 10, 13, 14, 15];

/// Sends each request to one of the endpoints, starting with the one that answered last or, after
/// an unknown outcome, with the next one.
pub(crate) struct GatewayTransport {
    client: Client,
    settings: KvSettings,
    preferred_endpoint: AtomicUsize,
    last_contact: Mutex<Option<Instant>>,
    counter: CallCounter,
}

impl GatewayTransport {
    pub fn new(settings: KvSettings) -> Result<Self> {
        if settings.endpoints.is_empty() {
            return Err(KvError::BadSettings {
                reason: "no endpoint is given".to_owned(),
            });
        }
        let mut builder = Client::builder();
        builder.disable_tls(true);
        // The connect timeout is below the request timeout, so that an unreachable endpoint is
        // reported as `NotSent` rather than as an unknown outcome.
        builder.set_connect_timeout(settings.request_timeout / 2);
        let client = builder.build().map_err(|e| KvError::BadSettings {
            reason: e.to_string(),
        })?;
        Ok(Self {
            client,
            settings,
            preferred_endpoint: AtomicUsize::new(0),
            last_contact: Mutex::new(None),
            counter: CallCounter::default(),
        })
    }

    pub fn counter(&self) -> &CallCounter {
        &self.counter
    }

    pub fn watch_idle_timeout(&self) -> Option<Duration> {
        self.settings.watch_idle_timeout
    }

    pub fn last_contact(&self) -> Option<Instant> {
        *self.last_contact.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that the service answered a request sent at `sent_at`, or that a watch message came
    /// then.
    pub fn record_contact(&self, sent_at: Instant) {
        let mut last_contact = self.last_contact.lock().unwrap_or_else(|e| e.into_inner());
        *last_contact = (*last_contact).max(Some(sent_at));
    }

    /// Sends `request` and decodes the JSON response.
    pub async fn call<Q, A>(&self, kind: CallKind, path: &str, request: &Q) -> Result<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = encode_request(request)?;
        let sent_at = Instant::now();
        let response = self.try_endpoints(kind, path, body, read_body).await;
        if matches!(response, Err(KvError::Rejected { .. })) {
            self.record_contact(sent_at);
        }
        let response = response?;
        let decoded =
            serde_json::from_slice(&response).map_err(|e| self.count_outcome_unknown(e))?;
        self.record_contact(sent_at);
        Ok(decoded)
    }

    /// Sends `request` and returns the response's body unread. The request timeout covers only the
    /// response's header.
    pub async fn open_stream<Q: Serialize>(
        &self,
        kind: CallKind,
        path: &str,
        request: &Q,
    ) -> Result<Body> {
        let body = encode_request(request)?;
        self.try_endpoints(kind, path, body, open_body).await
    }

    /// Counts a request that was sent and got no usable answer, and returns the error for it.
    pub fn count_outcome_unknown(&self, reason: impl ToString) -> KvError {
        self.counter.count_unknown();
        KvError::outcome_unknown(reason)
    }

    /// Tries the endpoints in turn until one accepts a connection. A request that was sent is never
    /// repeated, because it may have taken effect.
    async fn try_endpoints<T, F>(
        &self,
        kind: CallKind,
        path: &str,
        body: Bytes,
        read: impl Fn(Response) -> F,
    ) -> Result<T>
    where
        F: Future<Output = Result<T>>,
    {
        let endpoints = &self.settings.endpoints;
        let first = self.preferred_endpoint.load(Ordering::Relaxed);
        let mut last_error = None;
        for index in (first..first + endpoints.len()).map(|i| i % endpoints.len()) {
            self.counter.count_call(kind);
            let attempt = async {
                let response = self.send(endpoints[index], path, body.clone()).await?;
                read(response).await
            };
            let result = timeout(self.settings.request_timeout, attempt).await;
            let result =
                result.unwrap_or_else(|_| Err(KvError::outcome_unknown("request timed out")));
            match result {
                Err(error @ KvError::NotSent { .. }) => {
                    self.counter.count_not_sent();
                    last_error = Some(error);
                }
                Err(error @ KvError::OutcomeUnknown { .. }) => {
                    self.counter.count_unknown();
                    self.preferred_endpoint.store(index + 1, Ordering::Relaxed);
                    return Err(error);
                }
                result => {
                    self.preferred_endpoint.store(index, Ordering::Relaxed);
                    return result;
                }
            }
        }
        Err(last_error.unwrap_or_else(|| KvError::outcome_unknown("no endpoint was tried")))
    }

    async fn send(&self, endpoint: SocketAddr, path: &str, body: Bytes) -> Result<Response> {
        self.client
            .post(format!("http://{endpoint}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .data(body)
            .send()
            .await
            .map_err(classify_failure)
    }
}

// ----------------------------------------------------------------------------------------------

fn encode_request<Q: Serialize>(request: &Q) -> Result<Bytes> {
    let body = serde_json::to_vec(request).map_err(|e| KvError::BadRequest {
        reason: e.to_string(),
    })?;
    Ok(Bytes::from(body))
}

/// Distinguishes a failed connect, after which nothing was sent, from every other failure.
///
/// The HTTP client reports a failed connect as a request error whose direct source is an I/O
/// error; failures on an open connection have a source of another type.
fn classify_failure(error: ClientError) -> KvError {
    let is_connect_failure = error
        .source()
        .is_some_and(|source| source.is::<io::Error>());
    match error.kind() {
        ErrorKind::Builder | ErrorKind::Context | ErrorKind::LoadBalance | ErrorKind::Connect => {
            KvError::NotSent {
                reason: error.to_string(),
            }
        }
        ErrorKind::Request if is_connect_failure => KvError::NotSent {
            reason: error.to_string(),
        },
        _ => KvError::outcome_unknown(error),
    }
}

async fn read_body(response: Response) -> Result<Bytes> {
    let body = open_body(response).await?;
    body.into_bytes().await.map_err(KvError::outcome_unknown)
}

async fn open_body(response: Response) -> Result<Body> {
    let status = response.status();
    let body = response.into_body();
    if status == StatusCode::OK {
        return Ok(body);
    }
    let body = body.into_bytes().await.map_err(KvError::outcome_unknown)?;
    Err(classify_status(status, &body))
}

/// Classifies an error response. It is a refusal only if the service itself sent it and its code
/// rules out that the request took effect.
fn classify_status(status: StatusCode, body: &[u8]) -> KvError {
    match serde_json::from_slice::<GatewayError>(body) {
        Ok(error) if error.code > 0 && !AMBIGUOUS_CODES.contains(&error.code) => {
            KvError::Rejected {
                code: error.code,
                message: error.message,
            }
        }
        _ => KvError::outcome_unknown(format!("answered with HTTP status {status}")),
    }
}
