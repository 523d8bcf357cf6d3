use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use volo_http::http::StatusCode;
use volo_http::http::header::CONTENT_TYPE;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::extract::Query;
use volo_http::server::route::Router;
use volo_http::server::route::get;

use crate::ClockReading;
use crate::EventLog;
use crate::MetricsRegistry;
use crate::wall_clock_us;

/// Largest number of events in one response of `/events`; a reader asks again for those after the last one. Serializing
/// them blocks a thread that also serves requests, so the number is small.
const MAX_EVENTS_PER_READ: usize = 500;

/// States whether a process takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The process takes requests.
    Ready,
    /// The process takes no requests; the text says why and is the body of the response.
    NotReady(String),
}

/// Holds what the admin routes report: events, metrics and the readiness of the process.
#[derive(Clone)]
pub struct AdminState {
    events: Arc<EventLog>,
    metrics: MetricsRegistry,
    readiness: Arc<dyn Fn() -> Readiness + Send + Sync>,
}

impl AdminState {
    /// Creates the state of the admin routes.
    ///
    /// `readiness` is called for each request to `/readyz` and must not block.
    pub fn new(
        events: Arc<EventLog>,
        metrics: MetricsRegistry,
        readiness: impl Fn() -> Readiness + Send + Sync + 'static,
    ) -> Self {
        Self {
            events,
            metrics,
            readiness: Arc::new(readiness),
        }
    }

    fn metrics(&self) -> Response {
        match self.metrics.render() {
            Ok(text) => with_content_type("text/plain; version=0.0.4", text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
        }
    }

    fn readyz(&self) -> Response {
        match (self.readiness)() {
            Readiness::Ready => "ready\n".into_response(),
            Readiness::NotReady(reason) => {
                (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response()
            }
        }
    }

    fn events(&self, query: &EventQuery) -> Response {
        let EventQuery { after, limit } = query;
        let limit = limit.unwrap_or(MAX_EVENTS_PER_READ);
        let limit = limit.min(MAX_EVENTS_PER_READ);
        let lines = self.events.json_lines_after(*after, limit);
        with_content_type("application/x-ndjson", lines)
    }

    fn clock(&self) -> Response {
        let reading = ClockReading {
            process: self.events.process().clone(),
            last_sequence: self.events.last_sequence(),
            at_us: wall_clock_us(),
        };
        match serde_json::to_string(&reading) {
            Ok(text) => with_content_type("application/json", text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
        }
    }
}

impl fmt::Debug for AdminState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminState").finish_non_exhaustive()
    }
}

#[derive(Debug, Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
    limit: Option<usize>,
}

/// Adds the routes `/metrics`, `/healthz`, `/readyz`, `/events` and `/clock` to `router`.
pub fn add_admin_routes(router: Router, state: AdminState) -> Router {
    let metrics = state.clone();
    let readyz = state.clone();
    let events = state.clone();
    let clock = state;
    router
        .route("/metrics", get(move || async move { metrics.metrics() }))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(move || async move { readyz.readyz() }))
        .route(
            "/events",
            get(move |Query(query): Query<EventQuery>| async move { events.events(&query) }),
        )
        .route("/clock", get(move || async move { clock.clock() }))
}

fn with_content_type(content_type: &'static str, body: String) -> Response {
    ([(CONTENT_TYPE, content_type)], body).into_response()
}
