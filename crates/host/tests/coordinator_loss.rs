//! Requests while neither the coordinator nor its first stand-in answers.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::StoreFault;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::all_config;

/// Timeout of one call to another host for a charge. A request that waits for such a call takes longer.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which the reports to a coordinator that doesn't answer have failed.
const REPORTS_FAIL: Duration = Duration::from_millis(1300);

/// Load pattern: requests of an account with a rate limit reach a host one after the other while the coordinator and the next
/// host in line are frozen. Guards against each of them waiting for calls to these hosts.
#[tokio::test]
async fn requests_do_not_wait_for_hosts_that_are_known_not_to_answer() -> Outcome {
    let config = ConfigText {
        rate_per_s: 100_000,
        burst: 100_000,
        ..all_config()
    };
    let mut bed = TestBed::with_config(&config).await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    let second = bed.fleet.start("h2").await?;
    let third = bed.fleet.start("h3").await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // Without the store, no other host becomes the coordinator meanwhile.
    bed.store.set_fault(StoreFault::Silent);
    bed.host.signal(Signal::SIGSTOP)?;
    second.signal(Signal::SIGSTOP)?;
    tokio::time::sleep(REPORTS_FAIL).await;
    let started = Instant::now();
    let mut times = Vec::new();
    while started.elapsed() < Duration::from_millis(1200) {
        let request = CallerRequest::new(&format!("c{}", times.len()), "/app/x");
        let sent = Instant::now();
        let answer = Caller::once(third.callers, &request).await?;
        assert_that!(matches!(answer.status, Some(200 | 429)), eq(true));
        times.push(sent.elapsed());
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    bed.host.signal(Signal::SIGCONT)?;
    second.signal(Signal::SIGCONT)?;
    let longest = times.iter().max().copied().unwrap_or_default();
    assert_that!(longest < CHARGE_TIMEOUT, eq(true), "{longest:?}");
    Ok(())
}
