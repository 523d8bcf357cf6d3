//! Forwards a request to a plain service.

use std::sync::Arc;

use volo_http::body::Body;
use volo_http::response::Response;
use zinniahinge_document::ServiceRoute;
use zinniahinge_scheduling::ChosenServer;
use zinniahinge_types::EventKind;
use zinniahinge_types::Name;
use zinniahinge_types::StoredAnswer;

use crate::backend_client::BackendCall;
use crate::backend_client::BackendFailure;
use crate::backend_client::read_whole;
use crate::entry_state::EntryState;
use crate::filters::check_account;
use crate::forward_headers::is_own_answer;
use crate::forward_headers::request_headers;
use crate::forward_headers::response_headers;
use crate::problem::ProblemKind;
use crate::problem::RanState;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::IdempotencyUse;
use crate::request_context::RequestContext;
use crate::settlement::ChargeGuard;
use crate::settlement::finish_key;

/// Backend servers that an idempotent request, or one that could not be sent, is tried on.
const MAX_ATTEMPTS: usize = 3;

/// One request to a plain service on its way.
pub struct PlainForward {
    /// Shared state.
    pub state: Arc<EntryState>,
    /// The request.
    pub context: Arc<RequestContext>,
    /// Service whose document defines the route.
    pub service: Name,
    /// Route.
    pub route: ServiceRoute,
    /// Group of backend servers.
    pub group: Name,
    /// Charge, settled on drop.
    pub charge: Option<ChargeGuard>,
    /// Key that must be finished.
    pub claim: Option<IdempotencyUse>,
}

/// A whole answer.
struct PlainAnswer {
    parts: http::response::Parts,
    body: bytes::Bytes,
}

impl PlainForward {
    /// Forwards the request. Runs in a task of its own: a caller who leaves must not stop a request that may run
    /// only once, because its result would be lost.
    pub async fn run(self) -> Result<Response> {
        let task = tokio::spawn(self.run_to_end());
        match task.await {
            Ok(result) => result,
            Err(_) => {
                let detail = "the request was interrupted";
                Err(RequestProblem::not_run(ProblemKind::BackendFailed, detail)
                    .with_ran(RanState::Unknown))
            }
        }
    }

    async fn run_to_end(mut self) -> Result<Response> {
        let mut may_have_run = false;
        let result = self.try_servers(&mut may_have_run).await;
        let result = result.map_err(|problem| problem.after_attempts(may_have_run));
        if let Some(claim) = self.claim.take() {
            let answer = result.as_ref().ok().map(stored_answer);
            let ran = result
                .as_ref()
                .err()
                .is_none_or(|problem| problem.ran != RanState::No);
            finish_key(&self.state.owners, claim, answer, ran).await;
        }
        let answer = result?;
        self.record(
            EventKind::RequestFinished,
            format!("status {}", answer.parts.status),
        );
        let mut response = Response::new(Body::from(answer.body));
        *response.status_mut() = answer.parts.status;
        *response.headers_mut() = response_headers(&answer.parts.headers);
        Ok(response)
    }

    async fn try_servers(&mut self, may_have_run: &mut bool) -> Result<PlainAnswer> {
        let mut excluded: Vec<Name> = Vec::new();
        loop {
            check_account(&self.state, &self.context)?;
            let Some(server) = self.state.plain_servers.choose(&self.group, &excluded) else {
                let detail = "no backend server is available for this route";
                return Err(
                    RequestProblem::not_run(ProblemKind::NoBackendServer, detail)
                        .with_retry_after(self.state.limits.retry_after),
                );
            };
            let failure = match self.attempt(&server).await {
                Ok(answer) => {
                    server.record_success();
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            server.record_failure(self.state.plain_servers.now());
            self.note_failure(server.server(), failure);
            *may_have_run |= failure.may_have_run();
            excluded.push(server.server().clone());
            if !self.may_retry(failure, excluded.len()) {
                return Err(failure.into_problem(server.server()));
            }
        }
    }

    /// A request that was not sent may always be repeated; a sent one only on an idempotent route.
    fn may_retry(&self, failure: BackendFailure, attempts: usize) -> bool {
        let is_safe = failure == BackendFailure::NotSent || self.route.idempotent;
        is_safe
            && attempts < MAX_ATTEMPTS
            && !self.context.time_left().is_zero()
            && self.state.retries.try_retry()
    }

    async fn attempt(
        &mut self,
        server: &ChosenServer,
    ) -> std::result::Result<PlainAnswer, BackendFailure> {
        let call = self.backend_call(server);
        self.record(
            EventKind::RequestDispatched,
            format!("server {}", server.server()),
        );
        let sent = if self.route.idempotent {
            self.state.backends.send(call).await
        } else {
            self.state.backends.send_once(call).await
        };
        if sent.as_ref().err() != Some(&BackendFailure::NotSent)
            && let Some(charge) = &mut self.charge
        {
            charge.set_all_used();
        }
        let (parts, body) = sent?.into_parts();
        if !is_own_answer(&parts.headers, self.context.request_id) {
            return Err(BackendFailure::CrossedAnswer);
        }
        let body = read_whole(body, self.context.deadline).await?;
        Ok(PlainAnswer { parts, body })
    }

    fn backend_call(&self, server: &ChosenServer) -> BackendCall {
        let context = &self.context;
        let own_path = service_path(&context.path, &self.service);
        let path = match &context.query {
            Some(query) => format!("{own_path}?{query}"),
            None => own_path.to_owned(),
        };
        BackendCall {
            address: server.address().clone(),
            method: context.method.clone(),
            path,
            headers: request_headers(&context.headers, context.key.as_ref(), context.request_id),
            body: context.body.clone(),
            deadline: context.deadline,
        }
    }

    fn note_failure(&self, server: &str, failure: BackendFailure) {
        self.state.counters.backend_failure(failure);
        self.record(
            EventKind::RequestFailed,
            format!("server {server}, {failure:?}"),
        );
    }

    fn record(&self, kind: EventKind, detail: String) {
        let trace_id = Some(self.context.trace_id);
        self.state
            .events
            .record(kind, trace_id, self.context.subject(), detail);
    }
}

/// Path as the service knows it: the part after `/r/<service>`, under which callers reach it.
fn service_path<'a>(path: &'a str, service: &str) -> &'a str {
    let rest = path
        .strip_prefix("/r/")
        .and_then(|rest| rest.strip_prefix(service));
    match rest {
        Some("") => "/",
        Some(rest) if rest.starts_with('/') => rest,
        _ => path,
    }
}

fn stored_answer(answer: &PlainAnswer) -> StoredAnswer {
    let content_type = answer.parts.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    StoredAnswer {
        status: answer.parts.status.as_u16(),
        content_type: content_type.into(),
        body: answer.body.to_vec(),
    }
}
