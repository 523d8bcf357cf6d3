use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use zinniahinge_telemetry::MetricsRegistry;

use crate::host_state::HostState;

/// Answers the load balancer's readiness check: 200 if this host accepts new connections, else 503 with the reason.
pub(crate) async fn readiness(state: Arc<HostState>) -> Result<Response<Full<Bytes>>, Infallible> {
    let reason = unready_reason(&state);
    let mut response = Response::new(Full::new(Bytes::from_static(
        reason.unwrap_or("ready").as_bytes(),
    )));
    if reason.is_some() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

/// Returns why this host accepts no new connections; `None` if it accepts them.
fn unready_reason(state: &HostState) -> Option<&'static str> {
    if state.stop.started.is_cancelled() {
        Some("stopping")
    } else if state.table.load().config.is_none() {
        Some("no configuration is known")
    } else if !state.has_fresh_keys() {
        Some("withdrawn keys may be unknown")
    } else {
        None
    }
}

/// Serves the metrics in text form at `/metrics`: 404 for other paths, 500 if they can't be rendered.
pub(crate) async fn metrics(
    registry: MetricsRegistry,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::new(Bytes::new()));
    match registry.render() {
        Ok(text) if request.uri().path() == "/metrics" => {
            *response.body_mut() = Full::new(text.into());
        }
        Ok(_) => *response.status_mut() = StatusCode::NOT_FOUND,
        Err(error) => {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            *response.body_mut() = Full::new(error.to_string().into());
        }
    }
    Ok(response)
}
