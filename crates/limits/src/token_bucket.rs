use std::time::Duration;

use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

use crate::BucketLimits;
use crate::BucketState;
use crate::ChargeDecision;
use crate::DebtRecord;
use crate::GrantRecord;
use crate::bucket_limits::MICRO_PER_TOKEN;
use crate::debt_stack::DebtStack;
use crate::grant_log::GrantEntry;
use crate::grant_log::GrantLog;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Time for which grants are kept by default; longer than the deadline of any request.
const DEFAULT_GRANT_TTL: Duration = Duration::from_secs(3600);

/// Number of grants kept by default. At about 100 bytes each they take at most 6.5 MB per account.
const DEFAULT_GRANT_CAPACITY: usize = 65_536;

/// Number of debt entries below which compaction is not worth its cost. Above, it runs each time the number has
/// doubled, so that its cost per charge stays logarithmic.
const MIN_COMPACT_LEN: usize = 64;

/// Longest wait that is reported, also used when the rate is zero. In milliseconds it fits the fields of peer messages.
const MAX_READY_IN: Duration = Duration::from_secs(365 * 24 * 3600);

/// Limits the tokens that one client account uses, with refunds that count back in time.
///
/// In every window of time, the *admitted* tokens are at most rate × length + burst. A grant admits its charge less its
/// refund, counted at the time when the grant was issued. After a refund, the bucket holds exactly the tokens that it
/// would hold if the grant had been issued for the smaller amount.
///
/// When the limits change, the bound holds with the rate in force at each moment and the largest burst in force during
/// the window.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limits: BucketLimits,
    debts: DebtStack,
    grants: GrantLog,
    /// Sequence number of the next debt entry or grant.
    next_sequence: u64,
    /// Latest time up to which earned tokens are credited.
    updated: MonotonicTime,
    /// Earned fraction of a micro-token that is not credited yet, in units of 10^-9 micro-tokens.
    carry: u64,
    /// Number of debt entries above which they are compacted next.
    compact_above: usize,
}

impl TokenBucket {
    /// Creates a full bucket, for an account that was never charged before.
    pub fn new(limits: BucketLimits, now: MonotonicTime) -> Self {
        Self {
            limits,
            debts: DebtStack::default(),
            grants: GrantLog::new(DEFAULT_GRANT_TTL, DEFAULT_GRANT_CAPACITY),
            next_sequence: 0,
            updated: now,
            carry: 0,
            compact_above: MIN_COMPACT_LEN,
        }
    }

    /// Creates an empty bucket, for a takeover from an owner that failed.
    ///
    /// The former owner may have granted every token until its authority ended, which must be before `now`.
    pub fn empty(limits: BucketLimits, now: MonotonicTime) -> Self {
        let mut bucket = Self::new(limits, now);
        bucket.push_debt(limits.burst_micro());
        bucket
    }

    /// Sets for how long and how many grants are kept. Grants made before the call are lost, so call it first.
    pub fn with_grant_retention(mut self, ttl: Duration, capacity: usize) -> Self {
        self.grants = GrantLog::new(ttl, capacity);
        self
    }

    /// Returns the rate and burst in force.
    pub fn limits(&self) -> BucketLimits {
        self.limits
    }

    /// Returns the whole tokens in the bucket at `now`.
    pub fn remaining(&mut self, now: MonotonicTime) -> u64 {
        self.advance(now);
        self.level_micro() / MICRO_PER_TOKEN
    }

    /// Returns the time until the bucket covers `tokens`, if nothing is charged meanwhile; `None` above the burst.
    ///
    /// The time is capped at 365 days.
    pub fn time_to_cover(&mut self, tokens: u64, now: MonotonicTime) -> Option<Duration> {
        if tokens > self.limits.burst() {
            return None;
        }
        self.advance(now);
        let missing = (tokens * MICRO_PER_TOKEN).saturating_sub(self.level_micro());
        Some(self.time_to_earn(missing))
    }

    /// Returns the tokens of grants that may still be refunded, which is the most that refunds can return.
    pub fn unsettled_tokens(&self) -> u64 {
        self.grants.unsettled_tokens()
    }

