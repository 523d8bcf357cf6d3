use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use slog::info;
use thiserror::Error;
use tokio::time::Instant;
use zinniahinge_platform::BackendHeaders;
use zinniahinge_platform::PauseRequest;
use zinniahinge_platform::RateLimit;
use zinniahinge_platform::ResponseMetadata;
use zinniahinge_platform::set_resume_point;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::LimitStatement;
use zinniahinge_serving::LoadGuard;
use zinniahinge_transport::PooledExchange;
use zinniahinge_transport::RequestKey;
use zinniahinge_transport::ReuseRule;
use zinniahinge_transport::SendFailure;
use zinniahinge_types::MonotonicTime;

use crate::backend_response::BackendResponse;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::send_history::SendHistory;
use crate::send_permit::SendPermit;

/// Longest idle time of a pooled connection that a non-repeatable request may use. Backend servers close connections
/// that were idle for several seconds, and a request written just then may or may not have been read.
const MAX_NON_REPEATABLE_IDLE: Duration = Duration::from_secs(3);

/// A pause is longer by a random part of up to this share of it, one tenth, and at most [`MAX_PAUSE_SPREAD`].
const PAUSE_SPREAD_SHARE: u32 = 10;
const MAX_PAUSE_SPREAD: Duration = Duration::from_millis(500);

/// Why a send to a backend server gave no usable response, and whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum BackendSendError {
    /// No byte of the request was written.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The server stated that it did not run the request.
    #[error("rejected without running, status {0}")]
    NotRun(StatusCode),
    /// The server may have run the request.
    #[error("request may have run: {0}")]
    MayHaveRun(String),
    /// The connection ended before the answer was under way, as when the server crashes; the request may have run.
    #[error("request may have run, the connection ended: {0}")]
    ConnectionLost(String),
    /// The server was silent and no longer works on the request.
    #[error("the server no longer works on the request")]
    RunOver,
    /// No response came before the deadline; the request may have run or may still be running.
    #[error("no response before the deadline")]
    TimedOut,
}

impl BackendSendError {
    /// True if the server surely did not run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::NotRun(_))
    }

    /// Value of the metric label.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
            Self::ConnectionLost(_) => "connection-lost",
            Self::RunOver => "run-over",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Uses the permit to send a request to a backend server, and reads the head of the response, until `deadline`.
///
/// `resume_after` is the id of the event after which a stream continues. A request that goes to the same server again
/// uses a new connection, on which no late answer is due.
pub(crate) async fn send(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
    permit: SendPermit,
    resume_after: Option<&str>,
    deadline: Instant,
) -> Result<BackendResponse, BackendSendError> {
    let target = &permit.target;
    let guard = LoadGuard::for_request(target.load.clone(), &context.facts);
    let request =
        build_request(context, target, resume_after).map_err(BackendSendError::NotSent)?;
    let rule = if history.record_send_to(&target.entry.id) {
        ReuseRule::Never
    } else if context.rule.kind.is_repeatable() {
        ReuseRule::Any
    } else {
        ReuseRule::IdleLessThan(MAX_NON_REPEATABLE_IDLE)
    };
    target.record_sent_parts(&context.facts);
    if history.possible_run_count() > 0 {
        info!(state.logger, "request sent again after a run may have begun"; "id" => &*context.facts.attempt_id,
            "backend" => &*target.entry.id, "earlier" => history.possible_runs_text(), "after" => resume_after);
    }
    let key = RequestKey::new(&context.facts.attempt_id);
    let sent_at = state.now();
    let sent = state
        .pool
        .send(target.entry.address, request, rule, Some(key), deadline)
        .await;
    history.arrived_by = state.now();
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(failure) => return Err(record_failure(state, target, failure)),
    };
    let PooledExchange {
        response,
        lease,
        is_reused,
        late_answers,
    } = exchange;
    let (head, body) = response.into_parts();
    let metadata = ResponseMetadata::read(head.status, &head.headers, &context.facts.attempt_id);
    if late_answers > 0 {
        info!(state.logger, "late answers to earlier requests skipped"; "id" => &*context.facts.attempt_id,
            "backend" => &*target.entry.id, "count" => late_answers);
        state.counters.late_answers.inc_by(late_answers);
    }
    if metadata.is_for_other_attempt {
        target.load.count_failure();
        return Err(BackendSendError::MayHaveRun(
            "the response belongs to another request".to_owned(),
        ));
    }
    if metadata.states_not_executed && !metadata.names_attempt && is_reused {
        target.load.count_failure();
        return Err(BackendSendError::MayHaveRun(
            "the rejection names no request, it may be an earlier one".to_owned(),
        ));
    }
    // A late answer to an earlier request may say what no longer holds.
    if metadata.names_attempt || !is_reused {
        apply_server_notices(state, context, target, &metadata, sent_at);
    }
    // Another server has the address if it says so.
    if metadata.status != StatusCode::MISDIRECTED_REQUEST {
        target.load.record_answer(sent_at, state.now());
    }
    let response = BackendResponse {
        metadata,
        headers: head.headers,
        body,
        lease,
        guard,
    };
    if response.metadata.states_not_executed {
        let status = response.metadata.status;
        if status != StatusCode::MISDIRECTED_REQUEST {
            target.load.answers().count_rejection();
        }
        let connection = if is_reused { "reused" } else { "new" };
        info!(state.logger, "backend server rejected the request"; "id" => &*context.facts.attempt_id,
            "backend" => &*target.entry.id, "status" => status.as_u16(), "connection" => connection);
        state
            .counters
            .rejections
            .with_label_values(&[connection])
            .inc();
        response.discard();
        return Err(BackendSendError::NotRun(status));
    }
    Ok(response)
}

