//! Takes a request from HTTP through the filters to a backend server.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use zinniahinge_telemetry::TraceContext;
use zinniahinge_types::EventKind;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RequestId;

use crate::caller_key::CallerKey;
use crate::caller_key::check_query;
use crate::entry_state::EntryState;
use crate::filter_chain::FilterStep;
use crate::model_forward::ModelForward;
use crate::plain_forward::PlainForward;
use crate::problem::ProblemKind;
use crate::problem::RanState;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::ChargeGrant;
use crate::request_context::RequestContext;
use crate::request_context::RequestTarget;
use crate::settlement::ChargeGuard;
use crate::settlement::ClaimGuard;

/// Deadline until the deadline filter sets the real one.
const PROVISIONAL_DEADLINE: Duration = Duration::from_secs(60);

/// Answers one request.
pub async fn handle(state: Arc<EntryState>, request: Request) -> Response {
    let _in_flight = state.counters.request();
    let (parts, body) = request.into_parts();
    let trace = read_trace(&parts.headers);
    let mut context = match read_request(&state, parts, body, &trace).await {
        Ok(context) => context,
        Err(problem) => {
            state.counters.refused("limits", problem.kind);
            return problem.to_response();
        }
    };
    let result = process(&state, &mut context).await;
    let mut response = match result {
        Ok(response) => response,
        Err(problem) => {
            note_problem(&state, &context, &problem);
            problem.to_response()
        }
    };
    finish_headers(&mut response, &context, &trace);
    response
}

async fn process(state: &Arc<EntryState>, context: &mut RequestContext) -> Result<Response> {
    let verdict = state.chain.run(state, context).await;
    let charge = context.charge.clone();
    let guard = charge.map(|grant| ChargeGuard::new(state.owners.clone(), grant));
    match verdict {
        Ok(FilterStep::Continue) => forward(state, context, guard).await,
        Ok(FilterStep::Answer(response)) => Ok(response),
        Err(problem) => {
            drop(context.idempotency.take());
            Err(problem)
        }
    }
}

async fn forward(
    state: &Arc<EntryState>,
    context: &mut RequestContext,
    charge: Option<ChargeGuard>,
) -> Result<Response> {
    state.retries.record_request();
    let trace_id = Some(context.trace_id);
    let account = context.account.clone().unwrap_or_else(|| "open".into());
    state.events.record(
        EventKind::RequestAdmitted,
        trace_id,
        context.subject(),
        account,
    );
    let target = context.target.clone();
    let claim = context.idempotency.take().and_then(ClaimGuard::into_claim);
    let shared = Arc::new(context.detach());
    match target {
        Some(RequestTarget::Model {
            service,
            call,
            route: _,
        }) => {
            ModelForward {
                state: state.clone(),
                context: shared,
                service,
                call,
                charge,
            }
            .run()
            .await
        }
        Some(RequestTarget::Plain {
            service,
            route,
            group,
        }) => {
            let state = state.clone();
            let forward = PlainForward {
                state,
                context: shared,
                service,
                route,
                group,
                charge,
                claim,
            };
            forward.run().await
        }
        None => {
            let detail = "no route for this path";
            Err(RequestProblem::not_run(ProblemKind::UnknownRoute, detail))
        }
    }
}

// ----------------------------------------------------------------------------

async fn read_request(
    state: &EntryState,
    parts: Parts,
    body: Body,
    trace: &TraceContext,
) -> Result<RequestContext> {
    let arrived = Instant::now();
    check_headers(state, &parts.headers)?;
    let body = read_body(state, &parts.headers, body).await?;
    Ok(RequestContext {
        request_id: RequestId(rand::random()),
        trace_id: trace.trace_id,
        arrived,
        method: parts.method,
        path: parts.uri.path().into(),
        query: parts.uri.query().map(Into::into),
        headers: parts.headers,
        body,
        key: None,
        target: None,
        account: None,
        deadline: arrived + PROVISIONAL_DEADLINE,
        class: PriorityClass::Normal,
        idempotency: None,
        charge: None,
    })
}

fn read_trace(headers: &HeaderMap) -> TraceContext {
    let header = headers.get(TraceContext::HEADER);
    TraceContext::from_header(header.and_then(|value| value.to_str().ok()))
}

