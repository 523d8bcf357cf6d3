use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

use crate::ChargeDecision;
use crate::TokenBucket;

/// Says whether a submitted charge was decided at once or queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitDecision {
    /// The charge was decided at once and is not in the queue.
    Decided(ChargeDecision),
    /// The charge is in the queue; a later [`BucketQueue::poll`] decides it.
    Queued,
}

/// Carries the decision on a charge that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChargeOutcome {
    /// Identifies the charge.
    pub grant_id: GrantId,
    /// Holds the decision; `Wait` means that the charge was refused at the end of its maximum wait.
    pub decision: ChargeDecision,
}

/// Queues charges in front of a token bucket, first in first out, each until its own deadline.
///
/// A charge never overtakes an earlier one, so small charges cannot starve a large one.
///
/// A charge is refused before its deadline only if it cannot succeed: even if every unsettled grant were refunded in
/// full, the bucket would not cover it within its maximum wait. The wait estimated from the queue length is not used:
/// most charges are refunded in part, so the estimate is too long and would refuse accounts that stay within their
/// rate.
#[derive(Clone, Debug)]
pub struct BucketQueue {
    bucket: TokenBucket,
    /// Queued charges by arrival number, so that the first entry is the head of the queue.
    waiting: BTreeMap<u64, WaitingCharge>,
    /// Arrival number of each queued charge.
    arrivals: HashMap<GrantId, u64>,
    /// Deadlines with arrival numbers, earliest first.
    deadlines: BTreeSet<(MonotonicTime, u64)>,
    /// Arrival number of the next queued charge.
    next_arrival: u64,
    /// Queue capacity, in charges.
    max_waiting: usize,
}

#[derive(Clone, Copy, Debug)]
struct WaitingCharge {
    grant_id: GrantId,
    tokens: u64,
    deadline: MonotonicTime,
}

impl BucketQueue {
    /// Puts a queue for at most `max_waiting` charges in front of `bucket`.
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

    /// Gives access to the bucket. Call [`Self::poll`] after changing its limits, since queued charges may then fit.
    pub fn bucket(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }

    /// Returns the number of queued charges.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no charge is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    // ----------------------------------------------------------------------------------------

    /// Charges the bucket at once if the queue is empty and the bucket covers `tokens`; otherwise queues the charge.
    ///
    /// The charge is refused at once if it exceeds the burst, cannot succeed within `max_wait`, or finds the queue
    /// full. A repeated submission of a queued id keeps its place and gets the later of both deadlines.
    pub fn submit(
        &mut self,
        grant_id: GrantId,
        tokens: u64,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> SubmitDecision {
        if let Some(arrival) = self.arrivals.get(&grant_id).copied() {
            return self.extend_deadline(arrival, tokens, now + max_wait);
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
        if refusal == ChargeDecision::TooLarge || self.cannot_succeed(tokens, max_wait, now) {
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

    /// Grants queued charges that the bucket now covers, in order of arrival, and refuses those past their deadline.
    pub fn poll(&mut self, now: MonotonicTime) -> Vec<ChargeOutcome> {
        let mut outcomes = Vec::new();
        self.grant_from_head(now, &mut outcomes);
        let mut expired = false;
        while let Some(&(deadline, arrival)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let Some(charge) = self.remove(arrival) else {
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
            // If the head expired, a smaller charge behind it may be covered already.
            self.grant_from_head(now, &mut outcomes);
        }
        outcomes
    }

    /// Returns the time until [`Self::poll`] has a charge to decide, if no refund or charge comes before; `None` if
    /// the queue is empty.
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

    /// Cancels the charge if it is queued and settles its grant, as [`TokenBucket::refund`] does.
    ///
    /// Returns the tokens accepted as unused. Call [`Self::poll`] afterwards, since queued charges may then fit.
    pub fn refund(&mut self, grant_id: GrantId, unused: u64, now: MonotonicTime) -> u64 {
        self.cancel(grant_id);
        self.bucket.refund(grant_id, unused, now)
    }

    /// Removes a charge from the queue, for example because its caller disconnected. Returns false if it is not queued.
    pub fn cancel(&mut self, grant_id: GrantId) -> bool {
        match self.arrivals.get(&grant_id).copied() {
            Some(arrival) => self.remove(arrival).is_some(),
            None => false,
        }
    }

    /// Splits the queue for a handover into the bucket and the queued ids in order of arrival.
    ///
    /// Queued charges are not handed over; their senders must submit them to the next owner.
    pub fn into_parts(self) -> (TokenBucket, Vec<GrantId>) {
        let Self {
            bucket, waiting, ..
        } = self;
        let ids = waiting.into_values().map(|charge| charge.grant_id);
        (bucket, ids.collect())
    }

    // ----------------------------------------------------------------------------------------

    /// Handles a repeated submission of a queued charge; more tokens than at first count as a reused id.
    fn extend_deadline(
        &mut self,
        arrival: u64,
        tokens: u64,
        deadline: MonotonicTime,
    ) -> SubmitDecision {
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

    fn remove(&mut self, arrival: u64) -> Option<WaitingCharge> {
        let charge = self.waiting.remove(&arrival)?;
        self.arrivals.remove(&charge.grant_id);
        self.deadlines.remove(&(charge.deadline, arrival));
        Some(charge)
    }

    /// Charges the bucket from the head of the queue until one charge is not covered.
    fn grant_from_head(&mut self, now: MonotonicTime, outcomes: &mut Vec<ChargeOutcome>) {
        while let Some((&arrival, charge)) = self.waiting.first_key_value() {
            let charge = *charge;
            let decision = self.bucket.charge(charge.grant_id, charge.tokens, now);
            if matches!(decision, ChargeDecision::Wait { .. }) {
                return;
            }
            self.remove(arrival);
            outcomes.push(ChargeOutcome {
                grant_id: charge.grant_id,
                decision,
            });
        }
    }

    /// Returns the time until the bucket covers `tokens`, ignoring queued charges; `None` if `tokens` exceed the burst.
    fn ready_in(&mut self, tokens: u64, now: MonotonicTime) -> Option<Duration> {
        self.bucket.time_to_cover(tokens, now)
    }

    /// Builds the refusal of a charge of `tokens` from the state of the bucket.
    fn refusal(&mut self, tokens: u64, now: MonotonicTime) -> ChargeDecision {
        match self.ready_in(tokens, now) {
            None => ChargeDecision::TooLarge,
            Some(ready_in) => ChargeDecision::Wait {
                ready_in,
                remaining: self.bucket.remaining(now),
            },
        }
    }

    /// Returns true if the bucket would not cover `tokens` within `max_wait` even if all unsettled grants were refunded
    /// in full.
    fn cannot_succeed(&mut self, tokens: u64, max_wait: Duration, now: MonotonicTime) -> bool {
        let refundable = self.bucket.unsettled_tokens();
        let min_needed = tokens.saturating_sub(refundable);
        match self.ready_in(min_needed, now) {
            Some(ready_in) => ready_in > max_wait,
            None => true,
        }
    }
}
