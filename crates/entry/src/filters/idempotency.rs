//! Claims the idempotency key of a request before it is sent.

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use volo_http::body::Body;
use volo_http::response::Response;
use zinniahinge_types::BeginReply;
use zinniahinge_types::BeginRequest;
use zinniahinge_types::Name;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::StoredAnswer;

use crate::entry_state::EntryState;
use crate::filter_chain::FilterStep;
use crate::filter_chain::FilterVerdict;
use crate::owner_client::OwnerCall;
use crate::problem::ProblemKind;
use crate::problem::RanState;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::IdempotencyUse;
use crate::request_context::RequestContext;
use crate::request_context::RequestTarget;
use crate::settlement::ClaimGuard;
use crate::settlement::abandon_key;

/// Header of the key.
const KEY_HEADER: &str = "idempotency-key";

/// Longest accepted key.
const MAX_KEY_BYTES: usize = 255;

/// Claims the key, or answers from its record.
pub(super) async fn apply(state: &EntryState, context: &mut RequestContext) -> FilterVerdict {
    if matches!(&context.target, Some(RequestTarget::Model { .. })) {
        // Generation is idempotent and nothing is booked by it, so a repeat is simply run again.
        return Ok(FilterStep::Continue);
    }
    let Some(key) = read_key(context)? else {
        return Ok(FilterStep::Continue);
    };
    let Some(account) = context.account.clone() else {
        let detail = "idempotency keys need a client account; this route is open to all";
        return Err(RequestProblem::not_run(
            ProblemKind::InvalidIdempotencyKey,
            detail,
        ));
    };
    let claim = IdempotencyUse {
        key,
        fingerprint: fingerprint(context),
        account,
        request_id: context.request_id,
    };
    let reply = begin(state, context, &claim).await;
    handle_reply(state, context, claim, reply)
}

async fn begin(
    state: &EntryState,
    context: &RequestContext,
    claim: &IdempotencyUse,
) -> crate::owner_client::Result<BeginReply> {
    let key = ResourceKey::Idempotency {
        account: claim.account.clone(),
        key: claim.key.clone(),
    };
    let message = BeginRequest {
        account: claim.account.clone(),
        key: claim.key.clone(),
        fingerprint: claim.fingerprint,
        request_id: claim.request_id,
    };
    let call = OwnerCall {
        key: &key,
        path: "/peer/begin",
        message: &message,
        deadline: context.deadline,
        long_poll: false,
    };
    state
        .owners
        .call(call, |reply| *reply == BeginReply::NotOwner)
        .await
}

fn handle_reply(
    state: &EntryState,
    context: &mut RequestContext,
    claim: IdempotencyUse,
    reply: crate::owner_client::Result<BeginReply>,
) -> FilterVerdict {
    match reply {
        Ok(BeginReply::Run) => {
            context.idempotency = Some(ClaimGuard::new(state.owners.clone(), claim));
            Ok(FilterStep::Continue)
        }
        Ok(BeginReply::Stored(answer)) => Ok(FilterStep::Answer(replay(answer))),
        Ok(BeginReply::InProgress) => {
            let detail = "an earlier request with this idempotency key has not finished";
            Err(
                RequestProblem::not_run(ProblemKind::IdempotencyInProgress, detail)
                    .with_ran(RanState::Unknown)
                    .with_retry_after(state.limits.retry_after),
            )
        }
        Ok(BeginReply::AnswerNotKept) => {
            let detail = "an earlier request with this idempotency key ran; its answer was too large to keep";
            Err(RequestProblem::not_run(ProblemKind::OutcomeUnknown, detail)
                .with_ran(RanState::Yes))
        }
        Ok(BeginReply::OutcomeUnknown) => {
            let detail = "an earlier request with this idempotency key may have run; its answer is not known";
            Err(RequestProblem::not_run(ProblemKind::OutcomeUnknown, detail)
                .with_ran(RanState::Unknown))
        }
        Ok(BeginReply::Mismatch) => {
            let detail = "this idempotency key was used for another request";
            Err(RequestProblem::not_run(
                ProblemKind::IdempotencyMismatch,
                detail,
            ))
        }
        Ok(BeginReply::Unavailable | BeginReply::NotOwner) | Err(_) => {
            abandon_key(&state.owners, claim);
            let detail = "the idempotency key cannot be recorded at present";
            Err(
                RequestProblem::not_run(ProblemKind::OwnerUnavailable, detail)
                    .with_retry_after(state.limits.retry_after),
            )
        }
    }
}

fn read_key(context: &RequestContext) -> Result<Option<Name>> {
    let mut values = context.headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|text| !text.is_empty());
    match text {
        Some(text) if text.len() <= MAX_KEY_BYTES && values.next().is_none() => {
            Ok(Some(text.into()))
        }
        _ => {
            let detail =
                "expected one Idempotency-Key header with 1 to 255 visible ASCII characters";
            Err(RequestProblem::not_run(
                ProblemKind::InvalidIdempotencyKey,
                detail,
            ))
        }
    }
}

fn fingerprint(context: &RequestContext) -> [u8; 32] {
    let mut hash = Sha256::new();
    let query = context.query.as_deref().unwrap_or_default();
    for part in [context.method.as_str(), &context.path, query] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.update(&context.body);
    hash.finalize().into()
}

fn replay(answer: StoredAnswer) -> Response {
    let StoredAnswer {
        status,
        content_type,
        body,
    } = answer;
    let mut response = Response::new(Body::from(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    response
}
