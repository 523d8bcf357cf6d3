//! Filters that a request passes before it is forwarded, in order: route, key, headers, body, rate.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;
use zinniahinge_platform::HeaderFault;
use zinniahinge_platform::caller_key;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::KeyDigest;
use zinniahinge_serving::RequestFacts;
use zinniahinge_serving::RouteRule;
use zinniahinge_serving::ServingConfig;

use crate::account_charge::charge;
use crate::answer::Refusal;
use crate::answer::RefusalKind;
use crate::answer::Result;
use crate::body_reader::BodyReader;
use crate::host_state::HostState;
use crate::request_context::RequestContext;

/// Pause that callers are told while this host can't tell whether keys were withdrawn. Its store is mostly back, or
/// the balancer sends them elsewhere, within a second or two.
const STALE_RETRY: Duration = Duration::from_millis(1000);

/// Pause that callers are told while no configuration is known.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// Runs all filters. `facts` is what the headers say.
pub(crate) async fn admit(
    state: &HostState,
    bodies: &BodyReader,
    request: Request<Incoming>,
    facts: Result<RequestFacts, HeaderFault>,
    arrived: Instant,
) -> Result<RequestContext> {
    let (head, body) = request.into_parts();
    check_framing(&head.headers)?;
    let (config, rule) = find_route(state, &head)?;
    let account = find_account(state, &config, &rule, &head.headers)?;
    let facts = facts.map_err(|fault| {
        slog::info!(state.logger, "bad headers"; "fault" => %fault);
        Refusal::not_run(RefusalKind::BadHeaders)
    })?;
    let (body, held) = bodies.read(body, &config.limits).await?;
    let service = rule.service(rand::random()).cloned();
    let service = service.ok_or(Refusal::not_run(RefusalKind::NoBackend))?;
    let patience = facts.patience.unwrap_or(rule.timeout);
    let context = RequestContext {
        arrived,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        _held: held,
        facts,
        service,
        account,
        deadline: arrived + patience.min(rule.timeout),
        config,
        rule,
    };
    charge_account(state, &context).await?;
    Ok(context)
}

/// A body may be framed in one way only. The HTTP library refuses contradictory lengths and unknown codings itself, and
/// ends a connection on which both a length and chunks were stated.
fn check_framing(headers: &HeaderMap) -> Result<()> {
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

fn find_route(state: &HostState, head: &Parts) -> Result<(Arc<ServingConfig>, Arc<RouteRule>)> {
    let table = state.table.load();
    let Some(config) = &table.config else {
        return Err(Refusal::not_run(RefusalKind::NoConfiguration).retry_after(UNKNOWN_RETRY));
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
        return Err(Refusal::not_run(RefusalKind::StaleConfiguration).retry_after(STALE_RETRY));
    }
    let key = caller_key(headers).ok_or(Refusal::not_run(RefusalKind::MissingKey))?;
    let digest = KeyDigest::of(key);
    let account = config.accounts.holder(&digest);
    let account = account.ok_or(Refusal::not_run(RefusalKind::UnknownKey))?;
    Ok(Some((account.clone(), digest)))
}

async fn charge_account(state: &HostState, context: &RequestContext) -> Result<()> {
    let Some((account, _)) = &context.account else {
        return Ok(());
    };
    let charged = charge(state, account, context.cost()).await;
    charged.map_err(|refusal| {
        slog::info!(state.logger, "rate exceeded"; "id" => &*context.facts.attempt_id,
            "account" => &*account.name, "cost" => context.cost(),
            "missing" => refusal.missing as i64, "blind" => refusal.is_blind);
        Refusal::not_run(RefusalKind::RateLimited).retry_after(refusal.again_in)
    })
}

/// Checks again what may have changed while a request waited: its key, and whether the host would know.
pub(crate) fn check_key(state: &HostState, context: &RequestContext) -> Result<()> {
    let Some((_, digest)) = &context.account else {
        return Ok(());
    };
    if !state.has_fresh_keys() {
        return Err(Refusal::not_run(RefusalKind::StaleConfiguration).retry_after(STALE_RETRY));
    }
    let table = state.table.load();
    let config = table.config.as_ref().unwrap_or(&context.config);
    match config.accounts.holder(digest) {
        Some(_) => Ok(()),
        None => Err(Refusal::not_run(RefusalKind::UnknownKey)),
    }
}
