//! Terms of coordinators: orders of two coordinators keep their distance, whatever the store and the clocks do.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use zinniahinge_serving::CoordinatorTerm;
use zinniahinge_serving::CoordinatorTimes;
use zinniahinge_serving::HandoverWait;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

const TIMES: CoordinatorTimes = CoordinatorTimes {
    lease: Duration::from_millis(2000),
    margin: Duration::from_millis(150),
    order_window: Duration::from_millis(1100),
    handover_gap: Duration::from_millis(3000),
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn position(revision: Revision) -> StorePosition {
    StorePosition {
        era: StoreEra::default(),
        revision,
    }
}

struct OrderCase {
    name: &'static str,
    had_predecessor: bool,
    /// When an acknowledged renewal was sent.
    renewed: u64,
    now: u64,
    may_order: bool,
    is_valid: bool,
}

/// Guards against orders under a lease that may have expired, or too soon after a predecessor's.
#[test]
fn orders_stop_before_the_lease_can_expire() {
    let cases = [
        OrderCase {
            name: "first coordinator",
            had_predecessor: false,
            renewed: 1000,
            now: 1011,
            may_order: true,
            is_valid: true,
        },
        OrderCase {
            name: "renewal is old",
            had_predecessor: false,
            renewed: 1000,
            now: 2100,
            may_order: false,
            is_valid: true,
        },
        OrderCase {
            name: "lease may have expired",
            had_predecessor: false,
            renewed: 1000,
            now: 2850,
            may_order: false,
            is_valid: false,
        },
        OrderCase {
            name: "just after a predecessor",
            had_predecessor: true,
            renewed: 1000,
            now: 1100,
            may_order: false,
            is_valid: true,
        },
        OrderCase {
            name: "renewed after the pause",
            had_predecessor: true,
            renewed: 3300,
            now: 3400,
            may_order: true,
            is_valid: true,
        },
    ];
    for case in cases {
        let mut term = CoordinatorTerm::new(TIMES);
        let wait = if case.had_predecessor {
            HandoverWait::LeaseExpired
        } else {
            HandoverWait::None
        };
        term.start(position(7), at(1000), at(1010), wait);
        term.renew(at(case.renewed));
        assert_that!(
            term.order_fence(at(case.now)).is_some(),
            eq(case.may_order),
            "{}",
            case.name
        );
        assert_that!(
            term.fence(at(case.now)).is_some(),
            eq(case.is_valid),
            "{}",
            case.name
        );
        term.end();
        assert_that!(term.fence(at(case.now)), none(), "{}", case.name);
    }
}

proptest! {
    /// Guards against a successor whose first order comes less than the handover gap after its predecessor's last one.
    /// The lease runs from the arrival of the last renewal, and the successor's term starts when it ends at the
    /// earliest.
    #[test]
    fn orders_of_two_coordinators_are_a_handover_gap_apart(
        renewed in 0_u64..10_000,
        way in 0_u64..400,
        delay in 0_u64..3_000,
        lease in 1_000_u64..6_000,
        orders in 300_u64..1_000,
    ) {
        let times = CoordinatorTimes {
            lease: Duration::from_millis(lease),
            order_window: Duration::from_millis(orders),
            ..TIMES
        };
        let mut former = CoordinatorTerm::new(times);
        former.start(position(1), at(0), at(0), HandoverWait::None);
        former.renew(at(renewed));
        let last_order = (renewed..renewed + 20_000).rev().find(|now| former.order_fence(at(*now)).is_some());
        let acquired = renewed + way + lease + delay;
        let mut next = CoordinatorTerm::new(times);
        next.start(position(2), at(acquired), at(acquired), HandoverWait::LeaseExpired);
        let first_order = (acquired..acquired + 20_000).find(|now| {
            next.renew(at(*now));
            next.order_fence(at(*now)).is_some()
        });
        let (Some(last), Some(first)) = (last_order, first_order) else {
            return Err(TestCaseError::fail("both coordinators should send orders"));
        };
        prop_assert!(first - last >= 3000, "last order at {last} ms, first of the successor at {first} ms");
    }

    /// Guards against a successor that sends orders too soon after a coordinator resigned.
    #[test]
    fn a_resignation_keeps_the_handover_gap(last_order in 0_u64..5_000, way in 0_u64..100) {
        let ended = last_order + TIMES.resign_pause().as_millis() as u64 + way;
        let mut next = CoordinatorTerm::new(TIMES);
        next.start(position(2), at(ended), at(ended), HandoverWait::LeaseExpired);
        let first_order = (ended..ended + 10_000).find(|now| {
            next.renew(at(*now));
            next.order_fence(at(*now)).is_some()
        });
        prop_assert!(first_order.is_some_and(|first| first - last_order >= 3000));
    }
}