/// Notes the server's load, that it leaves, wants a pause or limits requests. Hosts come back from a pause at different times,
/// so that the server isn't met by all of them at once.
fn apply_server_notices(
    state: &HostState,
    context: &RequestContext,
    target: &BackendCandidate,
    metadata: &ResponseMetadata,
    sent_at: MonotonicTime,
) {
    let (id, backend) = (&*context.facts.attempt_id, &*target.entry.id);
    if let Some(sample) = metadata.load {
        target.load.record_sample(sample, state.now());
    }
    if metadata.is_leaving && target.load.mark_leaving() {
        info!(state.logger, "backend server says that it leaves"; "id" => id, "backend" => backend,
            "phase" => ?target.entry.phase);
        // The next plan and the next report leave the server out.
        state.update(|_| true);
    }
    match &metadata.pause {
        PauseRequest::None => {}
        PauseRequest::For(pause) => {
            let spread = (*pause / PAUSE_SPREAD_SHARE).min(MAX_PAUSE_SPREAD);
            let pause = *pause + spread.mul_f64(rand::random());
            target.load.pause(state.now() + pause);
            info!(state.logger, "backend server asks for a pause"; "id" => id, "backend" => backend,
                "pause_ms" => pause.as_millis() as u64);
        }
        PauseRequest::Unreadable(value) => {
            info!(state.logger, "pause of a backend server ignored, it is not a number of seconds";
                "id" => id, "backend" => backend, "value" => value);
        }
    }
    let limit_per_s = match &metadata.limit {
        RateLimit::None => None,
        RateLimit::PerSecond(limit) => Some(*limit),
        RateLimit::Unreadable(value) => {
            info!(state.logger, "limit of a backend server ignored, it is not a number of requests";
                "id" => id, "backend" => backend, "value" => value);
            return;
        }
    };
    // An answer without a limit may have been written before the server began to name one, but not before its request was
    // sent.
    let at = match limit_per_s {
        Some(_) => state.now(),
        None => sent_at,
    };
    if target.load.record_limit(LimitStatement { limit_per_s, at }) {
        info!(state.logger, "backend server changes its limit"; "id" => id, "backend" => backend,
            "limit_per_s" => limit_per_s);
        // The next plan takes the limit into account.
        state.update(|_| true);
    }
}

/// Builds the request for the backend server: the caller's method, path and body with the system's own headers.
fn build_request(
    context: &RequestContext,
    target: &BackendCandidate,
    resume_after: Option<&str>,
) -> Result<Request<Full<Bytes>>, String> {
    let account = context.account.as_ref();
    let own = BackendHeaders {
        backend: &target.entry.id,
        account: account.map(|(account, _)| &*account.name),
        time_left: context.time_left(),
        urgency: context.urgency(),
    };
    let mut headers = own.build(&context.headers);
    if let Some(event) = resume_after {
        set_resume_point(&mut headers, event);
    }
    let path = context
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(context.method.clone())
        .uri(path)
        .body(Full::new(context.body.clone()))
        .map_err(|error| error.to_string())?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Counts a failed exchange against the server and converts its cause.
fn record_failure(
    state: &HostState,
    target: &BackendCandidate,
    failure: SendFailure,
) -> BackendSendError {
    target.load.count_failure();
    target.load.avoid(state.now());
    let reason = failure.to_string();
    match failure {
        SendFailure::NotSent { .. } => {
            target.load.record_connection_loss(state.now());
            BackendSendError::NotSent(reason)
        }
        SendFailure::Unanswered { .. } => {
            target.load.record_connection_loss(state.now());
            BackendSendError::ConnectionLost(reason)
        }
        SendFailure::InvalidResponse { .. } => BackendSendError::MayHaveRun(reason),
        SendFailure::TimedOut => BackendSendError::TimedOut,
    }
}
