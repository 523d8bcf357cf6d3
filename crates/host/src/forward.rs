use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use slog::info;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::SendBar;

use crate::backend_exchange::CallerResponse;
use crate::backend_exchange::FailedSend;
use crate::backend_exchange::exchange;
use crate::backend_response::BufferedResponse;
use crate::backend_send::BackendSendError;
use crate::caller_response::Refusal;
use crate::caller_response::RefusalKind;
use crate::caller_response::ResponseBody;
use crate::caller_response::Result;
use crate::event_relay::EventRelay;
use crate::filters::recheck_key;
use crate::host_state::HostState;
use crate::next_target::next_target;
use crate::part_filter::check_parts_before_send;
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::request_wait::check_stop;
use crate::request_wait::stopping_refusal;
use crate::request_wait::wait_interval;
use crate::request_wait::wait_until;
use crate::run_check::wait_for_silent_run_end;
use crate::send_history::SendHistory;
use crate::send_permit::PermitError;
use crate::send_permit::SendPermit;
use crate::send_permit::acquire_permit;
use crate::stream_head::StreamHead;

/// Shortest time before the deadline at which a request is still sent to a backend server.
const MIN_SEND_TIME: Duration = Duration::from_millis(15);

/// Lower bound for the time that a repeatable request waits for one backend server before it is sent to another one.
const MIN_FAILOVER_TIMEOUT: Duration = Duration::from_millis(400);

/// A repeatable request waits for one backend server this many times the latency goal of its route.
const FAILOVER_GOAL_FACTOR: u32 = 2;

/// Pause before the next send of a request that full servers rejected. A request without a model goes to a second
/// server without this pause.
const FULL_SERVER_PAUSE: Duration = Duration::from_millis(60);

/// Pause before a request is sent again after a server said that it lacks the model, which it may be about to finish
/// loading.
const MISSING_MODEL_PAUSE: Duration = Duration::from_millis(25);

/// Interval at which a request that waits for a retry checks the empty retry budget.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Share of a request's total time, in percent from its arrival, until which it may wait for the retry budget.
const RETRY_WAIT_PERCENT: u32 = 40;

/// Result of taking a retry from the budget.
enum RetryGrant {
    /// A retry was available at once.
    Immediate,
    /// A retry became available after a wait, so earlier decisions may be outdated.
    AfterWait,
    /// The request may not wait, or the budget stayed empty for as long as it may.
    Denied,
}

/// Sends a request to backend servers, again if its route and the retry budget allow it, and returns the response.
///
/// A request that surely has not run is refunded to its client account.
pub(crate) async fn forward(
    state: &Arc<HostState>,
    context: RequestContext,
    mut log: RequestLog,
) -> Response<ResponseBody> {
    let mut history = SendHistory::default();
    let answered = send_until_answered(state, &context, &mut history, &mut log);
    let answered = state.stop.ending.run_until_cancelled(answered).await;
    let (response, outcome) =
        match answered.unwrap_or_else(|| end_with_failure(stopping_refusal(), &history, None)) {
            Ok(CallerResponse::Stream(head, stream)) => {
                let relay = EventRelay {
                    state: state.clone(),
                    context,
                    history,
                    log,
                    head: StreamHead::new(head.status(), head.headers()),
                };
                let (parts, ()) = head.into_parts();
                return Response::from_parts(parts, relay.start(*stream));
            }
            Ok(CallerResponse::Buffered(response, outcome)) => (response, outcome),
            Err(refusal) => {
                if !refusal.may_have_run
                    && let Some((account, _)) = &context.account
                {
                    state.meter().refund(account, context.cost());
                }
                (refusal.to_response(), refusal.kind.name())
            }
        };
    log.bar = history.bar;
    log.finish(outcome, response.status().as_u16());
    response
}

