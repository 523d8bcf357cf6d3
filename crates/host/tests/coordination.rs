//! Coordination of the fleet: one coordinator at a time, loads on demand, account rates across restarts, and graceful
//! shutdowns.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::SeenOrder;
use zinniahinge_platform_standins::StoreFault;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::all_config;
use crate::common::model_request;
use crate::common::wait_until;

/// Shortest time between the last order of one coordinator and the first of the next, from the platform's settings.
const MIN_HANDOVER_GAP: Duration = Duration::from_secs(3);

/// Returns the orders that all engines received, oldest first.
fn all_orders(engines: &[BackendServer]) -> Vec<SeenOrder> {
    let mut orders: Vec<_> = engines.iter().flat_map(BackendServer::orders).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

/// Returns the time between the last order of host h1 and the first of host h2, and checks that h2 has a newer fencing
/// number.
fn handover_gap(engines: &[BackendServer]) -> Outcome<Duration> {
    let orders = all_orders(engines);
    let last = orders.iter().rfind(|order| order.holder == "h1");
    let next = orders.iter().find(|order| order.holder == "h2");
    let (Some(last), Some(next)) = (last, next) else {
        return Err("both hosts should have sent orders".into());
    };
    assert_that!(next.fence > last.fence, eq(true));
    Ok(next.at.duration_since(last.at))
}

/// Requests an adapter that no engine holds until the host serves it, for at most 20 s; returns whether it did.
async fn serves_absent_model(host: &HostProcess) -> Outcome<bool> {
    let mut served = false;
    let started = Instant::now();
    while !served && started.elapsed() < Duration::from_secs(20) {
        let request = model_request("second", "/llm/stream/x", "m2/a3");
        served = Caller::once(host.callers, &request).await?.status == Some(200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(served)
}

/// Guards against models that are never loaded on request, and against loads beyond an engine's memory.
#[tokio::test]
async fn absent_models_and_adapters_are_loaded_on_demand() -> Outcome {
    let bed = TestBed::start().await?;
    for (index, model) in ["m3", "m2", "m1/a1", "m3/a2", "m2", "m3"]
        .into_iter()
        .enumerate()
    {
        let id = format!("rare-{index}");
        let answer = bed.ask(&model_request(&id, "/llm/stream/x", model)).await?;
        assert_that!(answer.status, some(eq(200)), "{model}");
        assert_that!(bed.runs(&id), eq(1), "{model}");
    }
    for engine in &bed.engines {
        let peak = engine.peak_mb();
        assert_that!(peak <= 130.0, eq(true), "{peak} MB");
    }
    let unknown = bed
        .ask(&model_request("unknown", "/llm/stream/x", "m9"))
        .await?;
    assert_that!(unknown.status, some(eq(503)));
    Ok(())
}

/// Guards against two hosts that send orders at the same time after the coordinator was killed.
#[tokio::test]
async fn a_new_coordinator_waits_until_earlier_orders_are_old() -> Outcome {
    let mut bed = TestBed::start().await?;
    let second = bed.fleet.start("h2").await?;
    let first = bed
        .ask(&model_request("first", "/llm/stream/x", "m3"))
        .await?;
    assert_that!(first.status, some(eq(200)));
    let before = all_orders(&bed.engines);
    assert_that!(before.is_empty(), eq(false));
    bed.host.signal(Signal::SIGKILL)?;
    let served = serves_absent_model(&second).await?;
    assert_that!(served, eq(true));
    let gap = handover_gap(&bed.engines)?;
    assert_that!(gap >= MIN_HANDOVER_GAP, eq(true), "{gap:?}");
    Ok(())
}

/// Guards against a new coordinator that is killed while it waits for earlier orders to become old, and skips the wait after
/// its restart.
#[tokio::test]
async fn a_restarted_new_coordinator_still_waits() -> Outcome {
    let mut bed = TestBed::start().await?;
    let mut second = bed.fleet.start("h2").await?;
    let first = bed
        .ask(&model_request("first", "/llm/stream/x", "m3"))
        .await?;
    assert_that!(first.status, some(eq(200)));
    bed.host.signal(Signal::SIGKILL)?;
    let acquired = acquires_lease(&second, Duration::from_secs(10)).await;
    assert_that!(acquired, eq(true));
    second.signal(Signal::SIGKILL)?;
    second = bed.fleet.restart("h2").await?;
    let served = serves_absent_model(&second).await?;
    assert_that!(served, eq(true));
    let gap = handover_gap(&bed.engines)?;
    assert_that!(gap >= MIN_HANDOVER_GAP, eq(true), "{gap:?}");
    Ok(())
}

/// Guards against a coordinator that goes on sending orders although it can't renew its lease.
#[tokio::test]
async fn a_coordinator_without_the_store_sends_no_orders() -> Outcome {
    let bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    bed.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(MIN_HANDOVER_GAP).await;
    let before = all_orders(&bed.engines).len();
    let request = CallerRequest {
        deadline_ms: 2000,
        ..model_request("lapsed", "/llm/stream/x", "m1/a4")
    };
    let answer = bed.ask(&request).await?;
    assert_that!(answer.status, some(eq(503)));
    assert_that!(all_orders(&bed.engines).len(), eq(before));
    Ok(())
}

/// Guards against an account that exceeds its rate, in particular right after all hosts were killed.
#[tokio::test]
async fn an_account_stays_within_its_rate_over_restarts() -> Outcome {
    const RATE: u64 = 300;
    const BURST: u64 = 600;
    /// Tokens charged for one request without a model, from the configuration.
    const COST: u64 = 200;
    const WINDOW: Duration = Duration::from_secs(8);
    let config = ConfigText {
        rate_per_s: RATE,
        burst: BURST,
        ..all_config()
    };
    let mut bed = TestBed::with_config(&config).await?;
    let started = Instant::now();
    let mut number = 0;
    for round in 0..2 {
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until {
            number += 1;
            let answer = bed
                .ask(&CallerRequest::new(&format!("r{number}"), "/app/x"))
                .await?;
            assert_that!(
                matches!(answer.status, Some(200 | 429)),
                eq(true),
                "{answer:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if round == 0 {
            bed.host.signal(Signal::SIGKILL)?;
            bed.host = bed.fleet.restart("h1").await?;
        }
    }
    let servers = bed.plain.iter().flat_map(BackendServer::requests);
    let runs: Vec<Instant> = servers
        .filter(|seen| seen.ran)
        .map(|seen| seen.at)
        .collect();
    let allowed = (RATE * WINDOW.as_secs() + BURST) as f64 * 1.1 + 1000.0;
    for start in &runs {
        let in_window = runs
            .iter()
            .filter(|at| **at >= *start && **at < *start + WINDOW);
        let used = in_window.count() as u64 * COST;
        assert_that!(
            used as f64 <= allowed,
            eq(true),
            "{used} tokens, {allowed} allowed"
        );
    }
    // Without the kill the account would get its full rate. Half of it shows that the restart does not block the account.
    let least = RATE * started.elapsed().as_secs() / 2;
    let used = runs.len() as u64 * COST;
    assert_that!(used >= least, eq(true), "{used} tokens, {least} expected");
    Ok(())
}

/// Guards against graceful shutdowns that lose running requests or accept new ones that they can't finish.
#[tokio::test]
async fn a_graceful_shutdown_loses_no_request() -> Outcome {
    let mut bed = TestBed::start().await?;
    for engine in &bed.engines {
        engine.set_event_pause(Duration::from_millis(400));
    }
    let callers = bed.host.callers;
    let stream = tokio::spawn(async move {
        Caller::once(callers, &model_request("running", "/llm/stream/x", "m1")).await
    });
    let runs = wait_until(Duration::from_secs(3), || bed.runs("running") == 1).await;
    assert_that!(runs, eq(true));
    let mut kept = Caller::connect(callers).await?;
    assert_that!(
        kept.ask(&CallerRequest::new("k0", "/app/x")).await?.status,
        some(eq(200))
    );
    bed.host.signal(Signal::SIGTERM)?;
    bed.host.wait_ready(false).await?;
    // Callers keep using their connections until the host closes them between two requests.
    let mut answered = 0;
    for index in 1..100 {
        let request = CallerRequest::new(&format!("k{index}"), "/app/x");
        if kept.send_bytes(&request.to_bytes()).await.is_err() {
            break;
        }
        let answer = kept.read_answer().await?;
        if answer.status.is_none() {
            assert_that!(bed.runs(&request.id), eq(0));
            break;
        }
        assert_that!(answer.status, some(eq(200)));
        answered += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_that!(answered >= 10, eq(true), "{answered}");
    let answer = stream.await??;
    assert_that!(answer.body.is_some(), eq(true));
    let code = bed.host.wait_end(Duration::from_secs(9)).await?;
    assert_that!(code, some(eq(0)));
    Ok(())
}

/// Guards against requests that are accepted but cut off without an answer when the host shuts down under load, on kept and
/// on new connections.
#[tokio::test]
async fn a_graceful_shutdown_under_load_answers_every_request() -> Outcome {
    let mut bed = TestBed::start().await?;
    let callers = bed.host.callers;
    let (balancer, out_of_turn) = tokio::sync::watch::channel(false);
    let clients = (0..12).map(|client: u64| {
        let out_of_turn = out_of_turn.clone();
        tokio::spawn(async move {
            let mut connection = Caller::connect(callers).await.ok()?;
            for number in 0..2_000 {
                let id = format!("load-{client}-{number}");
                let answer = connection.ask(&CallerRequest::new(&id, "/app/x")).await;
                let answer = answer.ok().filter(|answer| answer.status.is_some());
                let Some(answer) = answer else {
                    return Some(id);
                };
                if answer.closes || client.is_multiple_of(3) {
                    if *out_of_turn.borrow() {
                        return None;
                    }
                    connection = Caller::connect(callers).await.ok()?;
                }
                tokio::time::sleep(Duration::from_millis(client % 5)).await;
            }
            None
        })
    });
    let clients: Vec<_> = clients.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    // A SIGHUP for changed settings and a second SIGTERM must not disturb the shutdown.
    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM] {
        bed.host.signal(signal)?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    // The load balancer checks once a second and stops sending new connections after two failed checks.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    balancer.send(true)?;
    let mut cut = Vec::new();
    for client in clients {
        cut.extend(client.await?);
    }
    assert_that!(cut, eq(&Vec::<String>::new()));
    let code = bed.host.wait_end(Duration::from_secs(9)).await?;
    assert_that!(code, some(eq(0)));
    Ok(())
}

/// Guards against a fleet that a weak host keeps coordinating because it started first, and against orders of both hosts
/// around the handover.
#[tokio::test]
async fn a_weak_coordinator_hands_over_to_a_much_stronger_host() -> Outcome {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(10)).await;
    assert_that!(acquired, eq(true));
    let first = bed
        .ask(&model_request("first", "/llm/stream/x", "m3"))
        .await?;
    assert_that!(first.status, some(eq(200)));
    bed.fleet.set_processor_share("h2", 8.0);
    let second = bed.fleet.start("h2").await?;
    let handed_over = acquires_lease(&second, Duration::from_secs(10)).await;
    assert_that!(handed_over, eq(true));
    let given_up = bed
        .host
        .log_lines(&["coordinator lease released to a stronger host"]);
    assert_that!(given_up.len(), eq(1));
    let served = serves_absent_model(&second).await?;
    assert_that!(served, eq(true));
    let gap = handover_gap(&bed.engines)?;
    assert_that!(gap >= MIN_HANDOVER_GAP, eq(true), "{gap:?}");
    // The role stays there: the weaker host does not claim the lease again, and the stronger one does not release it.
    assert_that!(
        bed.host.log_lines(&["coordinator lease acquired"]).len(),
        eq(1)
    );
    assert_that!(
        second.log_lines(&["coordinator lease released"]).len(),
        eq(0)
    );
    Ok(())
}

/// Guards against requests that are held for most of their deadline although no coordinator can place them.
#[tokio::test]
async fn a_request_without_a_placement_is_refused_within_seconds() -> Outcome {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(10)).await;
    assert_that!(acquired, eq(true));
    let second = bed.fleet.start("h2").await?;
    bed.host.signal(Signal::SIGSTOP)?;
    bed.store.set_fault(StoreFault::Silent);
    let started = Instant::now();
    let request = CallerRequest {
        deadline_ms: 17_000,
        ..model_request("unplaced", "/patient/stream/x", "m3")
    };
    let answer = Caller::once(second.callers, &request).await?;
    let elapsed = started.elapsed();
    bed.host.signal(Signal::SIGCONT)?;
    assert_that!(answer.status, some(eq(503)));
    assert_that!(answer.retry_after.is_some(), eq(true));
    assert_that!(elapsed < Duration::from_secs(5), eq(true), "{elapsed:?}");
    Ok(())
}