    /// Returns the number of grants and tombstones in memory.
    pub fn grant_count(&self) -> usize {
        self.grants.len()
    }

    /// Returns the number of internal debt entries; compaction bounds it by about twice the unsettled grants.
    pub fn debt_count(&self) -> usize {
        self.debts.len()
    }

    // ----------------------------------------------------------------------------------------

    /// Takes `tokens` from the bucket under `grant_id`.
    ///
    /// A repeat of a granted id takes nothing and gets the first decision again. Refusals are not kept, so an id that
    /// was told to wait may be charged again.
    pub fn charge(&mut self, grant_id: GrantId, tokens: u64, now: MonotonicTime) -> ChargeDecision {
        self.advance(now);
        if let Some(decision) = self.repeated_charge(grant_id, tokens) {
            return decision;
        }
        if tokens > self.limits.burst() {
            return ChargeDecision::TooLarge;
        }
        let level = self.level_micro();
        let cost = tokens * MICRO_PER_TOKEN;
        if cost > level {
            return ChargeDecision::Wait {
                ready_in: self.time_to_earn(cost - level),
                remaining: level / MICRO_PER_TOKEN,
            };
        }
        let remaining = (level - cost) / MICRO_PER_TOKEN;
        let sequence = self.push_debt(cost);
        self.record_grant(grant_id, sequence, tokens, remaining, false);
        ChargeDecision::Granted { remaining }
    }

    /// Returns the decision on a repeated charge without changing the bucket; `None` if the id is unknown.
    pub fn repeated_charge(&self, grant_id: GrantId, tokens: u64) -> Option<ChargeDecision> {
        let entry = self.grants.get(grant_id)?;
        if entry.settled || tokens > entry.tokens {
            return Some(ChargeDecision::IdReused);
        }
        Some(ChargeDecision::Granted {
            remaining: entry.remaining,
        })
    }

    /// Settles a grant and puts up to `unused` of its tokens back.
    ///
    /// Returns the tokens accepted as unused, at most the charge. The level may rise by less, because tokens that would
    /// have overflowed are lost; see [`TokenBucket`].
    ///
    /// A second refund is ignored. An unknown id becomes a tombstone, so that a delayed charge that its sender has
    /// given up takes no tokens when it arrives.
    pub fn refund(&mut self, grant_id: GrantId, unused: u64, now: MonotonicTime) -> u64 {
        self.advance(now);
        if self.grants.get(grant_id).is_none() {
            let sequence = self.next_sequence;
            self.record_grant(grant_id, sequence, 0, 0, true);
            return 0;
        }
        let Some(entry) = self.grants.settle(grant_id, self.updated) else {
            return 0;
        };
        let returned = unused.min(entry.tokens);
        self.debts
            .repay_from(entry.sequence, returned * MICRO_PER_TOKEN);
        returned
    }

    /// Changes the rate and burst from `now` on.
    ///
    /// A larger burst adds no tokens at once; they are earned at the new rate. A smaller burst removes the tokens above
    /// it.
    pub fn set_limits(&mut self, limits: BucketLimits, now: MonotonicTime) {
        self.advance(now);
        let limits = limits.capped();
        let before = self.limits.burst_micro();
        let after = limits.burst_micro();
        if limits.rate() != self.limits.rate() {
            self.carry = 0;
        }
        self.limits = limits;
        if after > before {
            self.push_debt(after - before);
        } else {
            self.debts.repay_newest(before - after);
        }
    }

    // ----------------------------------------------------------------------------------------

    /// Returns the state for a planned handover.
    ///
    /// Afterwards this bucket must not be charged or refunded, unless the handover is cancelled and the receiver
    /// discards the state; otherwise tokens would be granted twice.
    pub fn export(&mut self, now: MonotonicTime) -> BucketState {
        self.advance(now);
        let now = self.updated;
        let debts = self
            .debts
            .iter()
            .map(|(sequence, micro_tokens)| DebtRecord {
                sequence,
                micro_tokens,
            });
        let grants = self.grants.iter().map(|(grant_id, entry)| GrantRecord {
            grant_id,
            sequence: entry.sequence,
            tokens: entry.tokens,
            remaining: entry.remaining,
            settled: entry.settled,
            expires_in: entry.expires_at.since(now),
        });
        BucketState {
            limits: self.limits,
            debts: debts.collect(),
            grants: grants.collect(),
            next_sequence: self.next_sequence,
        }
    }