fn check_headers(state: &EntryState, headers: &HeaderMap) -> Result<()> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size <= state.limits.max_header_bytes {
        return Ok(());
    }
    let detail = format!(
        "the headers are over {} bytes",
        state.limits.max_header_bytes
    );
    Err(RequestProblem::not_run(
        ProblemKind::HeadersTooLarge,
        detail,
    ))
}

async fn read_body(state: &EntryState, headers: &HeaderMap, body: Body) -> Result<Bytes> {
    let limit = state.limits.max_body_bytes;
    let too_large = || {
        let detail = format!("the body is over {limit} bytes");
        RequestProblem::not_run(ProblemKind::BodyTooLarge, detail)
    };
    let announced = headers.get(http::header::CONTENT_LENGTH);
    let announced = announced.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|announced| announced > limit) {
        return Err(too_large());
    }
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout(state.limits.body_timeout, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => {
            let detail = "the body ended early";
            Err(RequestProblem::not_run(ProblemKind::InvalidBody, detail))
        }
        Err(_) => {
            let detail = format!("the body took over {:?}", state.limits.body_timeout);
            Err(RequestProblem::not_run(ProblemKind::BodyTooSlow, detail))
        }
    }
}

fn note_problem(state: &EntryState, context: &RequestContext, problem: &RequestProblem) {
    let kind = match problem.ran {
        RanState::No => EventKind::RequestRefused,
        RanState::Yes | RanState::Unknown => EventKind::RequestFailed,
    };
    let trace_id = Some(context.trace_id);
    state
        .events
        .record(kind, trace_id, context.subject(), problem.kind.name());
}

fn finish_headers(response: &mut Response, context: &RequestContext, trace: &TraceContext) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::try_from(context.request_id.to_string()) {
        headers.insert("x-request-id", value);
    }
    if let Ok(value) = HeaderValue::try_from(trace.to_string()) {
        headers.insert(TraceContext::HEADER, value);
    }
    if let Some(ChargeGrant {
        remaining, burst, ..
    }) = context.charge
    {
        headers.insert("x-ratelimit-limit-tokens", HeaderValue::from(burst));
        headers.insert("x-ratelimit-remaining-tokens", HeaderValue::from(remaining));
    }
}

// ----------------------------------------------------------------------------

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
    owned_by: Name,
}

/// Lists the models and adapters that the caller's account may use.
pub async fn list_models(state: Arc<EntryState>, request: Request) -> Response {
    let result = check_query(request.uri().query(), None)
        .and_then(|()| CallerKey::read(request.headers()))
        .and_then(|key| models_for(&state, key));
    match result {
        Ok(list) => {
            let body = serde_json::to_vec(&list).unwrap_or_default();
            let mut response = Response::new(Body::from(Bytes::from(body)));
            let content_type = HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, content_type);
            response
        }
        Err(problem) => problem.to_response(),
    }
}

fn models_for(state: &EntryState, key: Option<CallerKey>) -> Result<ModelList> {
    let Some(key) = key else {
        return Err(RequestProblem::not_run(
            ProblemKind::MissingKey,
            "this route needs a key",
        ));
    };
    let snapshot = state.snapshot.load();
    if !snapshot.knows_key(&key.digest) {
        let detail = "the key belongs to no client account";
        return Err(RequestProblem::not_run(ProblemKind::InvalidKey, detail));
    }
    let mut data = Vec::new();
    for (service, in_force) in &snapshot.services {
        let Some(account) = in_force.document.account_by_digest(&key.digest) else {
            continue;
        };
        let document = in_force.document.document();
        let models = document
            .models
            .iter()
            .map(|model| (model.name.clone(), None));
        let adapters = document.adapters.iter();
        let adapters = adapters.map(|adapter| (adapter.base.clone(), Some(adapter.name.clone())));
        for (model, adapter) in models.chain(adapters) {
            if account.may_use_model(&model, adapter.as_deref()) {
                let id = adapter.map_or(model.to_string(), |adapter| format!("{model}:{adapter}"));
                data.push(ModelItem {
                    id,
                    object: "model",
                    owned_by: service.clone(),
                });
            }
        }
    }
    Ok(ModelList {
        object: "list",
        data,
    })
}
