//! Settles what a request claimed: idempotency keys, charges and tickets.
//!
//! A caller may leave at any point, which drops the request's future. The guards settle on drop, so that no
//! path can forget it.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::FinishRequest;
use zinniahinge_types::Name;
use zinniahinge_types::PeerAck;
use zinniahinge_types::RefundRequest;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::StoredAnswer;

use crate::owner_client::OwnerCall;
use crate::owner_client::OwnerClient;
use crate::request_context::ChargeGrant;
use crate::request_context::IdempotencyUse;

/// How long a settlement is tried. A takeover takes up to 10 s; after that tickets and charges lapse by themselves.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Frees a key whose request was not sent.
pub fn abandon_key(owners: &OwnerClient, claim: IdempotencyUse) {
    let owners = owners.clone();
    spawn_settlement(async move { finish_key(&owners, claim, None, false).await });
}

/// Frees an idempotency key when dropped, unless the request went on to be sent.
pub struct ClaimGuard {
    owners: OwnerClient,
    claim: Option<IdempotencyUse>,
}

impl ClaimGuard {
    /// Guards `claim`.
    pub fn new(owners: OwnerClient, claim: IdempotencyUse) -> Self {
        Self {
            owners,
            claim: Some(claim),
        }
    }

    /// Hands the claim to the code that sends the request and finishes the key.
    pub fn into_claim(mut self) -> Option<IdempotencyUse> {
        self.claim.take()
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            abandon_key(&self.owners, claim);
        }
    }
}

/// Records the result of a request that was sent under a key. Returns once the owner has it, so that an answer
/// reaches the caller only after a repeat would get the same answer.
pub async fn finish_key(
    owners: &OwnerClient,
    claim: IdempotencyUse,
    answer: Option<StoredAnswer>,
    ran: bool,
) {
    let IdempotencyUse {
        key,
        fingerprint,
        account,
        request_id,
    } = claim;
    let resource = ResourceKey::Idempotency {
        account: account.clone(),
        key: key.clone(),
    };
    let message = FinishRequest {
        account,
        key,
        fingerprint,
        request_id,
        answer,
        ran,
    };
    send(owners, &resource, "/peer/finish", &message).await;
}

async fn send<Req: Serialize>(owners: &OwnerClient, key: &ResourceKey, path: &str, message: &Req) {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let call = OwnerCall {
        key,
        path,
        message,
        deadline,
        long_poll: false,
    };
    let _ = owners
        .call(call, |ack: &PeerAck| *ack == PeerAck::NotOwner)
        .await;
}

// ----------------------------------------------------------------------------

/// Refunds the unused part of a charge when dropped.
pub struct ChargeGuard {
    owners: OwnerClient,
    grant: ChargeGrant,
    used: u64,
}

impl ChargeGuard {
    /// Guards `grant`; nothing is used yet.
    pub fn new(owners: OwnerClient, grant: ChargeGrant) -> Self {
        Self {
            owners,
            grant,
            used: 0,
        }
    }

    /// Notes how many tokens the backend server may have spent so far.
    pub fn set_used(&mut self, used: u64) {
        self.used = used.min(self.grant.tokens);
    }

    /// Notes that the whole charge may have been spent.
    pub fn set_all_used(&mut self) {
        self.used = self.grant.tokens;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        let ChargeGrant {
            service,
            account,
            grant_id,
            tokens,
            remaining: _,
            burst: _,
        } = self.grant.clone();
        let unused = tokens.saturating_sub(self.used);
        if unused == 0 {
            return;
        }
        let owners = self.owners.clone();
        spawn_settlement(async move {
            let key = ResourceKey::Account {
                service: service.clone(),
                account: account.clone(),
            };
            let message = RefundRequest {
                service,
                account,
                grant_id,
                unused,
            };
            send(&owners, &key, "/peer/refund", &message).await;
        });
    }
}

// ----------------------------------------------------------------------------

/// Returns a ticket when dropped.
pub struct TicketGuard {
    owners: OwnerClient,
    release: ReleaseRequest,
    /// The ticket.
    pub ticket: DispatchTicket,
}

impl TicketGuard {
    /// Guards `ticket`. Unless stated otherwise the request counts as cancelled.
    pub fn new(owners: OwnerClient, service: Name, model: Name, ticket: DispatchTicket) -> Self {
        let release = ReleaseRequest {
            service,
            model,
            ticket_id: ticket.ticket_id,
            outcome: ReleaseOutcome::Cancelled,
            tokens: 0,
            first_token: None,
        };
        Self {
            owners,
            release,
            ticket,
        }
    }

    /// Notes how the request ended.
    pub fn set_outcome(&mut self, outcome: ReleaseOutcome) {
        self.release.outcome = outcome;
    }

    /// Notes the time to the first token.
    pub fn set_first_token(&mut self, elapsed: Duration) {
        self.release.first_token = Some(elapsed);
    }

    /// Notes how many tokens were used.
    pub fn set_tokens(&mut self, tokens: u64) {
        self.release.tokens = tokens;
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let owners = self.owners.clone();
        let message = self.release.clone();
        spawn_settlement(async move {
            let key = ResourceKey::Model {
                service: message.service.clone(),
                model: message.model.clone(),
            };
            send(&owners, &key, "/peer/release", &message).await;
        });
    }
}

/// A guard may be dropped while the runtime stops; then there is nothing left to settle with.
fn spawn_settlement(settlement: impl Future<Output = ()> + Send + 'static) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(settlement);
    }
}
