//! Finds the service and route of a request.

use zinniahinge_document::RouteAccess;
use zinniahinge_document::RouteTarget;
use zinniahinge_document::ServiceKind;

use crate::caller_key::CallerKey;
use crate::caller_key::check_path;
use crate::caller_key::check_query;
use crate::chat_call::ChatCall;
use crate::entry_snapshot::EntrySnapshot;
use crate::entry_state::EntryState;
use crate::filter_chain::FilterStep;
use crate::filter_chain::FilterVerdict;
use crate::problem::ProblemKind;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::CHAT_PATH;
use crate::request_context::RequestContext;
use crate::request_context::RequestTarget;

/// Sets the key and the target.
pub(super) fn apply(state: &EntryState, context: &mut RequestContext) -> FilterVerdict {
    let snapshot = state.snapshot.load();
    context.key = CallerKey::read(&context.headers)?;
    check_path(&context.path, context.key.as_ref())?;
    check_query(context.query.as_deref(), context.key.as_ref())?;
    let target = if *context.path == *CHAT_PATH {
        find_model(&snapshot, context)?
    } else {
        find_plain(&snapshot, context)?
    };
    context.target = Some(target);
    Ok(FilterStep::Continue)
}

fn find_plain(snapshot: &EntrySnapshot, context: &RequestContext) -> Result<RequestTarget> {
    let method = context.method.as_str();
    for (service, in_force) in &snapshot.services {
        let Some(route) = in_force.document.route(method, &context.path) else {
            continue;
        };
        if let RouteTarget::Group(group) = &route.target {
            return Ok(RequestTarget::Plain {
                service: service.clone(),
                route: route.clone(),
                group: group.clone(),
            });
        }
    }
    let detail = format!("no route for {method} on this path");
    Err(RequestProblem::not_run(ProblemKind::UnknownRoute, detail))
}

/// A model may exist in several services; the service that knows the caller's key is meant.
fn find_model(snapshot: &EntrySnapshot, context: &RequestContext) -> Result<RequestTarget> {
    if context.method != http::Method::POST {
        let detail = "chat completions are requested with POST";
        return Err(RequestProblem::not_run(ProblemKind::UnknownRoute, detail));
    }
    // Without a known key the caller learns nothing about bodies or models, unless a route is open to all.
    if !has_open_model_route(snapshot) {
        require_known_key(snapshot, context)?;
    }
    let call = ChatCall::parse(&context.body)?;
    let mut found = None;
    for (service, in_force) in &snapshot.services {
        let document = &in_force.document;
        let has_adapter = |adapter: &str| document.adapter(&call.model, adapter).is_some();
        if document.model(&call.model).is_none() || !call.adapter.as_deref().is_none_or(has_adapter)
        {
            continue;
        }
        let knows_key = context
            .key
            .as_ref()
            .is_some_and(|key| document.account_by_digest(&key.digest).is_some());
        if knows_key || found.is_none() {
            let route = document.route("POST", CHAT_PATH).cloned();
            found = Some(RequestTarget::Model {
                service: service.clone(),
                call: call.clone(),
                route,
            });
        }
        if knows_key {
            break;
        }
    }
    found.ok_or_else(|| {
        let detail = "no service offers this model or adapter";
        RequestProblem::not_run(ProblemKind::UnknownModel, detail)
    })
}

fn has_open_model_route(snapshot: &EntrySnapshot) -> bool {
    let mut services = snapshot.services.values();
    services.any(|service| {
        service.document.document().kind == ServiceKind::Models
            && service
                .document
                .route("POST", CHAT_PATH)
                .is_some_and(|route| route.access == RouteAccess::Open)
    })
}

fn require_known_key(snapshot: &EntrySnapshot, context: &RequestContext) -> Result<()> {
    let Some(key) = &context.key else {
        return Err(RequestProblem::not_run(
            ProblemKind::MissingKey,
            "this route needs a key",
        ));
    };
    if snapshot.knows_key(&key.digest) {
        return Ok(());
    }
    Err(RequestProblem::not_run(
        ProblemKind::InvalidKey,
        "the key belongs to no client account",
    ))
}
