//! Plans of faults.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_soak::plan_faults;

/// Guards against a seed that can't be played again, and against seeds that are all alike.
#[test]
fn a_seed_decides_the_plan() {
    let time = Duration::from_secs(20);
    let plan = |seed| plan_faults(seed, time, 4, (3, 6));
    assert_that!(plan(7), eq(&plan(7)));
    assert_that!(plan(7), not(eq(&plan(8))));
    for fault in plan(9) {
        assert_that!(fault.at <= time, eq(true));
    }
}
