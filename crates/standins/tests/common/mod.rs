//! Starts stand-ins in-process and talks to them.
#![allow(dead_code, reason = "not every test file uses all helpers")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::Value;
use volo_http::client::Client;
use volo_http::response::Response;
use zinniahinge_standins::EngineService;
use zinniahinge_standins::EngineSettings;
use zinniahinge_standins::FaultKind;
use zinniahinge_standins::FaultRequest;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::ServedRequest;
use zinniahinge_standins::StandInServer;

pub struct TestServer {
    pub server: StandInServer,
    client: Client,
}

pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body ended as the protocol demands.
    pub is_whole: bool,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub async fn start_server<H, F>(faults: Arc<FaultSet>, handler: H) -> TestServer
where
    H: Fn(ServedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = StandInServer::start(listen, faults, handler).await;
    TestServer {
        server: server.expect("the stand-in cannot listen"),
        client: Client::default(),
    }
}

pub async fn start_engine(settings: EngineSettings) -> TestServer {
    let faults = Arc::new(FaultSet::new(EngineService::FAULTS));
    let engine = EngineService::new(settings, faults.clone());
    start_server(faults, move |request| engine.clone().handle(request)).await
}

impl TestServer {
    /// Adds a fault that hits one request.
    pub fn add_fault(&self, kind: FaultKind) {
        let mut request = FaultRequest::new(kind);
        request.count = Some(1);
        self.add(request);
    }

    pub fn add(&self, request: FaultRequest) {
        let added = self.server.faults.add(request);
        added.expect("the fault is not known");
    }

    pub async fn get(&self, path: &str) -> Answer {
        let answer = self.send(Method::GET, path, &[], "").await;
        answer.expect("no answer")
    }

    pub async fn post(&self, path: &str, body: Value) -> Answer {
        let answer = self.send(Method::POST, path, &[], &body.to_string()).await;
        answer.expect("no answer")
    }

    /// `None` if no answer came.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let uri = format!("http://{}{path}", self.server.address);
        let mut request = self.client.request(method, uri).data(body.to_owned());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let (parts, mut body) = request.send().await.ok()?.into_parts();
        let mut collected = Vec::new();
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            match frame.map(|frame| frame.into_data()) {
                Ok(data) => collected.extend_from_slice(&data.unwrap_or_default()),
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
        Some(Answer {
            status: parts.status,
            headers: parts.headers,
            body: Bytes::from(collected),
            is_whole,
        })
    }
}
