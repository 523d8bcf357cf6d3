//! Takes the tokens of a model request from the client account's bucket.

use zinniahinge_types::ChargeReply;
use zinniahinge_types::ChargeRequest;
use zinniahinge_types::GrantId;
use zinniahinge_types::Name;
use zinniahinge_types::ResourceKey;

use crate::entry_state::EntryState;
use crate::filter_chain::FilterStep;
use crate::filter_chain::FilterVerdict;
use crate::filters::check_account;
use crate::key_watch::key_withdrawn;
use crate::owner_client::OwnerCall;
use crate::problem::ProblemKind;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::ChargeGrant;
use crate::request_context::RequestContext;
use crate::request_context::RequestTarget;

/// Plain requests cost one token each, so that an account's rate also bounds them.
const PLAIN_REQUEST_TOKENS: u64 = 1;

/// Charges the account, and checks the key again because the charge may have waited.
pub(super) async fn apply(state: &EntryState, context: &mut RequestContext) -> FilterVerdict {
    let Some(account) = context.account.clone() else {
        return Ok(FilterStep::Continue);
    };
    let tokens = charge_tokens(state, context)?;
    let grant = tokio::select! {
        grant = charge(state, context, &account, tokens) => grant?,
        problem = key_withdrawn(state, context) => return Err(problem),
    };
    context.charge = Some(grant);
    check_account(state, context)?;
    Ok(FilterStep::Continue)
}

/// Prompt plus largest output.
fn charge_tokens(state: &EntryState, context: &RequestContext) -> Result<u64> {
    let Some(RequestTarget::Model { service, call, .. }) = &context.target else {
        return Ok(PLAIN_REQUEST_TOKENS);
    };
    let snapshot = state.snapshot.load();
    let in_force = snapshot.services.get(service);
    let model = in_force.and_then(|in_force| in_force.document.model(&call.model));
    let Some(model) = model else {
        let detail = "no service offers this model";
        return Err(RequestProblem::not_run(ProblemKind::UnknownModel, detail));
    };
    if call.prompt_tokens > model.max_prompt_tokens {
        let detail = format!(
            "the prompt is over the model's {} tokens",
            model.max_prompt_tokens
        );
        return Err(RequestProblem::not_run(ProblemKind::InvalidBody, detail));
    }
    let output = call.max_tokens.unwrap_or(model.max_output_tokens);
    if output > model.max_output_tokens {
        let detail = format!("max_tokens is over the model's {}", model.max_output_tokens);
        return Err(RequestProblem::not_run(ProblemKind::InvalidBody, detail));
    }
    Ok(call.prompt_tokens + output)
}

async fn charge(
    state: &EntryState,
    context: &RequestContext,
    account: &Name,
    tokens: u64,
) -> Result<ChargeGrant> {
    let service = context.service().cloned().unwrap_or_default();
    let key = ResourceKey::Account {
        service: service.clone(),
        account: account.clone(),
    };
    let grant_id = GrantId(context.request_id.0);
    let message = ChargeRequest {
        service,
        account: account.clone(),
        grant_id,
        tokens,
        max_wait: context.time_left().min(state.limits.max_charge_wait),
    };
    let call = OwnerCall {
        key: &key,
        path: "/peer/charge",
        message: &message,
        deadline: context.deadline,
        long_poll: true,
    };
    match state
        .owners
        .call(call, |reply| *reply == ChargeReply::NotOwner)
        .await
    {
        Ok(ChargeReply::Granted { remaining, burst }) => Ok(ChargeGrant {
            service: message.service.clone(),
            account: account.clone(),
            grant_id,
            tokens,
            remaining,
            burst,
        }),
        Ok(ChargeReply::Refused {
            retry_after, burst, ..
        }) if tokens <= burst => {
            let detail = "the client account used up its token rate";
            Err(RequestProblem::not_run(ProblemKind::RateLimited, detail)
                .with_retry_after(retry_after))
        }
        Ok(ChargeReply::Refused { burst, .. }) => {
            let detail =
                format!("the request needs {tokens} tokens, the account's burst is {burst}");
            Err(RequestProblem::not_run(ProblemKind::ChargeTooLarge, detail))
        }
        Ok(ChargeReply::NotOwner) | Err(_) => {
            let detail = "the client account's limiter could not be reached before the deadline";
            Err(
                RequestProblem::not_run(ProblemKind::OwnerUnavailable, detail)
                    .with_retry_after(state.limits.retry_after),
            )
        }
    }
}