/// Chooses a server, sends the request and evaluates the response, until the caller gets a response or the request can't
/// be sent again.
///
/// Each send after one that reached a server takes a retry from the budget.
async fn send_until_answered(
    state: &Arc<HostState>,
    context: &RequestContext,
    history: &mut SendHistory,
    log: &mut RequestLog,
) -> Result<CallerResponse> {
    record_model_use(state, context);
    state.retries.for_service(&context.service).record_request();
    // Returned to the caller if no other server gives a better response.
    let mut failed_response: Option<BufferedResponse> = None;
    let mut has_retry = false;
    loop {
        if context.time_left() < MIN_SEND_TIME {
            let refusal = Refusal::not_run(RefusalKind::DeadlinePassed);
            return end_with_failure(refusal, history, failed_response);
        }
        if history.has_tried()
            && !history.may_have_run()
            && let Err(refusal) = check_stop(state, context)
        {
            return end_with_failure(refusal, history, failed_response);
        }
        let target = match next_target(state, context, history).await {
            Ok(target) => target,
            Err(refusal) => return end_with_failure(refusal, history, failed_response),
        };
        // The choice may have waited for a model; meanwhile the key may have been withdrawn or a prompt part blocked.
        if let Err(refusal) = recheck_key(state, context) {
            return end_with_failure(refusal, history, failed_response);
        }
        if history.delivered_sends > 0 && !has_retry {
            let grant = match acquire_retry(state, context, history).await {
                Ok(grant) => grant,
                Err(refusal) => return end_with_failure(refusal, history, failed_response),
            };
            match grant {
                RetryGrant::Immediate => {}
                RetryGrant::AfterWait => {
                    // Meanwhile the server may have left and the key may have been withdrawn: choose and check again.
                    has_retry = true;
                    continue;
                }
                RetryGrant::Denied => {
                    let refusal = Refusal::not_run(RefusalKind::Overloaded);
                    return end_with_failure(refusal, history, failed_response);
                }
            }
        }
        let permit = match acquire_permit(state, context, history, &target).await {
            Ok(permit) => permit,
            Err(PermitError::Barred(bar)) => {
                record_bar(state, context, history, &target, bar);
                has_retry = history.delivered_sends > 0;
                continue;
            }
            Err(PermitError::Ended(refusal)) => {
                return end_with_failure(refusal, history, failed_response);
            }
        };
        has_retry = false;
        if permit.has_waited
            && let Err(refusal) = recheck_key(state, context)
        {
            return end_with_failure(refusal, history, failed_response);
        }
        if let Err(refusal) = check_parts_before_send(state, &context.facts) {
            return end_with_failure(refusal, history, failed_response);
        }
        let backend = target.entry.id.clone();
        log.record_send(&backend);
        history.sending_to = Some(backend.clone());
        let sent = send_and_read(state, context, history, permit).await;
        history.sending_to = None;
        let is_delivered = !matches!(&sent, Err(failed) if failed.is_unsent());
        history.delivered_sends += u32::from(is_delivered);
        log.delivered_sends = history.delivered_sends;
        let FailedSend { error, response } = match sent {
            Ok(caller_response) => {
                log.record_first_response();
                return Ok(caller_response);
            }
            Err(failed) => failed,
        };
        info!(state.logger, "send to backend server failed"; "id" => &*context.facts.attempt_id, "backend" => &*backend,
            "parts" => context.facts.shared_parts_text(), "end" => %error);
        state
            .counters
            .sends
            .with_label_values(&[error.label()])
            .inc();
        match error {
            BackendSendError::NotSent(_) => history.record_unreachable(&backend),
            BackendSendError::NotRun(status) => {
                let pause = record_rejection(state, context, history, &target, status);
                if let Err(refusal) = wait_until(state, context, Instant::now() + pause).await {
                    return end_with_failure(refusal, history, failed_response);
                }
            }
            BackendSendError::MayHaveRun(_)
            | BackendSendError::ConnectionLost(_)
            | BackendSendError::RunOver
            | BackendSendError::TimedOut => {
                if matches!(error, BackendSendError::ConnectionLost(_)) {
                    let now = state.now();
                    state.parts().record_cut(&context.facts, &target, now);
                }
                history.record_possible_run(&backend);
                // A server that answered to the end has ended its run.
                let is_over = response.is_some() && history.open_run.is_none();
                if error == BackendSendError::RunOver {
                    history.open_run = None;
                } else if !is_over && context.facts.model.is_some() {
                    let is_lost = matches!(error, BackendSendError::ConnectionLost(_));
                    history.record_open_run(&target, is_lost);
                }
                failed_response = response.or(failed_response);
                if !may_send_again(state, context, history) {
                    let kind = if context.time_left() < MIN_SEND_TIME {
                        RefusalKind::DeadlinePassed
                    } else {
                        RefusalKind::BackendFailed
                    };
                    return end_with_failure(Refusal::not_run(kind), history, failed_response);
                }
            }
        }
    }
}

/// Ends a request with the error response of a backend server, if there is one, and otherwise with `refusal`.
///
/// If a server may have run the request, the refusal must not promise that it did not run.
fn end_with_failure(
    refusal: Refusal,
    history: &SendHistory,
    failed: Option<BufferedResponse>,
) -> Result<CallerResponse> {
    match failed {
        Some(response) => Ok(CallerResponse::Buffered(
            response.into_response(),
            "server-failed",
        )),
        None => Err(Refusal {
            may_have_run: history.may_have_run(),
            ..refusal
        }),
    }
}

