//! Changes of configuration, revoked keys, draining backend servers, and outages of the store.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::RouteText;
use zinniahinge_platform_standins::StoreFault;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::all_config;
use crate::common::wait_until;

/// Time within which a new configuration must be in force, from the platform's settings.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// Time after which a revoked key must start no request, from the platform's settings.
const REVOKE_DEADLINE: Duration = Duration::from_secs(5);

async fn status(bed: &TestBed, id: &str, path: &str) -> Outcome<u16> {
    let answer = bed.ask(&CallerRequest::new(id, path)).await?;
    Ok(answer.status.unwrap_or(0))
}

/// Guards against configurations that take effect late, are replaced by older ones, or are lost with the store's history.
#[tokio::test]
async fn a_configuration_is_in_force_in_time_and_stays() -> Outcome {
    let bed = TestBed::start().await?;
    for version in 2..6 {
        let mut config = all_config();
        config.version = version;
        let added = ["/v2/", "/v3/", "/v4/", "/v5/"][version as usize - 2];
        config.routes.push(RouteText {
            prefix: added,
            ..RouteText::default()
        });
        if version == 4 {
            bed.store.drop_history();
        }
        bed.store.put_config(config.to_text());
        tokio::time::sleep(CONFIG_DEADLINE).await;
        let path = format!("{added}x");
        assert_that!(
            status(&bed, &format!("c{version}"), &path).await?,
            eq(200),
            "{added}"
        );
    }
    // Neither a text that is no configuration nor an older configuration changes anything.
    bed.store.put_config("{ torn");
    bed.store.put_config(all_config().to_text());
    tokio::time::sleep(CONFIG_DEADLINE).await;
    assert_that!(status(&bed, "kept", "/v5/x").await?, eq(200));
    let lines = bed.host.log_lines(&["configuration rejected"]);
    assert_that!(lines.is_empty(), eq(false));
    Ok(())
}

/// Guards against a revoked key that keeps working, and against keys that are accepted while the store doesn't answer.
#[tokio::test]
async fn a_revoked_key_stops_working_in_time() -> Outcome {
    let bed = TestBed::start().await?;
    let config = ConfigText {
        version: 2,
        keys: vec!["key-2"],
        ..all_config()
    };
    bed.store.put_config(config.to_text());
    tokio::time::sleep(REVOKE_DEADLINE).await;
    assert_that!(status(&bed, "withdrawn", "/app/x").await?, eq(401));
    assert_that!(bed.runs("withdrawn"), eq(0));

    // Without the store, the host can't know whether the remaining key was revoked too.
    for (index, fault) in [StoreFault::Silent, StoreFault::Busy]
        .into_iter()
        .enumerate()
    {
        bed.store.set_fault(fault);
        tokio::time::sleep(REVOKE_DEADLINE).await;
        let id = format!("blind-{index}");
        let request = CallerRequest {
            key: Some("key-2"),
            ..CallerRequest::new(&id, "/app/x")
        };
        let answer = bed.ask(&request).await?;
        assert_that!(answer.status, some(eq(503)), "{fault:?}");
        assert_that!(answer.retry_after.is_some(), eq(true), "{fault:?}");
        assert_that!(bed.runs(&id), eq(0), "{fault:?}");
        assert_that!(
            status(&bed, &format!("open-{index}"), "/open/x").await?,
            eq(200)
        );
        assert_that!(bed.host.is_ready().await, eq(false), "{fault:?}");
        bed.store.set_fault(StoreFault::None);
        bed.host.wait_ready(true).await?;
    }
    Ok(())
}

