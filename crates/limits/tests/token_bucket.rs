//! Checks single rules of the token bucket, its queue, the retry budget and the static split.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_limits::BaselineStaticSplit;
use zinniahinge_limits::BucketLimits;
use zinniahinge_limits::BucketQueue;
use zinniahinge_limits::BucketState;
use zinniahinge_limits::ChargeDecision;
use zinniahinge_limits::RetryBudget;
use zinniahinge_limits::SubmitDecision;
use zinniahinge_limits::TokenBucket;
use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn granted(remaining: u64) -> ChargeDecision {
    ChargeDecision::Granted { remaining }
}

/// Returns a bucket that is full at 0 ms; `rate` is in tokens per second.
fn full(rate: u64, burst: u64) -> TokenBucket {
    TokenBucket::new(BucketLimits::new(rate, burst), at(0))
}

struct ChargeCase {
    guards: &'static str,
    grant: u128,
    tokens: u64,
    at_ms: u64,
    decision: ChargeDecision,
}

#[gtest]
fn charges_are_answered_in_sequence() {
    let wait = |ready_ms, remaining| ChargeDecision::Wait {
        ready_in: Duration::from_millis(ready_ms),
        remaining,
    };
    let case = |guards, grant, tokens, at_ms, decision| ChargeCase {
        guards,
        grant,
        tokens,
        at_ms,
        decision,
    };
    let cases = [
        case(
            "a charge above the burst waits forever",
            1,
            101,
            0,
            ChargeDecision::TooLarge,
        ),
        case(
            "a full bucket refuses a charge of the whole burst",
            2,
            100,
            0,
            granted(0),
        ),
        case(
            "a repeat is charged or decided again",
            2,
            100,
            5000,
            granted(0),
        ),
        case(
            "a repeat takes more tokens than were granted",
            2,
            101,
            5000,
            ChargeDecision::IdReused,
        ),
        case("the stated wait is too short", 3, 100, 5000, wait(5000, 50)),
        case(
            "a refused id is remembered as granted",
            3,
            100,
            10_000,
            granted(0),
        ),
        case(
            "a clock that goes backwards earns tokens",
            4,
            1,
            0,
            wait(100, 0),
        ),
        case(
            "the same span of time is credited twice",
            4,
            1,
            10_000,
            wait(100, 0),
        ),
    ];
    let mut bucket = full(10, 100);
    for case in cases {
        let decision = bucket.charge(GrantId(case.grant), case.tokens, at(case.at_ms));
        expect_that!(
            decision,
            eq(case.decision),
            "guards against: {}",
            case.guards
        );
    }
}

/// Guards against a change of limits that adds or loses tokens, and against a full bucket that saves up fractions of a
/// token.
#[gtest]
fn limits_and_fractions_neither_add_nor_lose_tokens() {
    let mut bucket = full(1, 100);
    bucket.charge(GrantId(1), 30, at(0));
    bucket.set_limits(BucketLimits::new(1, 80), at(0));
    expect_that!(bucket.remaining(at(0)), eq(70));
    bucket.set_limits(BucketLimits::new(1, 50), at(0));
    expect_that!(bucket.remaining(at(0)), eq(50));
    bucket.set_limits(BucketLimits::new(1, 100), at(0));
    expect_that!(bucket.remaining(at(0)), eq(50));
    let mut bucket = full(1, 1);
    bucket.charge(GrantId(1), 1, at(0));
    bucket.remaining(at(0) + Duration::from_nanos(1500));
    bucket.charge(GrantId(2), 1, at(2000));
    expect_that!(
        bucket.time_to_cover(1, at(2000)),
        some(eq(Duration::from_secs(1)))
    );
}

/// Guards against a delayed or repeated message that runs a request whose tokens were refunded.
#[gtest]
fn settled_ids_are_not_granted_again() {
    let mut bucket = full(0, 100);
    bucket.charge(GrantId(1), 60, at(0));
    expect_that!(bucket.refund(GrantId(1), 80, at(1)), eq(60));
    expect_that!(bucket.refund(GrantId(1), 60, at(1)), eq(0));
    expect_that!(bucket.remaining(at(1)), eq(100));
    expect_that!(
        bucket.charge(GrantId(1), 60, at(2)),
        eq(ChargeDecision::IdReused)
    );
    expect_that!(bucket.refund(GrantId(2), 10, at(2)), eq(0));
    expect_that!(
        bucket.charge(GrantId(2), 10, at(3)),
        eq(ChargeDecision::IdReused)
    );
    let state = bucket.export(at(3));
    let bytes = rmp_serde::to_vec_named(&state).unwrap();
    expect_that!(
        rmp_serde::from_slice::<BucketState>(&bytes),
        ok(eq(&state)),
        "the serialized handover state"
    );
    let mut moved = TokenBucket::import(state, at(0));
    expect_that!(
        moved.charge(GrantId(1), 60, at(1)),
        eq(ChargeDecision::IdReused)
    );
}

/// Guards against memory that grows with traffic, and against removing an id too early.
#[gtest]
fn grant_memory_is_bounded_in_time_and_number() {
    let ttl = Duration::from_secs(1);
    let mut bucket = full(1000, 1_000_000).with_grant_retention(ttl, 50);
    for index in 0..100_u64 {
        bucket.charge(GrantId(u128::from(index)), 1000, at(index));
    }
    expect_that!(bucket.grant_count(), eq(50));
    expect_that!(bucket.repeated_charge(GrantId(50), 1), some(anything()));
    for index in 100..5000_u64 {
        let id = GrantId(u128::from(index));
        bucket.charge(id, 3, at(100 + index));
        bucket.refund(id, 1, at(100 + index));
    }
    expect_that!(bucket.debt_count(), lt(200));
    expect_that!(bucket.remaining(at(9000)), gt(0));
    expect_that!(bucket.grant_count(), eq(0));
}

