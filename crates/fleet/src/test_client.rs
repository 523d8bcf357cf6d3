use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use volo::net::tls::TlsConnectorBuilder;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::response::Response;

use crate::FleetError;
use crate::TestAnswer;
use crate::fleet_error::Result;
use crate::fleet_error::system;

/// Longest time for one whole answer, over the longest deadline of the demo documents.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(65);

/// Caller for tests. Each request has a connection of its own, so that a kept connection to a killed
/// process does not add failures.
#[derive(Clone)]
pub struct TestClient {
    client: Client,
    headers: HeaderMap,
}

/// Answer whose body is read piece by piece. Dropping it closes the connection.
pub struct OpenAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    body: Body,
}

impl TestClient {
    /// A caller without a key.
    pub fn new() -> Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.disable_tls(true);
        builder.set_max_idle_per_host(0);
        let client = builder.build().map_err(|error| failed("client", error))?;
        Ok(Self {
            client,
            headers: HeaderMap::new(),
        })
    }

    /// A caller that trusts only servers whose certificate was issued by `issuer` (PEM).
    pub fn trusting(issuer: &[u8]) -> Result<Self> {
        let connector = TlsConnectorBuilder::new()
            .enable_default_root_certs(false)
            .add_pem(issuer.to_vec())
            .build()
            .map_err(system("read a certificate"))?;
        let mut builder = ClientBuilder::new();
        builder.set_tls_config(connector);
        builder.set_max_idle_per_host(0);
        let client = builder.build().map_err(|error| failed("client", error))?;
        Ok(Self {
            client,
            headers: HeaderMap::new(),
        })
    }

    /// Sends a key with each request.
    pub fn with_key(self, key: &str) -> Self {
        self.with_header(AUTHORIZATION.as_str(), &format!("Bearer {key}"))
    }

    /// Sends a header with each request. Panics if name or value are not valid.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::try_from(name).expect("valid header name");
        let value = HeaderValue::try_from(value).expect("valid header value");
        self.headers.insert(name, value);
        self
    }

    /// Sends a GET request.
    pub async fn get(&self, url: &str) -> Result<TestAnswer> {
        self.send(Method::GET, url, "").await
    }

    /// Sends a POST request.
    pub async fn post(&self, url: &str, body: impl Into<Bytes>) -> Result<TestAnswer> {
        self.send(Method::POST, url, body).await
    }

    /// Sends a request and reads the whole answer. An error means that no header section came.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        body: impl Into<Bytes>,
    ) -> Result<TestAnswer> {
        let exchange = async {
            let answer = self.open(method, url, body).await?;
            Ok(answer.read_whole().await)
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(failed(url, "no whole answer in time")),
        }
    }

    /// Sends a request and returns as soon as the header section of the answer is there.
    pub async fn open(
        &self,
        method: Method,
        url: &str,
        body: impl Into<Bytes>,
    ) -> Result<OpenAnswer> {
        let mut request = self.client.request(method, url);
        request.headers_mut().extend(self.headers.clone());
        let sent = request.body(Body::from(body.into())).send();
        let response: Response = sent.await.map_err(|error| failed(url, error))?;
        let (parts, body) = response.into_parts();
        Ok(OpenAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }
}

impl OpenAnswer {
    /// Next piece of the body, `None` at its end. An error means that it broke.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_trailers) => {}
                },
                Err(error) => return Some(Err(failed("body", error))),
            }
        }
    }

    /// Reads to the end.
    pub async fn read_whole(mut self) -> TestAnswer {
        let mut body = BytesMut::new();
        let is_complete = loop {
            match self.next().await {
                Some(Ok(data)) => body.extend_from_slice(&data),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        TestAnswer {
            status: self.status,
            headers: self.headers,
            body: body.freeze(),
            is_complete,
        }
    }
}

fn failed(url: &str, cause: impl ToString) -> FleetError {
    FleetError::Request {
        url: url.to_owned(),
        cause: cause.to_string(),
    }
}
