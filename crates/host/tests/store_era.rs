//! Hosts while the platform's store is away for a moment and returns from a copy.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use zinniahinge_platform::CONFIG_KEY;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::RouteText;
use zinniahinge_platform_standins::SeenOrder;
use zinniahinge_platform_standins::StoreFault;
use zinniahinge_types::FleetReport;
use zinniahinge_types::FleetView;
use zinniahinge_types::StoreEra;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::all_config;
use crate::common::model_request;
use crate::common::start_gate;
use crate::common::wait_until;

/// Time after which a configuration must be in force, from the platform's settings.
const CHANGE_DEADLINE: Duration = Duration::from_secs(2);

/// Shortest time between the last order of one coordinator and the first of the next, from the platform's settings.
const MIN_HANDOVER_GAP: Duration = Duration::from_secs(3);

/// Returns a configuration of `version` with one more route, `prefix`.
fn config_with(version: u64, prefix: &'static str) -> ConfigText {
    let mut config = all_config();
    config.version = version;
    config.routes.push(RouteText {
        prefix,
        ..RouteText::default()
    });
    config
}

async fn status(host: &HostProcess, id: &str, path: &str) -> Outcome<Option<u16>> {
    let request = CallerRequest::new(id, path);
    Ok(Caller::once(host.callers, &request).await?.status)
}

/// Writes `count` items that no host needs.
fn write_others(bed: &TestBed, count: usize) {
    for index in 0..count {
        bed.store.put(&format!("op/other-{index}"), "x");
    }
}

/// Starts h2 beside the coordinator h1.
async fn start_pair() -> Outcome<(TestBed, HostProcess)> {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    let second = bed.fleet.start("h2").await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok((bed, second))
}

struct ReturnCase {
    name: &'static str,
    /// Changes that the copy lacks.
    lost: usize,
    /// Changes before any host asks again, among them the configuration.
    rewritten: usize,
    /// Times that the store returns from the copy, 300 ms apart.
    returns: u32,
}

/// Guards against hosts that go on from a revision that now stands for something else, and miss what is written then.
#[tokio::test]
async fn a_configuration_written_after_the_return_is_in_force_in_time() -> Outcome {
    let cases = [
        ReturnCase {
            name: "already passed",
            lost: 5,
            rewritten: 20,
            returns: 1,
        },
        ReturnCase {
            name: "far back",
            lost: 60,
            rewritten: 1,
            returns: 1,
        },
        ReturnCase {
            name: "just back",
            lost: 1,
            rewritten: 1,
            returns: 1,
        },
        ReturnCase {
            name: "twice in a row",
            lost: 5,
            rewritten: 20,
            returns: 2,
        },
    ];
    for case in cases {
        let (bed, second) = start_pair().await?;
        let copy = bed.store.copy();
        write_others(&bed, case.lost);
        tokio::time::sleep(Duration::from_millis(600)).await;
        let config = config_with(2, "/added/").to_text();
        let mut rewritten = vec![(CONFIG_KEY, config.as_str())];
        rewritten.resize(case.rewritten, ("op/other", "y"));
        for _ in 0..case.returns {
            bed.store.set_fault(StoreFault::Silent);
            tokio::time::sleep(Duration::from_millis(300)).await;
            bed.store.return_from(&copy, &rewritten);
            bed.store.set_fault(StoreFault::None);
        }
        tokio::time::sleep(CHANGE_DEADLINE).await;
        let mut served = 0;
        for index in 0..3 {
            for host in [&bed.host, &second] {
                let id = format!("{}-{index}-{}", case.name.replace(' ', "-"), host.name);
                served += usize::from(status(host, &id, "/added/x").await? == Some(200));
            }
        }
        assert_that!(served, eq(6), "{}: of 6 requests", case.name);
        for host in [&bed.host, &second] {
            let lines = host.log_lines(&["store returned from a copy"]);
            assert_that!(lines.is_empty(), eq(false), "{}", case.name);
        }
    }
    Ok(())
}

