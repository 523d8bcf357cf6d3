//! Hosts that learn the store's changes from the coordinating host.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::RouteText;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_duty;
use crate::common::all_config;

/// Time within which a configuration is in force and a leaving server gets no more requests, from the platform's settings.
const CHANGE_DEADLINE: Duration = Duration::from_secs(2);

/// Hosts beside the coordinating one.
const OTHERS: [&str; 8] = ["h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"];

async fn start_others(bed: &mut TestBed) -> Outcome<Vec<HostProcess>> {
    let holds = acquires_duty(&bed.host, Duration::from_secs(5)).await;
    assert_that!(holds, eq(true));
    let mut others = Vec::new();
    for name in OTHERS {
        others.push(bed.fleet.start(name).await?);
    }
    Ok(others)
}

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

/// Adds a route and lets a server leave; all of `others` know both in time.
async fn check_changes_arrive(bed: &TestBed, others: &[HostProcess]) -> Outcome {
    bed.store.put_config(second_config().to_text());
    bed.plain[0].leave();
    tokio::time::sleep(CHANGE_DEADLINE).await;
    let at_leaver = bed.plain[0].requests().len();
    for host in others {
        let id = format!("added-{}", host.name);
        assert_that!(status(host, &id, "/added/x").await?, some(eq(200)), "{id}");
    }
    assert_that!(bed.plain[0].requests().len(), eq(at_leaver));
    Ok(())
}

/// Guards against a fleet whose calls on the store grow with its hosts.
#[tokio::test]
async fn resting_hosts_leave_the_store_to_the_coordinating_one() -> Outcome {
    const SPAN: Duration = Duration::from_secs(4);
    /// Watches of 300 ms and renewals each 400 ms of one host, and three more.
    const ALLOWED: u64 = 4000 / 300 + 4000 / 400 + 3;
    let mut bed = TestBed::start().await?;
    let others = start_others(&mut bed).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = bed.store.calls();
    tokio::time::sleep(SPAN).await;
    let calls = bed.store.calls() - before;
    assert_that!(calls <= ALLOWED, eq(true), "{calls} calls");

    // Changes arrive all the same.
    check_changes_arrive(&bed, &others).await?;
    Ok(())
}

/// Guards against hosts that trust a coordinating host which tells them nothing any more.
#[tokio::test]
async fn a_paused_coordinating_host_delays_no_change() -> Outcome {
    let mut bed = TestBed::start().await?;
    let others = start_others(&mut bed).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    bed.host.signal(Signal::SIGSTOP)?;
    check_changes_arrive(&bed, &others).await?;
    bed.host.signal(Signal::SIGCONT)?;
    Ok(())
}

/// Passes connections on to the store while `is_open`; then it closes them.
async fn start_gate(store: SocketAddr, is_open: Arc<AtomicBool>) -> Outcome<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let is_open = is_open.clone();
            tokio::spawn(async move {
                let is_closed = async {
                    while is_open.load(Ordering::Relaxed) {
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                };
                let pass = async {
                    let mut far = TcpStream::connect(store).await?;
                    tokio::io::copy_bidirectional(&mut near, &mut far).await
                };
                tokio::select! {
                    () = is_closed => {}
                    // The end of either side ends both.
                    _ = pass => {}
                }
            });
        }
    });
    Ok(address)
}

/// Guards against a host that the store turns away, and that misses a new configuration and the servers that leave after it.
#[tokio::test]
async fn a_host_turned_away_by_the_store_gets_the_configuration_from_the_holder() -> Outcome {
    let mut bed = TestBed::start().await?;
    let holds = acquires_duty(&bed.host, Duration::from_secs(5)).await;
    assert_that!(holds, eq(true));
    let is_open = Arc::new(AtomicBool::new(true));
    let gate = start_gate(bed.store.address(), is_open.clone()).await?;
    bed.fleet.route_store("h2", gate);
    let other = bed.fleet.start("h2").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    is_open.store(false, Ordering::Relaxed);
    check_changes_arrive(&bed, std::slice::from_ref(&other)).await?;
    let read = other.log_lines(&["configuration read from the coordinating host"]);
    assert_that!(read.is_empty(), eq(false));
    Ok(())
}