/// Takes a retry from the service's budget.
///
/// A request that surely has not run may wait for one: it should not fail while later requests get their first send.
/// Fails if the host shuts down meanwhile.
async fn acquire_retry(
    state: &HostState,
    context: &RequestContext,
    history: &SendHistory,
) -> Result<RetryGrant> {
    let wait_until = context.arrived + context.total_time() * RETRY_WAIT_PERCENT / 100;
    let mut grant = RetryGrant::Immediate;
    loop {
        if state.retries.for_service(&context.service).try_retry() {
            return Ok(grant);
        }
        if history.may_have_run() || Instant::now() + RETRY_POLL_INTERVAL >= wait_until {
            return Ok(RetryGrant::Denied);
        }
        wait_interval(state, RETRY_POLL_INTERVAL).await?;
        grant = RetryGrant::AfterWait;
    }
}

/// Records that nothing may be sent to the chosen server now, so that another one is chosen.
fn record_bar(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
    target: &BackendCandidate,
    bar: SendBar,
) {
    let backend = &target.entry.id;
    info!(state.logger, "send to backend server barred"; "id" => &*context.facts.attempt_id,
        "backend" => &**backend, "bar" => bar.name());
    state.counters.sends.with_label_values(&[bar.name()]).inc();
    history.record_bar(backend, bar);
}

/// Counts the request for the next report of model usage to the coordinator.
fn record_model_use(state: &HostState, context: &RequestContext) {
    let facts = &context.facts;
    if let Some(model) = &facts.model {
        let adapter = facts.adapter.as_ref();
        let (prompt, output) = (facts.prompt_tokens, facts.output_tokens);
        state
            .uses()
            .record(&context.service, model, adapter, prompt, output);
    }
}

/// Records that a server rejected the request, because it is full or lacks the model; returns the pause before the next
/// send.
fn record_rejection(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
    target: &BackendCandidate,
    status: StatusCode,
) -> Duration {
    let backend = &target.entry.id;
    if let Some(bar @ SendBar::Paused { .. }) = state.bar(target) {
        history.record_bar(backend, bar);
        return Duration::ZERO;
    }
    let Some(model) = &context.facts.model else {
        history.exclude(backend);
        return if history.delivered_sends > 1 {
            FULL_SERVER_PAUSE
        } else {
            Duration::ZERO
        };
    };
    if status == StatusCode::TOO_MANY_REQUESTS {
        history.exclude(backend);
        return FULL_SERVER_PAUSE;
    }
    // The server lacks the model, is about to unload it or is still loading it.
    let adapter = context.facts.adapter.as_deref();
    state.update(|source| source.forget_model(backend, model, adapter));
    history.missing_model_at = Some(backend.clone());
    MISSING_MODEL_PAUSE
}

/// True if a request that may have run on a server may be sent to one more.
///
/// This holds for repeatable routes below their limit of servers, while the retry budget is not empty.
pub(crate) fn may_send_again(
    state: &HostState,
    context: &RequestContext,
    history: &SendHistory,
) -> bool {
    let rule = &context.rule;
    rule.kind.is_repeatable()
        && history.possible_run_count() < rule.max_backends
        && state.retries.for_service(&context.service).balance() > 0
}

/// Uses the permit to send the request, and reads the response: to its end, or to the first event of a stream.
///
/// A repeatable request for which no response comes in time is given up while another server can still answer in time. One
/// with a model is given up only when the server no longer works on it.
async fn send_and_read(
    state: &Arc<HostState>,
    context: &RequestContext,
    history: &mut SendHistory,
    permit: SendPermit,
) -> Result<CallerResponse, FailedSend> {
    let target = &permit.target.clone();
    let failover_timeout = (context.rule.goal * FAILOVER_GOAL_FACTOR).max(MIN_FAILOVER_TIMEOUT);
    let failover_at = Instant::now() + failover_timeout;
    if context.rule.kind.is_repeatable() && context.facts.model.is_none() {
        let deadline = context.deadline.min(failover_at);
        return exchange(state, context, history, permit, deadline).await;
    }
    if !may_send_again(state, context, history) {
        return exchange(state, context, history, permit, context.deadline).await;
    }
    tokio::select! {
        biased;
        delivered = exchange(state, context, history, permit, context.deadline) => delivered,
        () = wait_for_silent_run_end(state, context, target, failover_at) => {
            target.load.count_failure();
            target.load.avoid(state.now());
            Err(BackendSendError::RunOver.into())
        }
    }
}
