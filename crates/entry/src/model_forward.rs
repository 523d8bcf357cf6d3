//! Dispatches a model request and forwards it to a backend server.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use volo_http::body::Body;
use volo_http::response::Response;
use zinniahinge_types::DispatchReply;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::EventKind;
use zinniahinge_types::Name;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::RequestId;
use zinniahinge_types::ResourceKey;

use crate::answer_relay::AnswerRelay;
use crate::backend_client::BackendCall;
use crate::backend_client::BackendFailure;
use crate::backend_client::read_whole;
use crate::chat_call::ChatCall;
use crate::entry_state::EntryState;
use crate::filters::check_account;
use crate::forward_headers::is_own_answer;
use crate::forward_headers::request_headers;
use crate::forward_headers::response_headers;
use crate::key_watch::key_withdrawn;
use crate::owner_client::OwnerCall;
use crate::problem::ProblemKind;
use crate::problem::RanState;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::CHAT_PATH;
use crate::request_context::RequestContext;
use crate::settlement::ChargeGuard;
use crate::settlement::TicketGuard;

/// Backend servers that one request is tried on.
const MAX_ATTEMPTS: u128 = 3;

/// One model request on its way.
pub struct ModelForward {
    /// Shared state.
    pub state: Arc<EntryState>,
    /// The request.
    pub context: Arc<RequestContext>,
    /// Service of the model.
    pub service: Name,
    /// Parsed request.
    pub call: ChatCall,
    /// Charge, settled on drop.
    pub charge: Option<ChargeGuard>,
}

/// How one attempt ended without an answer for the caller.
struct FailedAttempt {
    failure: BackendFailure,
    server: Name,
}

impl ModelForward {
    /// Tries backend servers until one answers. Model requests are idempotent, so a failed attempt may be repeated
    /// on another server as long as the caller has seen nothing of the answer.
    pub async fn run(mut self) -> Result<Response> {
        let mut may_have_run = false;
        let result = self.try_servers(&mut may_have_run).await;
        result.map_err(|problem| problem.after_attempts(may_have_run))
    }

