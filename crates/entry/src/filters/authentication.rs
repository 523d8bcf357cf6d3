//! Finds the client account that a request runs for.

use zinniahinge_document::ClientAccount;
use zinniahinge_document::RouteAccess;
use zinniahinge_types::Name;

use crate::entry_snapshot::EntrySnapshot;
use crate::entry_state::EntryState;
use crate::filter_chain::FilterStep;
use crate::filter_chain::FilterVerdict;
use crate::problem::ProblemKind;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::RequestContext;
use crate::request_context::RequestTarget;

/// Sets the account.
pub(super) fn apply(state: &EntryState, context: &mut RequestContext) -> FilterVerdict {
    context.account = check_account(state, context)?;
    Ok(FilterStep::Continue)
}

/// The account that the request may run for now; `None` on routes open to all. Called again after each wait,
/// because the key may have been withdrawn meanwhile.
pub fn check_account(state: &EntryState, context: &RequestContext) -> Result<Option<Name>> {
    let snapshot = state.snapshot.load();
    if is_open(context) {
        return Ok(None);
    }
    check_freshness(state)?;
    let account = find_account(&snapshot, context)?;
    check_grant(account, context)?;
    Ok(Some(account.name.clone()))
}

fn is_open(context: &RequestContext) -> bool {
    context
        .route()
        .is_some_and(|route| route.access == RouteAccess::Open)
}

/// A host that may have missed a withdrawal must not let keyed requests through.
fn check_freshness(state: &EntryState) -> Result<()> {
    let staleness = state.snapshot.staleness();
    if staleness.is_some_and(|staleness| staleness <= state.limits.max_staleness) {
        return Ok(());
    }
    let detail = "this host cannot tell at present whether keys were withdrawn; try another host";
    Err(
        RequestProblem::not_run(ProblemKind::StaleConfiguration, detail)
            .with_retry_after(state.limits.max_staleness),
    )
}

fn find_account<'a>(
    snapshot: &'a EntrySnapshot,
    context: &RequestContext,
) -> Result<&'a ClientAccount> {
    let Some(key) = &context.key else {
        return Err(RequestProblem::not_run(
            ProblemKind::MissingKey,
            "this route needs a key",
        ));
    };
    let service = context.service().map_or("", |service| service);
    if let Some(account) = snapshot.account(service, &key.digest) {
        return Ok(account);
    }
    if snapshot.knows_key(&key.digest) {
        let detail = "the client account has no access to this service";
        return Err(RequestProblem::not_run(ProblemKind::Forbidden, detail));
    }
    Err(RequestProblem::not_run(
        ProblemKind::InvalidKey,
        "the key belongs to no client account",
    ))
}

fn check_grant(account: &ClientAccount, context: &RequestContext) -> Result<()> {
    let route_allowed = context
        .route()
        .is_none_or(|route| account.may_use_route(&route.prefix));
    let target_allowed = match context.target.as_ref() {
        Some(RequestTarget::Model { call, .. }) => {
            account.may_use_model(&call.model, call.adapter.as_deref())
        }
        Some(RequestTarget::Plain { .. }) => true,
        None => false,
    };
    if route_allowed && target_allowed {
        return Ok(());
    }
    let detail = "the client account may not use this model or route";
    Err(RequestProblem::not_run(ProblemKind::Forbidden, detail))
}
