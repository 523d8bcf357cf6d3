use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use slog::info;
use tokio::time::Instant;
use zinniahinge_platform::ResponseMetadata;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::RouteKind;

use crate::answer::AnswerBody;
use crate::answer::Refusal;
use crate::answer::RefusalKind;
use crate::answer::Result;
use crate::attempt::SendEnd;
use crate::attempt::send;
use crate::backend_answer::BackendAnswer;
use crate::backend_answer::WholeAnswer;
use crate::event_relay::EventRelay;
use crate::event_relay::OpenStream;
use crate::filters::check_key;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::target_choice::choose_target;
use crate::try_log::TryLog;

/// Time that must be left for a send to make sense.
const MIN_SEND_TIME: Duration = Duration::from_millis(15);

/// Shortest time that a repeatable request waits before it is sent elsewhere.
const MIN_PATIENCE: Duration = Duration::from_millis(400);

/// A repeatable request waits for this many times its goal before it is sent elsewhere.
const PATIENCE_GOALS: u32 = 2;

/// Pause before a request that all servers had no place for is sent again.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Pause before a request is sent again to a server whose load has just ended.
const ABSENT_PAUSE: Duration = Duration::from_millis(25);

/// Pause between two looks at an empty retry budget.
const RETRY_POLL: Duration = Duration::from_millis(200);

/// Part of a request's time, in percent, for which it may wait for the retry budget.
const RETRY_WAIT_PERCENT: u32 = 40;

