//! Token buckets of one shard.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use zinniahinge_limits::BucketLimits;
use zinniahinge_limits::BucketQueue;
use zinniahinge_limits::BucketState;
use zinniahinge_limits::ChargeDecision;
use zinniahinge_limits::SubmitDecision;
use zinniahinge_limits::TokenBucket;
use zinniahinge_types::ChargeReply;
use zinniahinge_types::ChargeRequest;
use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::RefundRequest;

/// Charges that may wait for one bucket. At 33 ms a token stream a queue of this length would wait for minutes.
const MAX_WAITING: usize = 1024;

/// Client account of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountKey {
    /// Service.
    pub service: Name,
    /// Client account.
    pub account: Name,
}

/// Bucket on its way to the next owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AccountState {
    /// Account.
    pub key: AccountKey,
    /// Bucket.
    pub bucket: BucketState,
}

/// Answer to a charge, now or later.
pub enum ChargeTicket {
    /// The charge is decided.
    Decided(ChargeReply),
    /// The receiver gets the answer; it is dropped if the shard leaves this process.
    Waiting(oneshot::Receiver<ChargeReply>),
}

struct AccountCell {
    queue: BucketQueue,
    waiters: HashMap<GrantId, oneshot::Sender<ChargeReply>>,
}

/// Buckets by account.
pub struct AccountTable {
    accounts: BTreeMap<AccountKey, AccountCell>,
    /// After an unplanned takeover nobody knows what the former owner granted, so buckets start empty.
    starts_empty: bool,
}

impl AccountTable {
    /// No buckets yet.
    pub fn new(starts_empty: bool) -> Self {
        Self {
            accounts: BTreeMap::new(),
            starts_empty,
        }
    }

    /// Takes a charge in under the limits in force.
    pub fn submit(
        &mut self,
        limits: BucketLimits,
        request: &ChargeRequest,
        now: MonotonicTime,
    ) -> ChargeTicket {
        let key = AccountKey {
            service: request.service.clone(),
            account: request.account.clone(),
        };
        let starts_empty = self.starts_empty;
        let cell = self.accounts.entry(key).or_insert_with(|| {
            let bucket = if starts_empty {
                TokenBucket::empty(limits, now)
            } else {
                TokenBucket::new(limits, now)
            };
            AccountCell::new(bucket)
        });
        cell.set_limits(limits, now);
        cell.submit(request, now)
    }

    /// Settles a charge. Returns false if the account has no bucket here.
    pub fn refund(&mut self, request: &RefundRequest, now: MonotonicTime) -> bool {
        let RefundRequest {
            service,
            account,
            grant_id,
            unused,
        } = request;
        let key = AccountKey {
            service: service.clone(),
            account: account.clone(),
        };
        let Some(cell) = self.accounts.get_mut(&key) else {
            return false;
        };
        cell.queue.refund(*grant_id, *unused, now);
        cell.poll(now);
        true
    }

    /// Applies the limits of a new document.
    pub fn set_limits(
        &mut self,
        limits: impl Fn(&AccountKey) -> Option<BucketLimits>,
        now: MonotonicTime,
    ) {
        for (key, cell) in &mut self.accounts {
            if let Some(limits) = limits(key) {
                cell.set_limits(limits, now);
            }
        }
    }

    /// Answers charges whose time has come. Returns true if any still waits.
    pub fn poll(&mut self, now: MonotonicTime) -> bool {
        let mut waits = false;
        for cell in self
            .accounts
            .values_mut()
            .filter(|cell| !cell.queue.is_empty())
        {
            cell.poll(now);
            waits |= !cell.queue.is_empty();
        }
        waits
    }

    /// State for the next owner. Waiting charges are asked again there.
    pub fn export(self, now: MonotonicTime) -> Vec<AccountState> {
        let accounts = self.accounts.into_iter();
        accounts
            .map(|(key, cell)| {
                let (mut bucket, _waiting) = cell.queue.into_parts();
                AccountState {
                    key,
                    bucket: bucket.export(now),
                }
            })
            .collect()
    }

    /// Resumes from the state of the previous owner.
    pub fn import(states: Vec<AccountState>, starts_empty: bool, now: MonotonicTime) -> Self {
        let accounts = states.into_iter().map(|AccountState { key, bucket }| {
            (key, AccountCell::new(TokenBucket::import(bucket, now)))
        });
        Self {
            accounts: accounts.collect(),
            starts_empty,
        }
    }

    /// True if buckets that are not in the state start empty.
    pub fn starts_empty(&self) -> bool {
        self.starts_empty
    }
}

impl AccountCell {
    fn new(bucket: TokenBucket) -> Self {
        Self {
            queue: BucketQueue::new(bucket, MAX_WAITING),
            waiters: HashMap::new(),
        }
    }

    fn set_limits(&mut self, limits: BucketLimits, now: MonotonicTime) {
        if self.queue.bucket().limits() != limits {
            self.queue.bucket().set_limits(limits, now);
        }
    }

    fn submit(&mut self, request: &ChargeRequest, now: MonotonicTime) -> ChargeTicket {
        let ChargeRequest {
            grant_id,
            tokens,
            max_wait,
            ..
        } = request;
        match self.queue.submit(*grant_id, *tokens, *max_wait, now) {
            SubmitDecision::Decided(decision) => ChargeTicket::Decided(self.reply(decision)),
            SubmitDecision::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(*grant_id, sender);
                ChargeTicket::Waiting(receiver)
            }
        }
    }

    fn poll(&mut self, now: MonotonicTime) {
        let outcomes = self.queue.poll(now);
        for outcome in outcomes {
            let reply = self.reply(outcome.decision);
            let waiter = self.waiters.remove(&outcome.grant_id);
            let delivered = waiter.is_some_and(|waiter| waiter.send(reply.clone()).is_ok());
            // Nobody saw the grant, so none of its tokens can be spent.
            if !delivered && matches!(reply, ChargeReply::Granted { .. }) {
                self.queue.refund(outcome.grant_id, u64::MAX, now);
            }
        }
    }

    fn reply(&mut self, decision: ChargeDecision) -> ChargeReply {
        let burst = self.queue.bucket().limits().burst();
        match decision {
            ChargeDecision::Granted { remaining } => ChargeReply::Granted { remaining, burst },
            ChargeDecision::Wait {
                ready_in,
                remaining,
            } => ChargeReply::Refused {
                retry_after: ready_in,
                remaining,
                burst,
            },
            ChargeDecision::TooLarge | ChargeDecision::IdReused => ChargeReply::Refused {
                retry_after: Duration::from_secs(1),
                remaining: 0,
                burst,
            },
        }
    }
}