    async fn try_servers(&mut self, may_have_run: &mut bool) -> Result<Response> {
        let mut excluded = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let ticket = self.dispatch(attempt, &excluded).await?;
            check_account(&self.state, &self.context)?;
            match self.attempt(ticket).await {
                Ok(response) => return Ok(response),
                Err(failed) => {
                    self.note_failure(&failed);
                    *may_have_run |= failed.failure.may_have_run();
                    let may_retry = self.state.retries.try_retry();
                    if !may_retry || self.context.time_left().is_zero() {
                        return Err(failed.failure.into_problem(&failed.server));
                    }
                    // A server that answers, though badly, may hold the only replica. Excluding it would
                    // let the request wait until its deadline for another replica that nobody loads.
                    if !failed.failure.is_answered() {
                        excluded.push(failed.server);
                    }
                }
            }
        }
        let detail = "every backend server that was tried failed";
        Err(RequestProblem::not_run(ProblemKind::BackendFailed, detail).with_ran(RanState::Unknown))
    }

    async fn dispatch(&self, attempt: u128, excluded: &[Name]) -> Result<TicketGuard> {
        let key = ResourceKey::Model {
            service: self.service.clone(),
            model: self.call.model.clone(),
        };
        let message = self.dispatch_request(attempt, excluded);
        let call = OwnerCall {
            key: &key,
            path: "/peer/dispatch",
            message: &message,
            deadline: self.context.deadline,
            long_poll: true,
        };
        let reply = tokio::select! {
            reply = self.state.owners.call(call, |reply| *reply == DispatchReply::NotOwner) => reply,
            problem = key_withdrawn(&self.state, &self.context) => return Err(problem),
        };
        match reply {
            Ok(DispatchReply::Granted(ticket)) => {
                self.note_dispatch(&ticket);
                Ok(TicketGuard::new(
                    self.state.owners.clone(),
                    self.service.clone(),
                    self.call.model.clone(),
                    ticket,
                ))
            }
            Ok(DispatchReply::Refused {
                reason,
                retry_after,
            }) => Err(refusal_problem(reason, retry_after)),
            Ok(DispatchReply::NotOwner) | Err(_) => {
                let detail = "the model's dispatcher gave no answer before the deadline";
                Err(
                    RequestProblem::not_run(ProblemKind::DeadlineExceeded, detail)
                        .with_retry_after(self.state.limits.retry_after),
                )
            }
        }
    }

    fn dispatch_request(&self, attempt: u128, excluded: &[Name]) -> DispatchRequest {
        let output = self
            .call
            .max_tokens
            .unwrap_or_else(|| self.model_max_output());
        DispatchRequest {
            request_id: RequestId(self.context.request_id.0.wrapping_add(attempt)),
            trace_id: self.context.trace_id,
            host: self.state.host.clone(),
            service: self.service.clone(),
            model: self.call.model.clone(),
            adapter: self.adapter_id(),
            account: self
                .context
                .account
                .clone()
                .unwrap_or_else(|| "open".into()),
            class: self.context.class,
            deadline_in: self.context.time_left(),
            tokens: self.call.prompt_tokens + output,
            place: self.state.place.clone(),
            prefix_hash: self.call.prefix_hash,
            excluded: excluded.to_vec(),
        }
    }

    /// Adapter names are unique only within their base model.
    fn adapter_id(&self) -> Option<Name> {
        let ChatCall { model, adapter, .. } = &self.call;
        adapter
            .as_ref()
            .map(|adapter| format!("{model}:{adapter}").into())
    }

    fn model_max_output(&self) -> u64 {
        let snapshot = self.state.snapshot.load();
        let in_force = snapshot.services.get(&self.service);
        let model = in_force.and_then(|in_force| in_force.document.model(&self.call.model));
        model.map_or(0, |model| model.max_output_tokens)
    }

    async fn attempt(
        &mut self,
        ticket: TicketGuard,
    ) -> std::result::Result<Response, FailedAttempt> {
        let server = ticket.ticket.server.clone();
        let result = self.exchange(ticket).await;
        result.map_err(|failure| FailedAttempt { failure, server })
    }

    async fn exchange(
        &mut self,
        mut ticket: TicketGuard,
    ) -> std::result::Result<Response, BackendFailure> {
        let started = Instant::now();
        let sent = self
            .state
            .backends
            .send(self.backend_call(&ticket.ticket))
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(failure) => {
                ticket.set_outcome(failure.outcome());
                return Err(failure);
            }
        };
        if let Some(charge) = &mut self.charge {
            charge.set_used(self.call.prompt_tokens);
        }
        let fault = self.check_answer(&response);
        if let Err(failure) = fault {
            ticket.set_outcome(ReleaseOutcome::ServerFailed);
            return Err(failure);
        }
        if self.call.stream && response.status().is_success() {
            return self.stream_answer(response, ticket, started).await;
        }
        let result = self.whole_answer(response, started, &mut ticket).await;
        let outcome = result
            .as_ref()
            .map_or(ReleaseOutcome::ServerFailed, |_| ReleaseOutcome::Finished);
        ticket.set_outcome(outcome);
        result
    }

    fn backend_call(&self, ticket: &DispatchTicket) -> BackendCall {
        let context = &self.context;
        let headers = request_headers(&context.headers, context.key.as_ref(), context.request_id);
        BackendCall {
            address: ticket.address.clone(),
            method: Method::POST,
            path: CHAT_PATH.to_owned(),
            headers,
            body: context.body.clone(),
            deadline: context.deadline,
        }
    }

    fn check_answer(&self, response: &Response) -> std::result::Result<(), BackendFailure> {
        if !is_own_answer(response.headers(), self.context.request_id) {
            return Err(BackendFailure::CrossedAnswer);
        }
        if is_retryable(response.status()) {
            return Err(BackendFailure::NoAnswer);
        }
        Ok(())
    }

    async fn stream_answer(
        &mut self,
        response: Response,
        ticket: TicketGuard,
        started: Instant,
    ) -> std::result::Result<Response, BackendFailure> {
        let (parts, body) = response.into_parts();
        let relay = AnswerRelay {
            state: self.state.clone(),
            context: self.context.clone(),
            prompt_tokens: self.call.prompt_tokens,
            ticket,
            started,
        };
        let body = relay.start(body, &mut self.charge).await?;
        Ok(self.build_response(parts, body))
    }

    async fn whole_answer(
        &mut self,
        response: Response,
        started: Instant,
        ticket: &mut TicketGuard,
    ) -> std::result::Result<Response, BackendFailure> {
        let (parts, body) = response.into_parts();
        let bytes = read_whole(body, self.context.deadline).await?;
        ticket.set_first_token(started.elapsed());
        if parts.status.is_success() {
            let used = check_completion(&bytes)?;
            ticket.set_tokens(used);
            if let Some(charge) = &mut self.charge {
                charge.set_used(used.max(self.call.prompt_tokens));
            }
        }
        self.note_finish("whole answer");
        Ok(self.build_response(parts, Body::from(bytes)))
    }

    fn build_response(&self, parts: http::response::Parts, body: Body) -> Response {
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = response_headers(&parts.headers);
        response
    }

    // ------------------------------------------------------------------------

    fn note_dispatch(&self, ticket: &DispatchTicket) {
        let start = if ticket.cold { "cold" } else { "warm" };
        self.state.counters.dispatched(start);
        let detail = format!("server {}, {start}", ticket.server);
        self.record(EventKind::RequestDispatched, detail);
    }

    fn note_failure(&self, failed: &FailedAttempt) {
        self.state.counters.backend_failure(failed.failure);
        let detail = format!("server {}, {:?}", failed.server, failed.failure);
        self.record(EventKind::RequestFailed, detail);
    }

    fn note_finish(&self, detail: &str) {
        self.record(EventKind::RequestFinished, detail.to_owned());
    }

    fn record(&self, kind: EventKind, detail: String) {
        let trace_id = Some(self.context.trace_id);
        self.state
            .events
            .record(kind, trace_id, self.context.subject(), detail);
    }
}

