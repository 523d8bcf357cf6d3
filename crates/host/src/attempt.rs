use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use thiserror::Error;
use tokio::time::Instant;
use zinniahinge_platform::BackendHeaders;
use zinniahinge_platform::ResponseMetadata;
use zinniahinge_platform::set_resume_point;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::LoadGuard;
use zinniahinge_transport::PooledExchange;
use zinniahinge_transport::ReuseRule;
use zinniahinge_transport::SendFailure;

use crate::backend_answer::BackendAnswer;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::try_log::TryLog;

/// Idle time up to which a kept connection serves a request that must not be repeated. Backend servers keep idle
/// connections for several seconds.
const FRESH_IDLE: Duration = Duration::from_secs(3);

/// How a send to a backend server ended without a usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum SendEnd {
    /// No byte was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The server says that it did not run the request.
    #[error("not run, status {0}")]
    NotRun(StatusCode),
    /// It may have run.
    #[error("may have run: {0}")]
    MayHaveRun(String),
    /// It may have run, or still be running: the time for the answer is over.
    #[error("no answer in time")]
    TimedOut,
}

impl SendEnd {
    /// Name for counters.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Sends a request to a backend server and reads the head of its answer until `deadline`.
///
/// A request that goes to the same server again takes a new connection: the answer to its first send may come twice, and
/// the second copy, which bears the same id, would be taken for the answer to this one.
pub(crate) async fn send(
    state: &HostState,
    context: &RequestContext,
    tries: &mut TryLog,
    target: &BackendCandidate,
    resume_after: Option<&str>,
    deadline: Instant,
) -> Result<BackendAnswer, SendEnd> {
    let guard = LoadGuard::new(target.load.clone(), context.facts.prompt_tokens);
    let request = build(context, target, resume_after).map_err(SendEnd::NotSent)?;
    let rule = if tries.note_sent(&target.entry.id) {
        ReuseRule::Never
    } else if context.rule.kind.is_repeatable() {
        ReuseRule::Any
    } else {
        ReuseRule::IdleLessThan(FRESH_IDLE)
    };
    target.record_sent_parts(&context.facts);
    let sent = state
        .pool
        .send(target.entry.address, request, rule, deadline)
        .await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(failure) => return Err(end_of(state, target, failure)),
    };
    let PooledExchange {
        response, lease, ..
    } = exchange;
    let (head, body) = response.into_parts();
    let facts = ResponseMetadata::read(head.status, &head.headers, &context.facts.attempt_id);
    if facts.is_for_other_attempt {
        target.load.count_failure();
        return Err(SendEnd::MayHaveRun(
            "the answer names another request".to_owned(),
        ));
    }
    if let Some(sample) = facts.load {
        target.load.record_sample(sample, state.now());
    }
    let answer = BackendAnswer {
        facts,
        headers: head.headers,
        body,
        lease,
        guard,
    };
    if answer.facts.states_not_executed {
        let status = answer.facts.status;
        answer.discard();
        return Err(SendEnd::NotRun(status));
    }
    Ok(answer)
}

fn build(
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

fn end_of(state: &HostState, target: &BackendCandidate, failure: SendFailure) -> SendEnd {
    target.load.count_failure();
    target.load.avoid(state.now());
    let reason = failure.to_string();
    match failure {
        SendFailure::NotSent { .. } => SendEnd::NotSent(reason),
        SendFailure::Unanswered { .. } => SendEnd::MayHaveRun(reason),
        SendFailure::TimedOut => SendEnd::TimedOut,
    }
}