/// Guards against requests to servers that drain or whose entry vanishes.
#[tokio::test]
async fn draining_servers_get_no_requests_after_the_deadline() -> Outcome {
    let bed = TestBed::start().await?;
    bed.plain[0].leave();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = bed.plain[0].requests().len();
    for index in 0..12 {
        assert_that!(status(&bed, &format!("l{index}"), "/app/x").await?, eq(200));
    }
    assert_that!(bed.plain[0].requests().len(), eq(before));

    let third = BackendServer::start(&bed.store, "app-3", "app", &[]).await?;
    bed.plain[1].vanish();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = bed.plain[1].requests().len();
    for index in 0..12 {
        assert_that!(status(&bed, &format!("v{index}"), "/app/x").await?, eq(200));
    }
    assert_that!(bed.plain[1].requests().len(), eq(before));
    assert_that!(third.requests().len(), eq(12));
    Ok(())
}

/// Guards against malformed entries that make the host ignore valid ones, or that are logged more than once.
#[tokio::test]
async fn malformed_entries_are_ignored() -> Outcome {
    let bed = TestBed::start().await?;
    let foreign = [
        "{ torn",
        "[1, 2]",
        "{\"service\":\"app\"}",
        "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"sleeping\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}",
        "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1.5}",
        "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":\"8\",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}",
    ];
    for (index, text) in foreign.iter().enumerate() {
        bed.store.put_entry(&format!("f{index}"), *text);
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    for index in 0..12 {
        assert_that!(status(&bed, &format!("f{index}"), "/app/x").await?, eq(200));
    }
    let lines = bed.host.log_lines(&["backend entry ignored"]);
    assert_that!(lines.len(), eq(foreign.len()));
    Ok(())
}

/// Guards against a host that drops servers during an outage of the store, and against one that never drops those that did
/// not come back.
#[tokio::test]
async fn servers_stay_known_through_a_store_outage() -> Outcome {
    let bed = TestBed::start().await?;
    bed.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The entries of both servers expire during the outage; only the second server writes its entry again.
    bed.plain[0].vanish();
    bed.plain[1].vanish();
    bed.store.set_fault(StoreFault::None);
    let returned = Instant::now();
    let is_known = wait_until(Duration::from_secs(2), || {
        bed.host.log_lines(&["store reachable again"]).len() == 1
    });
    assert_that!(is_known.await, eq(true));
    assert_that!(status(&bed, "kept", "/app/x").await?, eq(200));
    bed.plain[1].write_entry("ready");
    tokio::time::sleep(Duration::from_secs(4).saturating_sub(returned.elapsed())).await;
    let before = bed.plain[0].requests().len();
    for index in 0..12 {
        assert_that!(status(&bed, &format!("o{index}"), "/app/x").await?, eq(200));
    }
    assert_that!(bed.plain[0].requests().len(), eq(before));
    Ok(())
}

/// Guards against requests that wait for the retry budget and are then sent to a server that drained meanwhile.
#[tokio::test]
async fn a_waiting_retry_skips_draining_servers() -> Outcome {
    let mut config = all_config();
    config.routes.push(RouteText {
        prefix: "/patient/",
        timeout_ms: 20_000,
        ..RouteText::default()
    });
    let bed = TestBed::with_config(&config).await?;
    for server in &bed.plain {
        server.set_fault(BackendFault::Shed);
    }
    let callers = bed.host.callers;
    let calls = (0..60).map(|index| {
        let request = CallerRequest {
            deadline_ms: 20_000,
            ..CallerRequest::new(&format!("p{index}"), "/patient/x")
        };
        tokio::spawn(async move { Caller::once(callers, &request).await })
    });
    let calls: Vec<_> = calls.collect();
    // After this time the retry budget is used up, and most requests wait for it.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let third = BackendServer::start(&bed.store, "app-3", "app", &[]).await?;
    for server in &bed.plain {
        server.leave();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let arrivals = || -> usize {
        let servers = bed.plain.iter();
        servers.map(|server| server.requests().len()).sum()
    };
    let before = arrivals();
    for call in calls {
        let answer = call.await??;
        assert_that!(matches!(answer.status, Some(200 | 503)), eq(true));
    }
    assert_that!(arrivals(), eq(before));
    assert_that!(third.requests().is_empty(), eq(false));
    Ok(())
}
