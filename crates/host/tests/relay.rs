//! Store changes that the coordinator relays to the other hosts.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::RouteText;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::all_config;
use crate::common::start_gate;

/// Time after which a configuration must be in force and a draining server must get no more requests, from the platform's
/// settings.
const CHANGE_DEADLINE: Duration = Duration::from_secs(2);

/// Hosts besides the coordinator.
const OTHERS: [&str; 8] = ["h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"];

/// Starts the other hosts once h1 coordinates.
async fn start_others(bed: &mut TestBed) -> Outcome<Vec<HostProcess>> {
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    let mut others = Vec::new();
    for name in OTHERS {
        others.push(bed.fleet.start(name).await?);
    }
    Ok(others)
}

/// Returns version 2 of the configuration, with the additional route `/added/`.
fn second_config() -> ConfigText {
    let mut config = all_config();
    config.version = 2;
    config.routes.push(RouteText {
        prefix: "/added/",
        ..RouteText::default()
    });
    config
}

async fn status(host: &HostProcess, id: &str, path: &str) -> Outcome<Option<u16>> {
    let request = CallerRequest::new(id, path);
    Ok(Caller::once(host.callers, &request).await?.status)
}

/// Adds a route and drains a server, and checks that all of `others` know both in time.
async fn check_changes_arrive(bed: &TestBed, others: &[HostProcess]) -> Outcome {
    bed.store.put_config(second_config().to_text());
    bed.plain[0].leave();
    tokio::time::sleep(CHANGE_DEADLINE).await;
    let at_draining_server = bed.plain[0].requests().len();
    for host in others {
        let id = format!("added-{}", host.name);
        assert_that!(status(host, &id, "/added/x").await?, some(eq(200)), "{id}");
    }
    assert_that!(bed.plain[0].requests().len(), eq(at_draining_server));
    Ok(())
}

/// Guards against a number of store calls that grows with the number of hosts.
#[tokio::test]
async fn only_the_coordinator_watches_the_store() -> Outcome {
    const SPAN: Duration = Duration::from_secs(4);
    /// Store calls of one host: a watch every 300 ms and a lease renewal every 400 ms, plus three.
    const ALLOWED: u64 = 4000 / 300 + 4000 / 400 + 3;
    let mut bed = TestBed::start().await?;
    let others = start_others(&mut bed).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = bed.store.calls();
    tokio::time::sleep(SPAN).await;
    let calls = bed.store.calls() - before;
    assert_that!(calls <= ALLOWED, eq(true), "{calls} calls");

    // The other hosts learn of changes although they don't watch.
    check_changes_arrive(&bed, &others).await?;
    Ok(())
}

/// Guards against hosts that keep relying on a coordinator that no longer relays anything.
#[tokio::test]
async fn a_paused_coordinator_delays_no_change() -> Outcome {
    let mut bed = TestBed::start().await?;
    let others = start_others(&mut bed).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    bed.host.signal(Signal::SIGSTOP)?;
    check_changes_arrive(&bed, &others).await?;
    bed.host.signal(Signal::SIGCONT)?;
    Ok(())
}

/// Guards against a host that can't reach the store, and therefore misses a new configuration and the servers that drain
/// after it.
#[tokio::test]
async fn a_host_without_store_access_gets_the_configuration_from_the_coordinator() -> Outcome {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    let is_open = Arc::new(AtomicBool::new(true));
    let gate = start_gate(bed.store.address(), is_open.clone()).await?;
    bed.fleet.route_store("h2", gate);
    let other = bed.fleet.start("h2").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    is_open.store(false, Ordering::Relaxed);
    check_changes_arrive(&bed, std::slice::from_ref(&other)).await?;
    let read = other.log_lines(&["configuration requested from the coordinator"]);
    assert_that!(read.is_empty(), eq(false));
    Ok(())
}
