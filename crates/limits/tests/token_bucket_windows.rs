//! Checks invariant I7: in every window, admitted tokens are at most rate × time + burst, for any sequence of charges,
//! refunds, repeats, handovers, takeovers and clock changes.

use std::time::Duration;

use proptest::prelude::*;
use zinniahinge_limits::BucketLimits;
use zinniahinge_limits::ChargeDecision;
use zinniahinge_limits::TokenBucket;
use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

/// Describes one random event; grant indices are taken modulo the number of grants.
#[derive(Clone, Debug)]
enum Step {
    Charge { tokens: u64 },
    Refund { grant: usize, unused: u64 },
    Repeat { grant: usize },
    Advance { micros: u64 },
    Handover { micros: u64, new_clock: u64 },
    Takeover { new_clock: u64 },
    SetLimits { rate: u64, burst: u64 },
}

/// Describes a granted charge; amounts are in tokens.
struct Grant {
    id: GrantId,
    /// Real time of the grant in microseconds.
    at_us: u64,
    charged: u64,
    admitted: u64,
    refunded: bool,
    /// False after the owner that issued the grant failed without a handover.
    known: bool,
}

/// Runs a bucket, whose clock has an arbitrary offset from real time, and keeps what it admitted.
struct Model {
    bucket: TokenBucket,
    real_us: u64,
    offset_us: u64,
    next_id: u128,
    grants: Vec<Grant>,
    /// Rates in force as (start in microseconds of real time, tokens per second).
    rates: Vec<(u64, u64)>,
    /// Largest burst so far.
    max_burst: u64,
}

