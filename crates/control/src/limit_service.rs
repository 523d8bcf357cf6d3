//! Handles charges and refunds of client accounts.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use zinniahinge_limits::BucketLimits;
use zinniahinge_types::ChargeReply;
use zinniahinge_types::ChargeRequest;
use zinniahinge_types::PeerAck;
use zinniahinge_types::RefundRequest;
use zinniahinge_types::ResourceKey;

use crate::account_table::AccountKey;
use crate::account_table::ChargeTicket;
use crate::in_force::InForceCell;
use crate::in_force::InForceState;
use crate::shard_table::ShardTable;
use crate::work_signal::WorkSignal;

/// How often waiting charges and requests are looked at while there are any.
const BUSY_INTERVAL: Duration = Duration::from_millis(5);

/// How often they are looked at otherwise; tickets lapse on time enough.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// `Retry-After` of a charge for an account that is not in force here.
const UNKNOWN_ACCOUNT_RETRY: Duration = Duration::from_secs(1);

/// Charges and refunds.
#[derive(Clone)]
pub struct LimitService {
    /// Shards.
    pub shards: Arc<ShardTable>,
    /// Documents, which state the limits.
    pub in_force: Arc<InForceCell>,
    /// Raised when a charge or request starts to wait.
    pub waiting: Arc<WorkSignal>,
}

impl LimitService {
    /// Answers a charge, after a wait if the bucket is short of tokens.
    pub async fn charge(&self, request: ChargeRequest) -> ChargeReply {
        let ChargeRequest {
            service, account, ..
        } = &request;
        let key = AccountKey {
            service: service.clone(),
            account: account.clone(),
        };
        let Some(limits) = account_limits(&self.in_force.load(), &key) else {
            return ChargeReply::Refused {
                retry_after: UNKNOWN_ACCOUNT_RETRY,
                remaining: 0,
                burst: request.tokens,
            };
        };
        let resource = ResourceKey::Account {
            service: key.service,
            account: key.account,
        };
        let ticket = self.shards.with(&resource, |state, owner| {
            state.accounts.submit(limits, &request, owner.now)
        });
        match ticket {
            None => ChargeReply::NotOwner,
            Some(ChargeTicket::Decided(reply)) => reply,
            // The sender is dropped when the shard leaves this process.
            Some(ChargeTicket::Waiting(answer)) => {
                self.waiting.raise();
                answer.await.unwrap_or(ChargeReply::NotOwner)
            }
        }
    }

    /// Settles a charge.
    pub fn refund(&self, request: &RefundRequest) -> PeerAck {
        let RefundRequest {
            service, account, ..
        } = request;
        let resource = ResourceKey::Account {
            service: service.clone(),
            account: account.clone(),
        };
        let known = self.shards.with(&resource, |state, owner| {
            state.accounts.refund(request, owner.now)
        });
        match known {
            None => PeerAck::NotOwner,
            Some(true) => PeerAck::Accepted,
            Some(false) => PeerAck::Stale,
        }
    }

    /// Answers waiting charges until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        loop {
            let mut waits = false;
            self.shards.for_each(|state, owner| {
                waits |= state.accounts.poll(owner.now);
                waits |= state.models.poll(owner.now);
            });
            let pause = self.waiting.pause(waits, BUSY_INTERVAL, IDLE_INTERVAL);
            if token.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }
}

/// Rate and burst of an account in the document in force.
pub fn account_limits(in_force: &InForceState, key: &AccountKey) -> Option<BucketLimits> {
    let account = in_force.document(&key.service)?.account(&key.account)?;
    Some(BucketLimits::new(account.tokens_per_second, account.burst))
}