    /// Creates a bucket from an exported state. The time since the export earns no tokens.
    pub fn import(state: BucketState, now: MonotonicTime) -> Self {
        let BucketState {
            limits,
            debts,
            grants,
            next_sequence,
        } = state;
        let mut bucket = Self::new(limits.capped(), now);
        bucket.next_sequence = next_sequence;
        for debt in debts {
            bucket.debts.push(debt.sequence, debt.micro_tokens);
        }
        for grant in grants {
            let GrantRecord {
                grant_id,
                sequence,
                tokens,
                remaining,
                settled,
                expires_in,
            } = grant;
            let entry = GrantEntry {
                sequence,
                tokens,
                remaining,
                settled,
                expires_at: now + expires_in.min(bucket.grants.ttl()),
            };
            bucket.grants.insert(grant_id, entry);
        }
        bucket
    }

    // ----------------------------------------------------------------------------------------

    /// Returns the micro-tokens in the bucket.
    fn level_micro(&self) -> u64 {
        self.limits.burst_micro().saturating_sub(self.debts.total())
    }

    /// Credits the tokens earned since the last call and evicts expired grants. An earlier `now` credits nothing.
    fn advance(&mut self, now: MonotonicTime) {
        if now > self.updated {
            let elapsed_ns = now.since(self.updated).as_nanos();
            self.updated = now;
            self.credit(elapsed_ns);
        }
        self.grants.evict(self.updated);
    }

    /// Repays debts with the tokens earned in `elapsed_ns`, and carries the fraction over.
    fn credit(&mut self, elapsed_ns: u128) {
        let earned = u128::from(self.limits.rate_micro()).saturating_mul(elapsed_ns);
        let earned = earned.saturating_add(u128::from(self.carry));
        let whole = u64::try_from(earned / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        if whole >= self.debts.total() {
            // A full bucket earns nothing, so it must not save up a fraction either.
            self.carry = 0;
        } else {
            self.carry = (earned % NANOS_PER_SECOND) as u64;
        }
        self.debts.repay_newest(whole);
    }

    /// Returns the time to earn `micro_tokens`, rounded up to a nanosecond and capped at [`MAX_READY_IN`].
    fn time_to_earn(&self, micro_tokens: u64) -> Duration {
        if micro_tokens == 0 {
            return Duration::ZERO;
        }
        let rate = u128::from(self.limits.rate_micro());
        if rate == 0 {
            return MAX_READY_IN;
        }
        let needed = u128::from(micro_tokens) * NANOS_PER_SECOND - u128::from(self.carry);
        let nanos = needed.div_ceil(rate);
        let nanos = u64::try_from(nanos).map_or(MAX_READY_IN, Duration::from_nanos);
        nanos.min(MAX_READY_IN)
    }

    /// Adds a debt entry, compacts if due, and returns the entry's sequence number.
    fn push_debt(&mut self, micro_tokens: u64) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.debts.push(sequence, micro_tokens);
        if self.debts.len() > self.compact_above {
            self.debts.compact(&self.grants.refundable());
            self.compact_above = 2 * self.debts.len() + MIN_COMPACT_LEN;
        }
        sequence
    }

    /// Adds a grant or tombstone to the log and evicts beyond its bounds.
    fn record_grant(
        &mut self,
        grant_id: GrantId,
        sequence: u64,
        tokens: u64,
        remaining: u64,
        settled: bool,
    ) {
        let entry = GrantEntry {
            sequence,
            tokens,
            remaining,
            settled,
            expires_at: self.updated + self.grants.ttl(),
        };
        self.grants.insert(grant_id, entry);
        self.grants.evict(self.updated);
    }
}