/// What a caller gets.
enum Delivery {
    /// A whole answer, with its outcome for the log.
    Whole(Response<AnswerBody>, &'static str),
    /// A stream that has begun.
    Stream(Response<()>, OpenStream),
}

/// Whether a request may be sent once more.
enum RetryTake {
    /// At once.
    AtOnce,
    /// After a wait.
    Waited,
    /// The budget was empty for too long.
    Refused,
}

/// A send without a usable answer.
struct FailedSend {
    end: SendEnd,
    /// Answer of a server that ran the request and failed.
    answer: Option<WholeAnswer>,
}

/// Sends a request to backend servers until it is answered, and answers the caller.
pub(crate) async fn forward(
    state: &Arc<HostState>,
    context: RequestContext,
    mut log: RequestLog,
) -> Response<AnswerBody> {
    let mut tries = TryLog::default();
    let (response, outcome) = match run(state, &context, &mut tries, &mut log).await {
        Ok(Delivery::Stream(head, stream)) => {
            let relay = EventRelay {
                state: state.clone(),
                context,
                tries,
                log,
            };
            let (parts, ()) = head.into_parts();
            return Response::from_parts(parts, relay.start(stream));
        }
        Ok(Delivery::Whole(response, outcome)) => (response, outcome),
        Err(refusal) => {
            if !refusal.may_have_run
                && let Some((account, _)) = &context.account
            {
                state.meter().refund(account, context.cost());
            }
            (refusal.to_response(), refusal.kind.name())
        }
    };
    log.finish(outcome, response.status().as_u16());
    response
}

async fn run(
    state: &Arc<HostState>,
    context: &RequestContext,
    tries: &mut TryLog,
    log: &mut RequestLog,
) -> Result<Delivery> {
    note_use(state, context);
    state.retries.of(&context.service).record_request();
    // The caller gets it if no other server does better.
    let mut failed_answer: Option<WholeAnswer> = None;
    let mut has_retry = false;
    loop {
        if context.time_left() < MIN_SEND_TIME {
            let refusal = Refusal::not_run(RefusalKind::DeadlinePassed);
            return give_up(refusal, tries, failed_answer);
        }
        let target = match choose_target(state, context, tries).await {
            Ok(target) => target,
            Err(refusal) => return give_up(refusal, tries, failed_answer),
        };
        // The choice may have waited.
        if let Err(refusal) = check_key(state, context) {
            return give_up(refusal, tries, failed_answer);
        }
        if tries.arrivals > 0 && !has_retry {
            match take_retry(state, context, tries).await {
                RetryTake::AtOnce => {}
                RetryTake::Waited => {
                    // The server may have left and the key been withdrawn meanwhile.
                    has_retry = true;
                    continue;
                }
                RetryTake::Refused => {
                    let refusal = Refusal::not_run(RefusalKind::Overloaded);
                    return give_up(refusal, tries, failed_answer);
                }
            }
        }
        has_retry = false;
        let backend = target.entry.id.clone();
        log.note_send(&backend);
        let sent = attempt(state, context, tries, &target).await;
        let is_arrived = !matches!(&sent, Err(failed) if failed.is_unsent());
        tries.arrivals += u32::from(is_arrived);
        log.arrivals = tries.arrivals;
        let FailedSend { end, answer } = match sent {
            Ok(delivery) => {
                log.note_answer();
                return Ok(delivery);
            }
            Err(failed) => failed,
        };
        info!(state.logger, "send ended"; "id" => &*context.facts.attempt_id, "backend" => &*backend,
            "end" => %end);
        state.counters.sends.with_label_values(&[end.label()]).inc();
        match end {
            SendEnd::NotSent(_) => tries.note_unreached(&backend),
            SendEnd::NotRun(status) => {
                let pause = note_not_run(state, context, tries, &target, status);
                tokio::time::sleep(pause.min(context.time_left())).await;
            }
            SendEnd::MayHaveRun(_) | SendEnd::TimedOut => {
                tries.note_ran(&backend);
                failed_answer = answer.or(failed_answer);
                if !may_repeat(state, context, tries) {
                    let kind = if context.time_left() < MIN_SEND_TIME {
                        RefusalKind::DeadlinePassed
                    } else {
                        RefusalKind::BackendFailed
                    };
                    return give_up(Refusal::not_run(kind), tries, failed_answer);
                }
            }
        }
    }
}

/// Ends a request: with the answer of a server that failed, if there is one, otherwise with the refusal, which promises
/// nothing if a server may have run the request.
fn give_up(refusal: Refusal, tries: &TryLog, failed: Option<WholeAnswer>) -> Result<Delivery> {
    match failed {
        Some(answer) => Ok(Delivery::Whole(answer.into_response(), "server-failed")),
        None => Err(Refusal {
            may_have_run: tries.has_maybe_run(),
            ..refusal
        }),
    }
}

/// Takes a retry from the budget. A request that has not run may wait for one: it is not worth less than those whose
/// first send comes later.
async fn take_retry(state: &HostState, context: &RequestContext, tries: &TryLog) -> RetryTake {
    let wait_until = context.arrived + context.whole_time() * RETRY_WAIT_PERCENT / 100;
    let mut taken = RetryTake::AtOnce;
    loop {
        if state.retries.of(&context.service).try_retry() {
            return taken;
        }
        if tries.has_maybe_run() || Instant::now() + RETRY_POLL >= wait_until {
            return RetryTake::Refused;
        }
        tokio::time::sleep(RETRY_POLL).await;
        taken = RetryTake::Waited;
    }
}

fn note_use(state: &HostState, context: &RequestContext) {
    let facts = &context.facts;
    if let Some(model) = &facts.model {
        let adapter = facts.adapter.as_ref();
        let (prompt, output) = (facts.prompt_tokens, facts.output_tokens);
        state
            .uses()
            .add(&context.service, model, adapter, prompt, output);
    }
}

/// A server did not take the request: it is full, or doesn't have the model. Returns the pause before the next send.
fn note_not_run(
    state: &HostState,
    context: &RequestContext,
    tries: &mut TryLog,
    target: &BackendCandidate,
    status: StatusCode,
) -> Duration {
    let backend = &target.entry.id;
    let Some(model) = &context.facts.model else {
        tries.avoid(backend);
        return if tries.arrivals > 1 {
            FULL_PAUSE
        } else {
            Duration::ZERO
        };
    };
    if status == StatusCode::TOO_MANY_REQUESTS {
        tries.avoid(backend);
        return FULL_PAUSE;
    }
    // Also a server that is about to unload or still loads the model answers so.
    let adapter = context.facts.adapter.as_deref();
    state.update(|source| source.forget_model(backend, model, adapter));
    tries.absent_at = Some(backend.clone());
    ABSENT_PAUSE
}

/// True if a request that may have run may be sent to one more server.
pub(crate) fn may_repeat(state: &HostState, context: &RequestContext, tries: &TryLog) -> bool {
    let rule = &context.rule;
    rule.kind.is_repeatable()
        && tries.ran_count() < rule.max_backends
        && state.retries.of(&context.service).balance() > 0
}

async fn attempt(
    state: &Arc<HostState>,
    context: &RequestContext,
    tries: &mut TryLog,
    target: &BackendCandidate,
) -> Result<Delivery, FailedSend> {
    let patience = (context.rule.goal * PATIENCE_GOALS).max(MIN_PATIENCE);
    let deadline = if context.rule.kind.is_repeatable() {
        context.deadline.min(Instant::now() + patience)
    } else {
        context.deadline
    };
    let answer = send(state, context, tries, target, None, deadline).await?;
    let delivered = match context.rule.kind {
        RouteKind::Streaming { .. } if answer.facts.status.is_success() => {
            open_stream(answer, target, deadline).await
        }
        _ => read_answer(context, answer, deadline).await,
    };
    match &delivered {
        Err(_) => target.load.count_failure(),
        Ok(Delivery::Whole(..)) => target.load.count_success(),
        // Counted when it ends.
        Ok(Delivery::Stream(..)) => {}
    }
    delivered
}

async fn open_stream(
    answer: BackendAnswer,
    target: &BackendCandidate,
    deadline: Instant,
) -> Result<Delivery, FailedSend> {
    if !answer.facts.has_original_body() {
        return Err(broken("the answer is not the server's own"));
    }
    let mut head = Response::new(());
    *head.status_mut() = answer.facts.status;
    *head.headers_mut() = ResponseMetadata::forwardable_headers(&answer.headers);
    let opened = OpenStream::start(answer, target.entry.id.clone(), deadline).await;
    let stream = opened.map_err(broken)?;
    Ok(Delivery::Stream(head, stream))
}

async fn read_answer(
    context: &RequestContext,
    answer: BackendAnswer,
    deadline: Instant,
) -> Result<Delivery, FailedSend> {
    let status = answer.facts.status;
    if !answer.facts.has_original_body() {
        let reason = format!("status {status} without the server's signature");
        return Err(broken(reason));
    }
    let read = answer.read_whole(deadline).await;
    let whole = read.map_err(|failure| broken(failure.to_string()))?;
    if status.is_success() {
        return Ok(Delivery::Whole(whole.into_response(), "served"));
    }
    // These statuses promise that a request was not run, and the server did not say so.
    let promises = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promises.contains(&status) && !context.rule.kind.is_repeatable() {
        let reason = format!("status {status} of a request that may have run");
        return Err(broken(reason));
    }
    if status.is_server_error() {
        return Err(FailedSend {
            end: SendEnd::MayHaveRun(status.to_string()),
            answer: Some(whole),
        });
    }
    Ok(Delivery::Whole(whole.into_response(), "server-refused"))
}

fn broken(reason: impl Into<String>) -> FailedSend {
    SendEnd::MayHaveRun(reason.into()).into()
}

impl FailedSend {
    fn is_unsent(&self) -> bool {
        matches!(self.end, SendEnd::NotSent(_))
    }
}

impl From<SendEnd> for FailedSend {
    fn from(end: SendEnd) -> Self {
        Self { end, answer: None }
    }
}
