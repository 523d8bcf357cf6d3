//! Checks that a request passes before it is forwarded, in order: body framing, route, key, headers, body, rate.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;
use zinniahinge_platform::HeaderError;
use zinniahinge_platform::caller_key;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::KeyDigest;
use zinniahinge_serving::RequestFacts;
use zinniahinge_serving::RouteRule;
use zinniahinge_serving::ServingConfig;

use crate::account_charge::charge;
use crate::body_reader::BodyReader;
use crate::caller_response::Refusal;
use crate::caller_response::RefusalKind;
use crate::caller_response::Result;
use crate::host_state::HostState;
use crate::part_filter::check_parts;
use crate::request_context::RequestContext;
use crate::request_wait::stopping_refusal;

/// Delay after which callers are told to retry while this host can't tell whether keys were withdrawn. Mostly the store
/// is back within a second or two, or the load balancer sends the callers to other hosts.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Delay after which callers are told to retry while this host has no configuration.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Runs all checks and charges the client account; the error is the refusal that the caller gets.
///
/// `facts` is the result of reading the request's headers; a fault is reported only after the route and the key are
/// checked.
pub(crate) async fn admit(
    state: &HostState,
    bodies: &BodyReader,
    request: Request<Incoming>,
    facts: Result<RequestFacts, HeaderError>,
    arrived: Instant,
) -> Result<RequestContext> {
    let (head, body) = request.into_parts();
    check_body_framing(&head.headers)?;
    let (config, rule) = find_route(state, &head)?;
    let account = find_account(state, &config, &rule, &head.headers)?;
    let facts = facts.map_err(|fault| {
        slog::info!(state.logger, "request headers rejected"; "fault" => %fault);
        Refusal::not_run(RefusalKind::BadHeaders)
    })?;
    check_parts(state, &facts)?;
    let (body, reservation) = bodies.read(body, &config.limits).await?;
    if state.stop.refusing.is_cancelled() {
        return Err(stopping_refusal());
    }
    let service = rule.service(rand::random()).cloned();
    let service = service.ok_or(Refusal::not_run(RefusalKind::NoBackend))?;
    let caller_timeout = facts.caller_timeout.unwrap_or(rule.timeout);
    let context = RequestContext {
        arrived,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        _reservation: reservation,
        facts,
        service,
        account,
        deadline: arrived + caller_timeout.min(rule.timeout),
        config,
        rule,
    };
    charge_account(state, &context).await?;
    Ok(context)
}

/// Refuses requests whose body is framed by more than one header, which servers could read differently.
///
/// The HTTP library itself refuses contradictory lengths and unknown codings, and closes a connection on which a
/// request stated both a length and chunks.
fn check_body_framing(headers: &HeaderMap) -> Result<()> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_plain = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    let has_both = headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH);
    if is_plain && !has_both {
        Ok(())
    } else {
        Err(Refusal::not_run(RefusalKind::BadHeaders))
    }
}

/// Finds the route by the host name without its port, and by the path; returns it with the configuration.
fn find_route(state: &HostState, head: &Parts) -> Result<(Arc<ServingConfig>, Arc<RouteRule>)> {
    let table = state.table.load();
    let Some(config) = &table.config else {
        return Err(
            Refusal::not_run(RefusalKind::NoConfiguration).retry_after(NO_CONFIG_RETRY_AFTER)
        );
    };
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let host = match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().ok(),
        _ => None,
    };
    let host = host.ok_or(Refusal::not_run(RefusalKind::BadHeaders))?;
    let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
    let rule = config.routes.find(&name, head.uri.path());
    let rule = rule.ok_or(Refusal::not_run(RefusalKind::UnknownRoute))?;
    Ok((config.clone(), rule.clone()))
}

/// Finds the client account of the request's key; `None` on open routes and in a fleet without accounts.
fn find_account(
    state: &HostState,
    config: &ServingConfig,
    rule: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<(Arc<AccountSpec>, KeyDigest)>> {
    if rule.is_open || config.accounts.is_empty() {
        return Ok(None);
    }
    if !state.has_fresh_keys() {
        return Err(
            Refusal::not_run(RefusalKind::StaleConfiguration).retry_after(STALE_CONFIG_RETRY_AFTER)
        );
    }
    let key = caller_key(headers).ok_or(Refusal::not_run(RefusalKind::MissingKey))?;
    let digest = KeyDigest::of(key);
    let account = config.accounts.find_by_key(&digest);
    let account = account.ok_or(Refusal::not_run(RefusalKind::UnknownKey))?;
    Ok(Some((account.clone(), digest)))
}

/// Charges the request's cost to its client account, if it has one.
async fn charge_account(state: &HostState, context: &RequestContext) -> Result<()> {
    let Some((account, _)) = &context.account else {
        return Ok(());
    };
    let charged = charge(state, account, context.cost()).await;
    charged.map_err(|refusal| {
        slog::info!(state.logger, "request refused: client account exceeds its rate";
            "id" => &*context.facts.attempt_id, "account" => &*account.name, "cost" => context.cost(),
            "missing" => refusal.missing as i64, "blind" => refusal.is_local_share);
        Refusal::not_run(RefusalKind::RateLimited).retry_after(refusal.again_in)
    })
}

/// Checks again after a wait that the request's key is valid, and that this host would know if it were withdrawn.
pub(crate) fn recheck_key(state: &HostState, context: &RequestContext) -> Result<()> {
    let Some((_, digest)) = &context.account else {
        return Ok(());
    };
    if !state.has_fresh_keys() {
        return Err(
            Refusal::not_run(RefusalKind::StaleConfiguration).retry_after(STALE_CONFIG_RETRY_AFTER)
        );
    }
    let table = state.table.load();
    let config = table.config.as_ref().unwrap_or(&context.config);
    match config.accounts.find_by_key(digest) {
        Some(_) => Ok(()),
        None => Err(Refusal::not_run(RefusalKind::UnknownKey)),
    }
}
