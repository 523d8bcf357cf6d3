use std::convert::Infallible;
use std::sync::Arc;

use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::HeaderValue;
use hyper::body::Incoming;
use tokio::time::Instant;
use zinniahinge_platform::parse_request_headers;
use zinniahinge_types::Name;

use crate::body_reader::BodyReader;
use crate::caller_response::ResponseBody;
use crate::filters::admit;
use crate::forward::forward;
use crate::host_state::HostState;
use crate::request_log::RequestLog;
use crate::request_wait::stopping_refusal;

/// Handles one request of a caller; the response announces the close of the connection if the host is about to close
/// it.
pub(crate) async fn handle(
    state: Arc<HostState>,
    bodies: BodyReader,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut response = respond(&state, bodies, request).await;
    if state.stop.closing.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Admits and forwards one request.
///
/// The future is dropped when the caller disconnects, which ends the request's run at the backend server.
async fn respond(
    state: &Arc<HostState>,
    bodies: BodyReader,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let facts = parse_request_headers(request.headers());
    let id = facts.as_ref().map(|facts| facts.attempt_id.clone());
    let id = id.unwrap_or_else(|_| Name::from("unknown"));
    let mut log = RequestLog::new(state.clone(), id, arrived);
    let admitted = admit(state, &bodies, request, facts, arrived);
    let admitted = state.stop.ending.run_until_cancelled(admitted).await;
    let context = match admitted.unwrap_or_else(|| Err(stopping_refusal())) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let response = refusal.to_response();
            log.finish(refusal.kind.name(), response.status().as_u16());
            return response;
        }
    };
    log.describe(&context);
    forward(state, context, log).await
}