/// Guards against a configuration that goes back with the store, and against entries of servers that vanish until they are
/// written again.
#[tokio::test]
async fn what_the_copy_lacks_stays_in_force_until_it_is_written_again() -> Outcome {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    for server in &bed.plain {
        bed.store.remove(&format!("servers/{}", server.id()));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let copy = bed.store.copy();
    for server in &bed.plain {
        server.write_entry("ready");
    }
    let second = config_with(2, "/added/").to_text();
    bed.store.put_config(second.as_str());
    let added = wait_until(CHANGE_DEADLINE, || {
        !bed.host
            .log_lines(&["configuration in force", "\"version\":2"])
            .is_empty()
    });
    assert_that!(added.await, eq(true));
    bed.store.return_from(&copy, &[]);
    for index in 0..10 {
        let id = format!("lacking-{index}");
        assert_that!(
            status(&bed.host, &id, "/added/x").await?,
            some(eq(200)),
            "{id}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for server in &bed.plain {
        server.write_entry("ready");
    }
    bed.store.put_config(second.as_str());
    bed.store.put_config(config_with(3, "/third/").to_text());
    tokio::time::sleep(CHANGE_DEADLINE).await;
    assert_that!(status(&bed.host, "third", "/third/x").await?, some(eq(200)));
    let third = bed.fleet.start("h3").await?;
    assert_that!(status(&third, "late", "/third/x").await?, some(eq(200)));
    Ok(())
}

/// Guards against larger messages between hosts where the store names no era.
#[test]
fn messages_do_not_grow_without_eras() -> Outcome {
    let report = serde_json::to_string(&FleetReport::default())?;
    let view = serde_json::to_string(&FleetView::default())?;
    for message in [report, view] {
        assert_that!(message, not(contains_substring("era")));
    }
    let stated = FleetReport {
        store_era: StoreEra(3),
        ..FleetReport::default()
    };
    let stated = serde_json::to_string(&stated)?;
    assert_that!(stated, contains_substring("\"store_era\":3"));
    Ok(())
}

/// Returns the orders that all engines received, oldest first.
fn all_orders(engines: &[BackendServer]) -> Vec<SeenOrder> {
    let mut orders: Vec<_> = engines.iter().flat_map(BackendServer::orders).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

struct TermCase {
    name: &'static str,
    /// The coordinator is stopped while the store returns, and goes on afterwards.
    is_paused: bool,
    returns: u32,
}

/// Guards against fences that fall with the store's revisions, and against orders of two coordinators close to each other when
/// the copy has no lease.
#[tokio::test]
async fn fences_rise_and_orders_keep_their_distance_after_the_return() -> Outcome {
    let cases = [
        TermCase {
            name: "coordinator runs",
            is_paused: false,
            returns: 1,
        },
        TermCase {
            name: "coordinator is paused",
            is_paused: true,
            returns: 1,
        },
        TermCase {
            name: "twice in a row",
            is_paused: false,
            returns: 2,
        },
    ];
    for case in cases {
        let (bed, second) = start_pair().await?;
        let mut copy = bed.store.copy();
        copy.forget("zinniahinge/");
        write_others(&bed, 40);
        let first = bed
            .ask(&model_request("first", "/llm/stream/x", "m3"))
            .await?;
        assert_that!(first.status, some(eq(200)), "{}", case.name);
        let before = all_orders(&bed.engines);
        let last = before.last().ok_or("no order before the return")?;
        if case.is_paused {
            bed.host.signal(Signal::SIGSTOP)?;
        }
        for _ in 0..case.returns {
            bed.store.return_from(&copy, &[]);
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let mut served = false;
        for index in 0..20 {
            let model = ["m2/a3", "m1/a4", "m3/a2"][index % 3];
            let id = format!("after-{index}");
            let request = model_request(&id, "/llm/stream/x", model);
            let answer = Caller::once(second.callers, &request).await?;
            served |= answer.status == Some(200);
            if all_orders(&bed.engines).len() > before.len() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        if case.is_paused {
            bed.host.signal(Signal::SIGCONT)?;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        assert_that!(served, eq(true), "{}", case.name);
        let orders = all_orders(&bed.engines);
        let next = orders
            .get(before.len())
            .ok_or("no order after the return")?;
        assert_that!(
            next.fence > last.fence,
            eq(true),
            "{}: {orders:?}",
            case.name
        );
        for pair in orders.windows(2) {
            let (former, next) = (&pair[0], &pair[1]);
            assert_that!(former.fence <= next.fence, eq(true), "{}", case.name);
            let gap = next.at.duration_since(former.at);
            let is_far = former.holder == next.holder || gap >= MIN_HANDOVER_GAP;
            assert_that!(is_far, eq(true), "{}: {gap:?}", case.name);
        }
        let refused = orders.iter().filter(|order| order.status == 412).count();
        assert_that!(refused, eq(0), "{}", case.name);
    }
    Ok(())
}

/// Guards against a host without access to the store that applies the coordinator's readings of the new era to its cursor of
/// the old one, or gets none.
#[tokio::test]
async fn a_cut_host_learns_of_the_new_era_from_the_coordinator() -> Outcome {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    let is_open = Arc::new(AtomicBool::new(true));
    let gate = start_gate(bed.store.address(), is_open.clone()).await?;
    bed.fleet.route_store("h2", gate);
    let second = bed.fleet.start("h2").await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let copy = bed.store.copy();
    write_others(&bed, 5);
    tokio::time::sleep(Duration::from_millis(600)).await;
    is_open.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let config = config_with(2, "/added/").to_text();
    let mut rewritten = vec![(CONFIG_KEY, config.as_str())];
    rewritten.resize(20, ("op/other", "y"));
    bed.store.return_from(&copy, &rewritten);
    for index in 0..8 {
        let id = format!("meanwhile-{index}");
        assert_that!(status(&second, &id, "/app/x").await?, some(eq(200)), "{id}");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert_that!(
        status(&second, "added", "/added/x").await?,
        some(eq(200)),
        "{}",
        second.log_text()
    );
    is_open.store(true, Ordering::Relaxed);
    bed.store.put_config(config_with(3, "/third/").to_text());
    tokio::time::sleep(CHANGE_DEADLINE).await;
    assert_that!(status(&second, "third", "/third/x").await?, some(eq(200)));
    Ok(())
}

/// Guards against a coordinator that relays no entry which it had kept itself, though the returned store lacked it for the others.
#[tokio::test]
async fn relayed_hosts_learn_of_entries_that_are_written_again() -> Outcome {
    let (bed, second) = start_pair().await?;
    for server in &bed.plain {
        bed.store.remove(&format!("servers/{}", server.id()));
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let copy = bed.store.copy();
    for server in &bed.plain {
        server.write_entry("ready");
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_that!(status(&second, "before", "/app/x").await?, some(eq(200)));
    bed.store.return_from(&copy, &[]);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for server in &bed.plain {
        server.write_entry("ready");
    }
    tokio::time::sleep(Duration::from_millis(3500)).await;
    for (name, host) in [("first", &bed.host), ("second", &second)] {
        for index in 0..5 {
            let answer = status(host, &format!("{name}-{index}"), "/app/x").await?;
            assert_that!(answer, some(eq(200)), "{name} host, request {index}");
        }
    }
    Ok(())
}

/// Guards against requests to a leaving server by a host that missed its first announcement, which the returned store lacks.
#[tokio::test]
async fn relayed_hosts_learn_of_a_leaving_that_is_written_again() -> Outcome {
    let (bed, second) = start_pair().await?;
    let copy = bed.store.copy();
    second.signal(Signal::SIGSTOP)?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    bed.plain[0].write_entry("draining");
    tokio::time::sleep(Duration::from_millis(700)).await;
    bed.store.return_from(&copy, &[]);
    second.signal(Signal::SIGCONT)?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    bed.plain[0].write_entry("draining");
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let before = bed.plain[0].requests().len();
    for index in 0..30 {
        status(&second, &format!("l-{index}"), "/app/x").await?;
    }
    let sent = bed.plain[0].requests().len() - before;
    assert_that!(sent, eq(0));
    Ok(())
}
