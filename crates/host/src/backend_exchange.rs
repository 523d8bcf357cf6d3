use std::sync::Arc;

use http::Response;
use http::StatusCode;
use tokio::time::Instant;
use zinniahinge_event_stream::EventReader;
use zinniahinge_platform::ResponseMetadata;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::RouteKind;

use crate::backend_response::BackendResponse;
use crate::backend_response::BufferedResponse;
use crate::backend_send::BackendSendError;
use crate::backend_send::send;
use crate::caller_response::ResponseBody;
use crate::event_relay::OpenStream;
use crate::event_relay::StreamFailure;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::request_log::SERVED;
use crate::send_history::SendHistory;
use crate::send_permit::SendPermit;

/// Response that is passed on to the caller.
pub(crate) enum CallerResponse {
    /// A response that was read to its end, and the outcome for the request log.
    Buffered(Response<ResponseBody>, &'static str),
    /// Status and headers of an event stream whose first events have arrived.
    Stream(Response<()>, Box<OpenStream>),
}

/// A send to a backend server that failed, or whose response reports that the server failed.
pub(crate) struct FailedSend {
    pub(crate) error: BackendSendError,
    /// Error response of a server that ran the request; the caller gets it if no other server does better.
    pub(crate) response: Option<BufferedResponse>,
}

/// Uses the permit to send the request, and reads the response until `deadline`.
pub(crate) async fn exchange(
    state: &Arc<HostState>,
    context: &RequestContext,
    history: &mut SendHistory,
    permit: SendPermit,
    deadline: Instant,
) -> Result<CallerResponse, FailedSend> {
    let sent_at = Instant::now();
    let target = &permit.target.clone();
    let is_alone = target.load.fleet_pending_tokens() == 0;
    let response = send(state, context, history, permit, None, deadline).await?;
    let delivered = match context.rule.kind {
        RouteKind::Streaming { .. } if response.metadata.status.is_success() => {
            let opened = open_stream(response, target, deadline).await;
            if is_alone && opened.is_ok() {
                let (tokens, time) = (context.facts.prompt_tokens, sent_at.elapsed());
                state
                    .timings()
                    .record_prompt(&context.service, tokens, time);
            }
            opened
        }
        _ => read_response(context, response, deadline).await,
    };
    if let Ok(CallerResponse::Buffered(response, _)) = &delivered
        && response.status().is_success()
    {
        state.parts().record_progress(&context.facts, state.now());
        if context.facts.model.is_none() && target.load.states_work_time() {
            let work = (None, 1, sent_at.elapsed());
            state.timings().record_work(target, work);
        }
    }
    if delivered.is_ok() {
        let (time, goal) = (sent_at.elapsed(), context.rule.goal);
        target.load.answers().count_answer(time, goal);
    }
    match &delivered {
        Err(failed) => {
            target.load.count_failure();
            if matches!(failed.error, BackendSendError::ConnectionLost(_)) {
                target.load.record_connection_loss(state.now());
            }
        }
        Ok(CallerResponse::Buffered(..)) => target.load.count_success(),
        // The relay counts a stream when it ends.
        Ok(CallerResponse::Stream(..)) => {}
    }
    delivered
}

/// Checks the head of an event stream and waits for its first events.
async fn open_stream(
    response: BackendResponse,
    target: &BackendCandidate,
    deadline: Instant,
) -> Result<CallerResponse, FailedSend> {
    if !response.metadata.has_original_body() {
        return Err(unusable_response(
            "response headers lack the server's signature",
        ));
    }
    let mut head = Response::new(());
    *head.status_mut() = response.metadata.status;
    *head.headers_mut() = ResponseMetadata::forwardable_headers(&response.headers);
    let opened = OpenStream::start(response, target, EventReader::default(), deadline).await;
    let stream = opened.map_err(|failure| match failure {
        StreamFailure::ConnectionLost(reason) => BackendSendError::ConnectionLost(reason).into(),
        failure => unusable_response(failure.to_string()),
    })?;
    Ok(CallerResponse::Stream(head, Box::new(stream)))
}

/// Reads a response to its end and decides whether the caller may get it.
async fn read_response(
    context: &RequestContext,
    response: BackendResponse,
    deadline: Instant,
) -> Result<CallerResponse, FailedSend> {
    let status = response.metadata.status;
    if !response.metadata.has_original_body() {
        let reason = format!("response with status {status} lacks the server's signature");
        return Err(unusable_response(reason));
    }
    let read = response.read_to_end(deadline).await;
    let buffered = read.map_err(|failure| unusable_response(failure.to_string()))?;
    if status.is_success() {
        return Ok(CallerResponse::Buffered(buffered.into_response(), SERVED));
    }
    // Callers read these statuses as a promise that the request did not run, but the server's headers don't say so.
    let not_run_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if not_run_statuses.contains(&status) && !context.rule.kind.is_repeatable() {
        let reason =
            format!("status {status} without the server's statement that the request did not run");
        return Err(unusable_response(reason));
    }
    if status.is_server_error() {
        return Err(FailedSend {
            error: BackendSendError::MayHaveRun(status.to_string()),
            response: Some(buffered),
        });
    }
    Ok(CallerResponse::Buffered(
        buffered.into_response(),
        "server-refused",
    ))
}

/// A send whose response can't be used, so that the request may have run.
fn unusable_response(reason: impl Into<String>) -> FailedSend {
    BackendSendError::MayHaveRun(reason.into()).into()
}

impl FailedSend {
    /// True if no byte of the request was written.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.error, BackendSendError::NotSent(_))
    }
}

impl From<BackendSendError> for FailedSend {
    fn from(error: BackendSendError) -> Self {
        Self {
            error,
            response: None,
        }
    }
}