impl Model {
    fn new(limits: BucketLimits) -> Self {
        Self {
            bucket: TokenBucket::new(limits, MonotonicTime::ZERO),
            real_us: 0,
            offset_us: 0,
            next_id: 0,
            grants: Vec::new(),
            rates: vec![(0, limits.rate())],
            max_burst: limits.burst(),
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_origin(Duration::from_micros(self.real_us + self.offset_us))
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now();
        match *step {
            Step::Advance { micros } => self.real_us += micros,
            Step::Charge { tokens } => {
                self.next_id += 1;
                let id = GrantId(self.next_id);
                let decision = self.bucket.charge(id, tokens, now);
                if matches!(decision, ChargeDecision::Granted { .. }) {
                    self.grants.push(Grant {
                        id,
                        at_us: self.real_us,
                        charged: tokens,
                        admitted: tokens,
                        refunded: false,
                        known: true,
                    });
                }
            }
            Step::Refund { grant, unused } => {
                let count = self.grants.len().max(1);
                let Some(grant) = self.grants.get_mut(grant % count) else {
                    return;
                };
                self.bucket.refund(grant.id, unused, now);
                if !grant.refunded && grant.known {
                    grant.admitted -= unused.min(grant.charged);
                }
                grant.refunded = true;
            }
            Step::Repeat { grant } => {
                let count = self.grants.len().max(1);
                let Some(grant) = self.grants.get(grant % count).filter(|grant| grant.known) else {
                    return;
                };
                let before = self.bucket.remaining(now);
                let decision = self.bucket.charge(grant.id, grant.charged, now);
                let granted = matches!(decision, ChargeDecision::Granted { .. });
                assert_eq!(granted, !grant.refunded, "repeat of {:?}", grant.id);
                assert_eq!(self.bucket.remaining(now), before, "a repeat took tokens");
            }
            Step::Handover { micros, new_clock } => {
                let state = self.bucket.export(now);
                self.real_us += micros;
                self.offset_us = new_clock;
                self.bucket = TokenBucket::import(state, self.now());
            }
            Step::Takeover { new_clock } => {
                let limits = self.bucket.limits();
                self.offset_us = new_clock;
                self.bucket = TokenBucket::empty(limits, self.now());
                self.grants.iter_mut().for_each(|grant| grant.known = false);
            }
            Step::SetLimits { rate, burst } => {
                self.bucket.set_limits(BucketLimits::new(rate, burst), now);
                self.rates.push((self.real_us, rate));
                self.max_burst = self.max_burst.max(burst);
            }
        }
    }

    /// Returns the micro-tokens earned from the start of the run to `at_us`.
    fn earned(&self, at_us: u64) -> u64 {
        let ends = self.rates.iter().skip(1).map(|(from, _)| *from);
        let ends = ends.chain([u64::MAX]);
        let spans = self.rates.iter().zip(ends);
        let earned = spans.map(|((from, rate), end)| rate * end.min(at_us).saturating_sub(*from));
        earned.sum()
    }

    /// Fails the test if some window that starts and ends at a grant admitted more than the bound.
    fn check_windows(&self) {
        for (first, from) in self.grants.iter().enumerate() {
            let mut admitted = 0;
            for to in &self.grants[first..] {
                admitted += to.admitted * 1_000_000;
                let earned = self.earned(to.at_us) - self.earned(from.at_us);
                let bound = earned + self.max_burst * 1_000_000;
                let window = (from.at_us, to.at_us);
                assert!(admitted <= bound, "{admitted} > {bound} in {window:?}");
            }
        }
    }

    /// Returns the most micro-tokens that the bound allows to be charged now. The limits must not have changed.
    fn allowed_now(&self) -> u64 {
        let burst = self.max_burst * 1_000_000;
        let mut allowed = burst;
        let mut admitted = 0;
        for grant in self.grants.iter().rev() {
            admitted += grant.admitted * 1_000_000;
            let earned = self.earned(self.real_us) - self.earned(grant.at_us);
            allowed = allowed.min((burst + earned).saturating_sub(admitted));
        }
        allowed
    }
}

/// Fails the test if the bucket's level ever differs from what the bound allows.
fn check_level(steps: &[Step], limits: BucketLimits) {
    let mut model = Model::new(limits);
    for step in steps {
        model.apply(step);
        let now = model.now();
        assert_eq!(model.bucket.remaining(now), model.allowed_now() / 1_000_000);
    }
}

/// Generates steps; changes of owner and limits only with `with_moves`.
fn step(with_moves: bool, max_tokens: u64) -> impl Strategy<Value = Step> {
    let moves = u32::from(with_moves);
    let micros = max_tokens * 300_000;
    prop_oneof![
        8 => (0..max_tokens).prop_map(|tokens| Step::Charge { tokens }),
        6 => (any::<usize>(), 0..max_tokens + 2).prop_map(|(grant, unused)| Step::Refund { grant, unused }),
        2 => any::<usize>().prop_map(|grant| Step::Repeat { grant }),
        6 => (0..micros).prop_map(|micros| Step::Advance { micros }),
        moves => (0_u64..9_000_000, 0_u64..u64::from(u32::MAX))
            .prop_map(|(micros, new_clock)| Step::Handover { micros, new_clock }),
        moves => (0_u64..u64::from(u32::MAX)).prop_map(|new_clock| Step::Takeover { new_clock }),
        moves => (0_u64..9, 1_u64..150).prop_map(|(rate, burst)| Step::SetLimits { rate, burst }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against over-admission through refunds, changes of owner and changes of limits.
    #[test]
    fn admitted_tokens_stay_within_rate_and_burst(
        steps in prop::collection::vec(step(true, 130), 1..80),
        rate in 0_u64..9,
        burst in 1_u64..130,
    ) {
        let mut model = Model::new(BucketLimits::new(rate, burst));
        for step in &steps {
            model.apply(step);
        }
        model.check_windows();
    }

    /// Guards against tokens lost by refunds or rounding: without changes of owner or limits, the level equals the most
    /// that the bound allows.
    #[test]
    fn the_level_is_exactly_what_the_history_allows(
        steps in prop::collection::vec(step(false, 130), 1..80),
        rate in 0_u64..9,
        burst in 1_u64..130,
    ) {
        check_level(&steps, BucketLimits::new(rate, burst));
    }

    /// Guards against compaction that changes the level, over histories that are long enough to be compacted.
    #[test]
    fn the_level_stays_exact_when_the_history_is_compacted(
        steps in prop::collection::vec(step(false, 7), 200..500),
        burst in 300_u64..900,
    ) {
        check_level(&steps, BucketLimits::new(1, burst));
    }
}
