use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic::resume_unwind;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body::Body as _;
use motore::service::Service;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;
use volo::net::incoming::MakeIncoming;
use volo_http::body::Body;
use volo_http::body::BodyConversion;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::FaultKind;
use crate::FaultRequest;
use crate::FaultSet;
use crate::SeenSet;
use crate::ServedRequest;
use crate::reply::Refusal;
use crate::reply::cut_early;
use crate::reply::garble;
use crate::reply::ok_reply;
use crate::served_request::parse_query;

/// Pause between attempts to listen again after a refusal.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Paths that only tests use and that no fault hits: counts, and changes of the host list.
const EXEMPT_PREFIXES: [&str; 3] = ["/counters", "/runs", "/hosts/"];

/// A stand-in that listens. It runs until the runtime ends.
#[derive(Clone, Debug)]
pub struct StandInServer {
    /// Bound address.
    pub address: SocketAddr,
    /// Faults in force.
    pub faults: Arc<FaultSet>,
}

impl StandInServer {
    /// Listens on `listen` and answers with `handler`, subject to `faults`.
    ///
    /// `GET /seen` and `/faults` are answered here. They and test-only paths are exempt from
    /// faults, except that nobody can connect while the listening socket is closed.
    pub async fn start<H, F>(
        listen: SocketAddr,
        faults: Arc<FaultSet>,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(ServedRequest) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let incoming = FaultyIncoming {
            address,
            listener: Some(listener),
            faults: faults.clone(),
        };
        let filter = FaultFilter {
            faults: faults.clone(),
            seen: SeenSet::default(),
            last_replies: Mutex::default(),
            handler,
        };
        tokio::spawn(Server::new(filter).run(incoming));
        Ok(Self { address, faults })
    }

    /// Prints the bound address and waits for SIGTERM or SIGINT. Nothing is drained.
    pub async fn run_until_signal(self) -> io::Result<()> {
        println!("listening on {}", self.address);
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => Ok(()),
            result = tokio::signal::ctrl_c() => result,
        }
    }
}

fn is_exempt(path: &str) -> bool {
    EXEMPT_PREFIXES
        .iter()
        .any(|prefix| path.starts_with(prefix))
}

/// Closes the connection that the current request came on, without an answer.
///
/// The HTTP library turns every error into an answer, so the connection's task is unwound. The
/// panic hook does not run.
pub fn cut_connection() -> ! {
    resume_unwind(Box::new("connection closed by a fault"))
}

// ----------------------------------------------------------------------------------------------

/// Closes the listening socket while a fault says so.
#[derive(Debug)]
struct FaultyIncoming {
    address: SocketAddr,
    listener: Option<TcpListener>,
    faults: Arc<FaultSet>,
}

impl MakeIncoming for FaultyIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for FaultyIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            if self.faults.refuses() {
                self.listener = None;
                self.faults.wait_change().await;
                continue;
            }
            let Some(listener) = &self.listener else {
                // Another process may hold the port for a moment.
                match TcpListener::bind(self.address).await {
                    Ok(listener) => self.listener = Some(listener),
                    Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
                }
                continue;
            };
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    return Ok(Some(Conn::from(stream)));
                }
                () = self.faults.wait_change() => {}
            }
        }
    }
}

// ----------------------------------------------------------------------------------------------

/// Applies faults around the handler.
struct FaultFilter<H> {
    faults: Arc<FaultSet>,
    seen: SeenSet,
    last_replies: Mutex<HashMap<String, StoredReply>>,
    handler: H,
}

/// Last answer below a path segment, kept to be given to another request.
#[derive(Clone)]
struct StoredReply {
    parts: http::response::Parts,
    body: Bytes,
}

impl StoredReply {
    fn into_response(self) -> Response {
        Response::from_parts(self.parts, Body::from(self.body))
    }
}

impl<H, F> Service<ServerContext, Request> for FaultFilter<H>
where
    H: Fn(ServedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.into_bytes().await else {
            return Ok(Refusal::bad_request("body was cut").into());
        };
        let request = ServedRequest {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parse_query(parts.uri.query().unwrap_or_default()),
            headers: parts.headers,
            body,
        };
        Ok(match (request.path.as_str(), &request.method) {
            ("/faults", &Method::POST) => self.add_fault(&request),
            ("/faults", &Method::DELETE) => {
                self.faults.clear();
                ok_reply(&json!({}))
            }
            ("/seen", &Method::GET) => ok_reply(&self.seen.report()),
            (path, _) if is_exempt(path) => (self.handler)(request).await,
            _ => self.answer_subject_to_faults(request).await,
        })
    }
}

impl<H, F> FaultFilter<H>
where
    H: Fn(ServedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    fn add_fault(&self, request: &ServedRequest) -> Response {
        let added = request
            .json::<FaultRequest>()
            .and_then(|fault| self.faults.add(fault));
        match added {
            Ok(()) => ok_reply(&json!({})),
            Err(message) => Refusal::bad_request(message).into(),
        }
    }

    async fn answer_subject_to_faults(&self, request: ServedRequest) -> Response {
        let faults = &self.faults;
        let path = request.path.clone();
        faults.wait_resume().await;
        if faults.draw(FaultKind::Down, &path).is_some() {
            cut_connection();
        }
        if let Some(hit) = faults.draw(FaultKind::Slow, &path) {
            tokio::time::sleep(hit.delay).await;
        }
        self.seen.record(&request);
        let reply = (self.handler)(request).await;
        faults.wait_resume().await;
        if faults.draw(FaultKind::LostAnswer, &path).is_some() {
            cut_connection();
        }
        if faults.draw(FaultKind::Garbage, &path).is_some() {
            return garble(reply);
        }
        if let Some(hit) = faults.draw(FaultKind::CloseEarly, &path) {
            return cut_early(reply, hit.clean);
        }
        self.cross_replies(&path, reply).await
    }

    /// Keeps the answer, and gives out the one before it if a fault says so. Answers are crossed
    /// within one first path segment; those below `/v1` are left to the handler.
    async fn cross_replies(&self, path: &str, reply: Response) -> Response {
        let segment = path.split('/').nth(1).unwrap_or_default();
        if segment == "v1" || reply.body().size_hint().exact().is_none() {
            return reply;
        }
        let (parts, body) = reply.into_parts();
        let body = body.into_bytes().await.unwrap_or_default();
        let own = StoredReply { parts, body };
        let mut last_replies = self.last_replies.lock().unwrap_or_else(|e| e.into_inner());
        let other = last_replies.insert(segment.to_owned(), own.clone());
        drop(last_replies);
        match other {
            Some(other) if self.faults.draw(FaultKind::Crossed, path).is_some() => {
                other.into_response()
            }
            _ => own.into_response(),
        }
    }
}
