use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

use crate::ChargeDecision;
use crate::TokenBucket;

/// Answer to the submission of a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitDecision {
    /// The charge is decided.
    Decided(ChargeDecision),
    /// The charge waits; a later [`BucketQueue::poll`] decides it.
    Queued,
}

/// Decision on a charge that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChargeOutcome {
    /// Charge that is decided.
    pub grant_id: GrantId,
    /// `Wait` here means that the charge's maximum wait has passed.
    pub decision: ChargeDecision,
}

/// Lets charges wait for a bucket, first come first served, each within its maximum wait.
///
/// A charge never overtakes an earlier one, so small charges cannot starve a large one.
///
/// A charge is refused early only if it is hopeless: not even the refund of every unsettled grant
/// would cover it within its maximum wait. The wait that the queue's length suggests is not used,
/// because most charges are refunded in part and it would refuse accounts that are within their
/// rate.
#[derive(Clone, Debug)]
pub struct BucketQueue {
    bucket: TokenBucket,
    /// By arrival number.
    waiting: BTreeMap<u64, WaitingCharge>,
    arrivals: HashMap<GrantId, u64>,
    deadlines: BTreeSet<(MonotonicTime, u64)>,
    next_arrival: u64,
    max_waiting: usize,
}

#[derive(Clone, Copy, Debug)]
struct WaitingCharge {
    grant_id: GrantId,
    tokens: u64,
    deadline: MonotonicTime,
}

impl BucketQueue {
    /// A queue of at most `max_waiting` charges in front of `bucket`.
    pub fn new(bucket: TokenBucket, max_waiting: usize) -> Self {
        Self {
            bucket,
            waiting: BTreeMap::new(),
            arrivals: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_arrival: 0,
            max_waiting,
        }
    }

    /// The bucket. Poll the queue after changing its limits.
    pub fn bucket(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }

    /// Number of waiting charges.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if no charge waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    // ----------------------------------------------------------------------------------------

