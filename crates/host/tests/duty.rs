//! The duty to coordinate: one holder at a time, orders, rates, and what a planned stop loses.

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
use crate::common::acquires_duty;
use crate::common::all_config;
use crate::common::model_request;
use crate::common::wait_until;

/// Time for which two holders must not both give orders, from the platform's settings.
const LEASE_TIME: Duration = Duration::from_secs(3);

fn all_orders(engines: &[BackendServer]) -> Vec<SeenOrder> {
    let mut orders: Vec<_> = engines.iter().flat_map(BackendServer::orders).collect();
    orders.sort_by_key(|order| order.at);
    orders
}

/// Time between the last order of the first host and the first one of the second, which has a newer fencing number.
fn turn_gap(engines: &[BackendServer]) -> Outcome<Duration> {
    let orders = all_orders(engines);
    let last = orders.iter().rfind(|order| order.holder == "h1");
    let next = orders.iter().find(|order| order.holder == "h2");
    let (Some(last), Some(next)) = (last, next) else {
        return Err("both hosts should have given orders".into());
    };
    assert_that!(next.fence > last.fence, eq(true));
    Ok(next.at.duration_since(last.at))
}

/// Asks the host for a model that has to be loaded until it serves it, for 20 s at most.
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

/// Guards against a rare model that nobody loads, and against memory that is given out twice.
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

/// Guards against two hosts that give orders at once.
#[tokio::test]
async fn a_new_holder_waits_until_the_former_ones_orders_are_old() -> Outcome {
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
    let gap = turn_gap(&bed.engines)?;
    assert_that!(gap >= LEASE_TIME, eq(true), "{gap:?}");
    Ok(())
}

/// Guards against a new holder that is killed while it waits and does not wait any more when it starts again.
#[tokio::test]
async fn a_new_holder_that_starts_again_waits_all_the_same() -> Outcome {
    let mut bed = TestBed::start().await?;
    let mut second = bed.fleet.start("h2").await?;
    let first = bed
        .ask(&model_request("first", "/llm/stream/x", "m3"))
        .await?;
    assert_that!(first.status, some(eq(200)));
    bed.host.signal(Signal::SIGKILL)?;
    let acquired = acquires_duty(&second, Duration::from_secs(10)).await;
    assert_that!(acquired, eq(true));
    second.signal(Signal::SIGKILL)?;
    second = bed.fleet.restart("h2").await?;
    let served = serves_absent_model(&second).await?;
    assert_that!(served, eq(true));
    let gap = turn_gap(&bed.engines)?;
    assert_that!(gap >= LEASE_TIME, eq(true), "{gap:?}");
    Ok(())
}

/// Guards against a holder that goes on when it can't renew its lease, and against one that was paused.
#[tokio::test]
async fn a_holder_without_the_store_stops_giving_orders() -> Outcome {
    let bed = TestBed::start().await?;
    let holds = acquires_duty(&bed.host, Duration::from_secs(5)).await;
    assert_that!(holds, eq(true));
    bed.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(LEASE_TIME).await;
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

/// Guards against an account that gets more than its rate, also right after everything was killed.
#[tokio::test]
async fn an_account_stays_within_its_rate_over_restarts() -> Outcome {
    const RATE: u64 = 300;
    const BURST: u64 = 600;
    /// Tokens of one request without a model, from the configuration.
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
    // Without a kill it would get its rate; half of that shows that it is not shut out.
    let least = RATE * started.elapsed().as_secs() / 2;
    let used = runs.len() as u64 * COST;
    assert_that!(used >= least, eq(true), "{used} tokens, {least} expected");
    Ok(())
}

/// Guards against planned stops that lose requests or take new ones that they can't finish.
#[tokio::test]
async fn a_planned_stop_loses_nothing() -> Outcome {
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
    // Callers go on using their connections until the host closes them between two requests.
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

/// Guards against requests that were just accepted and are cut off without an answer in a planned stop under load, on kept
/// and on new connections.
#[tokio::test]
async fn a_planned_stop_under_load_cuts_nobody_off() -> Outcome {
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
    // A second signal and changed settings come between.
    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM] {
        bed.host.signal(signal)?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    // The balancer asks once a second and takes the host out after two misses.
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

/// Guards against a fleet that is coordinated by a weak host because it was the first to start, and against orders of both
/// around the hand-over.
#[tokio::test]
async fn a_weak_holder_makes_room_for_a_much_stronger_host() -> Outcome {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_duty(&bed.host, Duration::from_secs(10)).await;
    assert_that!(acquired, eq(true));
    let first = bed
        .ask(&model_request("first", "/llm/stream/x", "m3"))
        .await?;
    assert_that!(first.status, some(eq(200)));
    bed.fleet.set_processor_share("h2", 8.0);
    let second = bed.fleet.start("h2").await?;
    let handed_over = acquires_duty(&second, Duration::from_secs(10)).await;
    assert_that!(handed_over, eq(true));
    let given_up = bed.host.log_lines(&["duty given up for a stronger host"]);
    assert_that!(given_up.len(), eq(1));
    let served = serves_absent_model(&second).await?;
    assert_that!(served, eq(true));
    let gap = turn_gap(&bed.engines)?;
    assert_that!(gap >= LEASE_TIME, eq(true), "{gap:?}");
    // It stays there: the weaker host does not take the duty back, nor the stronger one give it up.
    assert_that!(bed.host.log_lines(&["duty acquired"]).len(), eq(1));
    assert_that!(second.log_lines(&["duty given up"]).len(), eq(0));
    Ok(())
}

/// Guards against requests that are held for most of their time although nobody can say where they could go.
#[tokio::test]
async fn a_request_that_no_holder_places_is_refused_in_seconds() -> Outcome {
    let mut bed = TestBed::start().await?;
    let acquired = acquires_duty(&bed.host, Duration::from_secs(10)).await;
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