/// Guards against rounding drift: many small steps of time must not earn more than one large step.
#[gtest]
fn small_steps_earn_no_more_than_one_large_step() {
    let limits = BucketLimits::new(7, 1_000);
    let mut bucket = TokenBucket::empty(limits, at(0));
    let mut now = at(0);
    for _ in 0..1_000_000 {
        now = now + Duration::from_nanos(333);
        bucket.remaining(now);
    }
    // In 0.333 s at 7 tokens/s the bucket earns 2.331 tokens; the third token is complete after another 95.571 ms.
    let missing = bucket.time_to_cover(3, now);
    expect_that!(missing, some(eq(Duration::from_nanos(95_571_429))));
}

// --------------------------------------------------------------------------------------------

/// Guards against starvation of a large queued charge by later small ones.
#[gtest]
fn waiting_charges_are_served_in_order() {
    let mut queue = BucketQueue::new(full(10, 100), 3);
    let long = Duration::from_secs(60);
    let submit = |queue: &mut BucketQueue, grant, tokens, now| {
        queue.submit(GrantId(grant), tokens, long, at(now))
    };
    expect_that!(
        submit(&mut queue, 1, 50, 0),
        eq(SubmitDecision::Decided(granted(50)))
    );
    expect_that!(submit(&mut queue, 2, 90, 0), eq(SubmitDecision::Queued));
    expect_that!(submit(&mut queue, 3, 10, 0), eq(SubmitDecision::Queued));
    expect_that!(submit(&mut queue, 2, 90, 0), eq(SubmitDecision::Queued));
    expect_that!(queue.len(), eq(2));
    expect_that!(queue.next_wake(at(0)), some(eq(Duration::from_secs(4))));
    expect_that!(queue.poll(at(3999)), is_empty());
    let served: Vec<_> = queue
        .poll(at(5000))
        .iter()
        .map(|out| out.grant_id)
        .collect();
    expect_that!(served, eq(&vec![GrantId(2), GrantId(3)]));
    for grant in 4..7 {
        expect_that!(
            submit(&mut queue, grant, 90, 5000),
            eq(SubmitDecision::Queued)
        );
    }
    let refused = submit(&mut queue, 7, 90, 5000);
    expect_that!(
        refused,
        pat!(SubmitDecision::Decided(pat!(ChargeDecision::Wait { .. })))
    );
}

/// Guards against waits beyond the maximum, and against a charge that left the head of the queue but still blocks
/// others.
#[gtest]
fn a_waiting_charge_is_refused_at_its_deadline() {
    let mut queue = BucketQueue::new(full(10, 100), 10);
    let seconds = Duration::from_secs;
    queue.submit(GrantId(1), 100, seconds(1), at(0));
    let impossible = queue.submit(GrantId(9), 100, seconds(1), at(0));
    expect_that!(
        impossible,
        eq(SubmitDecision::Queued),
        "grant 1 may be refunded"
    );
    queue.submit(GrantId(2), 20, seconds(8), at(0));
    expect_that!(queue.next_wake(at(0)), some(eq(seconds(1))));
    expect_that!(queue.poll(at(999)), is_empty());
    let outcomes = queue.poll(at(2000));
    let decisions: Vec<_> = outcomes
        .iter()
        .map(|out| (out.grant_id.0, out.decision))
        .collect();
    let refused = ChargeDecision::Wait {
        ready_in: seconds(8),
        remaining: 20,
    };
    expect_that!(decisions, eq(&vec![(9, refused), (2, granted(0))]));
    queue.submit(GrantId(3), 50, seconds(50), at(2000));
    expect_that!(queue.refund(GrantId(3), 50, at(2000)), eq(0));
    expect_that!(
        queue.is_empty(),
        eq(true),
        "an abandoned charge stays queued"
    );
    let mut queue = BucketQueue::new(TokenBucket::empty(BucketLimits::new(1, 9), at(0)), 10);
    let refused = queue.submit(GrantId(1), 5, seconds(4), at(0));
    expect_that!(
        refused,
        not(eq(SubmitDecision::Queued)),
        "a charge that cannot succeed is queued"
    );
}

/// Guards against retries beyond the ratio once the initial balance is used up.
#[gtest]
fn retries_stay_within_the_ratio() {
    let budget = RetryBudget::new(20, 3);
    let retries = |count: u32| (0..count).filter(|_| budget.try_retry()).count();
    expect_that!(retries(10), eq(3));
    (0..10).for_each(|_| budget.record_request());
    expect_that!(retries(10), eq(2));
    (0..100).for_each(|_| budget.record_request());
    expect_that!(budget.balance(), eq(3));
}

/// Guards against a baseline whose hosts admit more than their shares of the rate.
#[gtest]
fn the_static_split_gives_each_host_its_part() {
    let mut split = BaselineStaticSplit::new(BucketLimits::new(100, 100), 4, at(0));
    expect_that!(
        split.charge(0, GrantId(1), 26, at(0)),
        eq(ChargeDecision::TooLarge)
    );
    expect_that!(split.charge(0, GrantId(2), 25, at(0)), eq(granted(0)));
    expect_that!(split.charge(1, GrantId(3), 25, at(0)), eq(granted(0)));
    split.refund(0, GrantId(2), 25, at(0));
    expect_that!(split.charge(0, GrantId(4), 25, at(0)), eq(granted(0)));
}