#[derive(Deserialize)]
struct Completion {
    #[serde(rename = "choices")]
    _choices: Vec<serde::de::IgnoredAny>,
    usage: Option<CompletionUsage>,
}

#[derive(Deserialize)]
struct CompletionUsage {
    #[serde(default)]
    total_tokens: u64,
}

/// Refuses an answer that is not a chat completion; returns the tokens used, 0 if not stated.
fn check_completion(body: &Bytes) -> std::result::Result<u64, BackendFailure> {
    let completion: Completion =
        serde_json::from_slice(body).map_err(|_| BackendFailure::BrokenAnswer)?;
    Ok(completion.usage.map_or(0, |usage| usage.total_tokens))
}

/// True for a failure of the server, and for a server that has lost the model, is busy or refuses more work.
fn is_retryable(status: StatusCode) -> bool {
    let lost_or_busy = [
        StatusCode::NOT_FOUND,
        StatusCode::CONFLICT,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_server_error() || lost_or_busy.contains(&status)
}

fn refusal_problem(reason: RefusalReason, retry_after: Duration) -> RequestProblem {
    let (kind, detail) = match reason {
        RefusalReason::QueueFull => (ProblemKind::Overloaded, "the model's queue is full"),
        RefusalReason::DeadlineUnreachable => {
            (ProblemKind::DeadlineExceeded, "the deadline cannot be met")
        }
        RefusalReason::DeadlinePassed => (
            ProblemKind::DeadlineExceeded,
            "the deadline passed while the request waited",
        ),
        RefusalReason::UnknownModel => (
            ProblemKind::UnknownModel,
            "the model or adapter was withdrawn",
        ),
        RefusalReason::AccountWithdrawn => {
            (ProblemKind::InvalidKey, "the client account was withdrawn")
        }
    };
    RequestProblem::not_run(kind, detail).with_retry_after(retry_after)
}

impl BackendFailure {
    /// True if the server answered, so that it is alive.
    pub fn is_answered(self) -> bool {
        matches!(self, Self::CrossedAnswer | Self::BrokenAnswer)
    }

    /// False only if no byte of the request was written.
    pub fn may_have_run(self) -> bool {
        self != Self::NotSent
    }

    /// Outcome that is reported to the dispatcher.
    pub fn outcome(self) -> ReleaseOutcome {
        match self {
            Self::NotSent => ReleaseOutcome::ConnectFailed,
            _ => ReleaseOutcome::ServerFailed,
        }
    }

    /// Answer for the caller.
    pub fn into_problem(self, server: &str) -> RequestProblem {
        let (kind, ran, what) = match self {
            Self::NotSent => (
                ProblemKind::NoBackendServer,
                RanState::No,
                "could not be reached",
            ),
            Self::NoAnswer => (
                ProblemKind::BackendFailed,
                RanState::Unknown,
                "gave no answer",
            ),
            Self::TimedOut => (
                ProblemKind::DeadlineExceeded,
                RanState::Unknown,
                "did not answer in time",
            ),
            Self::CrossedAnswer => (
                ProblemKind::BackendFailed,
                RanState::Unknown,
                "answered another request",
            ),
            Self::BrokenAnswer => (
                ProblemKind::BackendFailed,
                RanState::Unknown,
                "gave a broken answer",
            ),
        };
        RequestProblem::not_run(kind, format!("backend server {server} {what}")).with_ran(ran)
    }
}