    /// Charges now if nothing waits and the bucket covers it, otherwise queues the charge.
    ///
    /// A repeat of a waiting id keeps its place and gets the later of both deadlines.
    pub fn submit(
        &mut self,
        grant_id: GrantId,
        tokens: u64,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> SubmitDecision {
        if let Some(arrival) = self.arrivals.get(&grant_id).copied() {
            return self.extend(arrival, tokens, now + max_wait);
        }
        if let Some(decision) = self.bucket.repeated_charge(grant_id, tokens) {
            return SubmitDecision::Decided(decision);
        }
        let refusal = if self.waiting.is_empty() {
            match self.bucket.charge(grant_id, tokens, now) {
                refusal @ ChargeDecision::Wait { .. } => refusal,
                decision => return SubmitDecision::Decided(decision),
            }
        } else {
            self.refusal(tokens, now)
        };
        if refusal == ChargeDecision::TooLarge || self.is_hopeless(tokens, max_wait, now) {
            return SubmitDecision::Decided(refusal);
        }
        if self.waiting.len() >= self.max_waiting {
            return SubmitDecision::Decided(refusal);
        }
        self.enqueue(WaitingCharge {
            grant_id,
            tokens,
            deadline: now + max_wait,
        });
        SubmitDecision::Queued
    }

    /// Decides the charges whose time has come: grants in order of arrival, refusals at the end of
    /// the maximum wait.
    pub fn poll(&mut self, now: MonotonicTime) -> Vec<ChargeOutcome> {
        let mut outcomes = Vec::new();
        self.serve(now, &mut outcomes);
        let mut expired = false;
        while let Some(&(deadline, arrival)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let Some(charge) = self.take(arrival) else {
                break;
            };
            expired = true;
            let decision = self.refusal(charge.tokens, now);
            outcomes.push(ChargeOutcome {
                grant_id: charge.grant_id,
                decision,
            });
        }
        if expired {
            // The head may have expired and the next charge may be smaller.
            self.serve(now, &mut outcomes);
        }
        outcomes
    }

    /// Time until [`Self::poll`] has something to decide, if no refund or charge comes before.
    pub fn next_wake(&mut self, now: MonotonicTime) -> Option<Duration> {
        let head = self.waiting.values().next().copied()?;
        let (deadline, _) = self.deadlines.first()?;
        let deadline_in = deadline.since(now);
        let ready_in = match self.ready_in(head.tokens, now) {
            Some(ready_in) => ready_in,
            None => Duration::ZERO,
        };
        Some(deadline_in.min(ready_in))
    }

    /// Settles a grant, or takes a waiting charge out of the queue. Poll the queue afterwards.
    pub fn refund(&mut self, grant_id: GrantId, unused: u64, now: MonotonicTime) -> u64 {
        self.cancel(grant_id);
        self.bucket.refund(grant_id, unused, now)
    }

    /// Takes a waiting charge out of the queue, for example because its caller left. Returns false
    /// if it does not wait.
    pub fn cancel(&mut self, grant_id: GrantId) -> bool {
        match self.arrivals.get(&grant_id).copied() {
            Some(arrival) => self.take(arrival).is_some(),
            None => false,
        }
    }

    /// Takes the queue apart for a handover: the bucket, and the waiting ids in order of arrival,
    /// whose senders must ask the next owner.
    pub fn into_parts(self) -> (TokenBucket, Vec<GrantId>) {
        let Self {
            bucket, waiting, ..
        } = self;
        let ids = waiting.into_values().map(|charge| charge.grant_id);
        (bucket, ids.collect())
    }

    // ----------------------------------------------------------------------------------------

    fn extend(&mut self, arrival: u64, tokens: u64, deadline: MonotonicTime) -> SubmitDecision {
        let Some(charge) = self.waiting.get_mut(&arrival) else {
            return SubmitDecision::Queued;
        };
        if tokens > charge.tokens {
            return SubmitDecision::Decided(ChargeDecision::IdReused);
        }
        if deadline > charge.deadline {
            self.deadlines.remove(&(charge.deadline, arrival));
            charge.deadline = deadline;
            self.deadlines.insert((deadline, arrival));
        }
        SubmitDecision::Queued
    }

    fn enqueue(&mut self, charge: WaitingCharge) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.arrivals.insert(charge.grant_id, arrival);
        self.deadlines.insert((charge.deadline, arrival));
        self.waiting.insert(arrival, charge);
    }

    fn take(&mut self, arrival: u64) -> Option<WaitingCharge> {
        let charge = self.waiting.remove(&arrival)?;
        self.arrivals.remove(&charge.grant_id);
        self.deadlines.remove(&(charge.deadline, arrival));
        Some(charge)
    }

    /// Serves from the head until one charge has to wait.
    fn serve(&mut self, now: MonotonicTime, outcomes: &mut Vec<ChargeOutcome>) {
        while let Some((&arrival, charge)) = self.waiting.first_key_value() {
            let charge = *charge;
            let decision = self.bucket.charge(charge.grant_id, charge.tokens, now);
            if matches!(decision, ChargeDecision::Wait { .. }) {
                return;
            }
            self.take(arrival);
            outcomes.push(ChargeOutcome {
                grant_id: charge.grant_id,
                decision,
            });
        }
    }

    /// Time until the bucket covers `tokens`; `None` if it never does.
    fn ready_in(&mut self, tokens: u64, now: MonotonicTime) -> Option<Duration> {
        self.bucket.time_to_cover(tokens, now)
    }

    fn refusal(&mut self, tokens: u64, now: MonotonicTime) -> ChargeDecision {
        match self.ready_in(tokens, now) {
            None => ChargeDecision::TooLarge,
            Some(ready_in) => ChargeDecision::Wait {
                ready_in,
                remaining: self.bucket.remaining(now),
            },
        }
    }

    fn is_hopeless(&mut self, tokens: u64, max_wait: Duration, now: MonotonicTime) -> bool {
        let refundable = self.bucket.unsettled_tokens();
        let least = tokens.saturating_sub(refundable);
        match self.ready_in(least, now) {
            Some(ready_in) => ready_in > max_wait,
            None => true,
        }
    }
}
