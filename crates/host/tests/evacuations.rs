//! Data centres that operators evacuate and take back, and homes of routes and accounts.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use tokio::task::JoinSet;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::RouteText;
use zinniahinge_platform_standins::StoreFault;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::all_config;
use crate::common::all_routes;
use crate::common::model_request;
use crate::common::wait_until;

/// Time after which the servers of an evacuated data centre must get nothing, from the platform's settings.
const EVACUATION_DEADLINE: Duration = Duration::from_secs(2);

/// Time within which a request that can't be served has to be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Pause between two requests of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Requests of every kind, with and without a model.
fn requests(prefix: &str, number: usize) -> Vec<CallerRequest> {
    let id = |kind| format!("{prefix}-{kind}-{number}");
    vec![
        CallerRequest::new(&id("app"), "/app/x"),
        CallerRequest::new(&id("book"), "/book/x"),
        model_request(&id("llm"), "/llm/stream/x", "m1"),
        model_request(&id("resume"), "/resume/stream/x", "m1"),
    ]
}

/// Sends requests of all kinds at once, again and again for `time`; returns the number of all, and of those that were served.
async fn call_for(hosts: &[&HostProcess], prefix: &str, time: Duration) -> Outcome<[usize; 2]> {
    let (started, mut sent, mut served) = (Instant::now(), 0, 0);
    while started.elapsed() < time {
        for host in hosts {
            let mut calls = JoinSet::new();
            for request in requests(&format!("{prefix}-{}", host.name), sent) {
                let callers = host.callers;
                calls.spawn(async move { Caller::once(callers, &request).await });
            }
            sent += calls.len();
            while let Some(answer) = calls.join_next().await {
                served += usize::from(answer??.status == Some(200));
            }
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    Ok([sent, served])
}

fn arrivals_after(servers: &[&BackendServer], at: Instant) -> usize {
    let requests = servers.iter().flat_map(|server| server.requests());
    requests.filter(|seen| seen.at > at).count()
}

/// What the host lives through before the evacuation is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostPast {
    /// It coordinates.
    Coordinates,
    /// It follows the changes that the coordinator relays.
    Follows,
    /// It starts during the evacuation.
    StartsLater,
    /// The store is away as the evacuation begins, and forgets its history before it is back.
    MissesChanges,
}

/// Load pattern: callers send requests of every kind while a data centre is evacuated and taken back. Guards against a host
/// that goes on sending there, and against one that doesn't use the servers again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() -> Outcome {
    let pasts = [
        HostPast::Coordinates,
        HostPast::Follows,
        HostPast::StartsLater,
        HostPast::MissesChanges,
    ];
    for past in pasts {
        let mut bed = TestBed::in_two_places(&all_config()).await?;
        let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
        assert_that!(acquired, eq(true), "{past:?}");
        let mut other = None;
        if past == HostPast::Follows {
            other = Some(bed.fleet.start("h2").await?);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        call_for(&[&bed.host], "before", Duration::from_millis(300)).await?;
        if past == HostPast::MissesChanges {
            bed.store.set_fault(StoreFault::Busy);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        bed.store.evacuate("a");
        if past == HostPast::MissesChanges {
            bed.store.drop_history();
            bed.store.set_fault(StoreFault::None);
        }
        if past == HostPast::StartsLater {
            other = Some(bed.fleet.start("h2").await?);
        }
        let evacuated_at = Instant::now();
        let host = other.as_ref().unwrap_or(&bed.host);
        let [sent, served] = call_for(&[host], "during", EVACUATION_DEADLINE * 2).await?;
        let evacuated = [&bed.plain[0], &bed.engines[0]];
        let late = arrivals_after(&evacuated, evacuated_at + EVACUATION_DEADLINE);
        assert_that!(late, eq(0), "{past:?}");
        if past == HostPast::StartsLater {
            let early = arrivals_after(&evacuated, evacuated_at);
            assert_that!(early, eq(0), "{past:?}: the host knew it when it was ready");
        }
        assert_that!(
            served,
            eq(sent),
            "{past:?}: the other data centre serves them"
        );

        bed.store.take_back("a");
        let taken_back_at = Instant::now();
        call_for(&[host], "after", Duration::from_millis(1500)).await?;
        for server in evacuated {
            let arrivals = arrivals_after(&[server], taken_back_at);
            assert_that!(arrivals, gt(0), "{past:?}: {} is used again", server.id());
        }
        let [begun, ended] = [
            "data centre evacuated, its servers get no requests",
            "data centre taken back",
        ]
        .map(|line| host.log_lines(&[line]).len());
        assert_that!([begun, ended], eq([1, 1]), "{past:?}");
    }
    Ok(())
}

/// Guards against a stream that goes on at, or returns to, a server whose data centre was evacuated while it ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_does_not_return_to_an_evacuated_data_centre() -> Outcome {
    let bed = TestBed::in_two_places(&all_config()).await?;
    for engine in &bed.engines {
        engine.set_event_pause(Duration::from_millis(600));
        engine.set_fault(BackendFault::BreakNewStream);
    }
    let request = model_request("stream", "/resume/stream/x", "m1");
    let call = tokio::spawn({
        let callers = bed.host.callers;
        async move { Caller::once(callers, &request).await }
    });
    let has_arrived = wait_until(Duration::from_secs(2), || bed.arrivals() > 0).await;
    assert_that!(has_arrived, eq(true));
    let first = usize::from(bed.engines[0].requests().is_empty());
    bed.store.evacuate(["a", "b"][first]);
    let answer = call.await??;
    assert_that!(answer.status, some(eq(200)));
    assert_that!(answer.body.is_some(), eq(true), "the stream is whole");
    assert_that!(bed.engines[first].requests().len(), eq(1));
    assert_that!(bed.engines[1 - first].requests().len(), eq(1));
    Ok(())
}

/// Load pattern: a data centre holds the only copy of a model and is lost at the peak. Guards against a model that is placed
/// nowhere else, and against loads at the evacuated engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn models_of_an_evacuated_data_centre_are_loaded_elsewhere() -> Outcome {
    let bed = TestBed::in_two_places(&all_config()).await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    tokio::time::sleep(Duration::from_secs(1)).await;
    bed.store.evacuate("a");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ordered_before = bed.engines[0].orders().len();
    for (number, model) in ["m2", "m3", "m1"].into_iter().enumerate() {
        let request = model_request(&format!("r{number}"), "/llm/stream/x", model);
        let answer = bed.ask(&request).await?;
        assert_that!(answer.status, some(eq(200)), "{model}");
    }
    assert_that!(bed.engines[0].requests().len(), eq(0));
    assert_that!(bed.engines[0].orders().len(), eq(ordered_before));
    Ok(())
}

fn check_refused(answer: &CallerAnswer, what: &str) -> Outcome {
    assert_that!(answer.status, some(eq(503)), "{what}");
    assert_that!(answer.retry_after, some(anything()), "{what}");
    Ok(())
}

/// Load pattern: all data centres are evacuated while requests arrive and while one waits for its model. Guards against
/// requests that are held although no server can run them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_any_server_are_refused_at_once() -> Outcome {
    let config = ConfigText {
        load_time_s: 6.0,
        ..all_config()
    };
    let bed = TestBed::in_two_places(&config).await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    for engine in &bed.engines {
        engine.set_load_time(Duration::from_secs(20));
    }
    let waiting = CallerRequest {
        deadline_ms: 17_000,
        ..model_request("waiting", "/patient/stream/x", "m3")
    };
    let call = tokio::spawn({
        let callers = bed.host.callers;
        async move { Caller::once(callers, &waiting).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    bed.store.evacuate("a");
    bed.store.evacuate("b");
    let is_known = wait_until(EVACUATION_DEADLINE, || {
        let lines = bed.host.log_lines(&["data centre evacuated"]);
        lines.len() == 2
    });
    assert_that!(is_known.await, eq(true));
    let known_at = Instant::now();
    check_refused(&call.await??, "waiting")?;
    assert_that!(known_at.elapsed(), le(REFUSAL_TIME), "waiting");
    for request in requests("late", 0) {
        let asked_at = Instant::now();
        check_refused(&bed.ask(&request).await?, &request.id)?;
        assert_that!(asked_at.elapsed(), le(REFUSAL_TIME), "{}", request.id);
    }
    let servers: Vec<&BackendServer> = bed.plain.iter().chain(&bed.engines).collect();
    assert_that!(arrivals_after(&servers, known_at), eq(0));
    assert_that!(bed.runs("waiting"), eq(0));
    Ok(())
}

struct HomeCase {
    name: &'static str,
    route: &'static [&'static str],
    account: &'static [&'static str],
    evacuated: Option<&'static str>,
    /// Data centres whose servers may get requests.
    allowed: &'static [&'static str],
}

/// Load pattern: the only server in the homes lacks the model, or is evacuated, while others could run the request. Guards
/// against a request that runs outside the homes of its route or its account.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_in_their_homes_only() -> Outcome {
    let case = HomeCase {
        name: "route in the west",
        route: &["west"],
        account: &[],
        evacuated: None,
        allowed: &["b"],
    };
    let cases = [
        HomeCase {
            name: "account in the west",
            route: &[],
            account: &["west"],
            ..case
        },
        HomeCase {
            name: "both",
            route: &["east", "west"],
            account: &["west", "north"],
            ..case
        },
        HomeCase {
            name: "nothing in common",
            route: &["east"],
            account: &["west"],
            allowed: &[],
            ..case
        },
        HomeCase {
            name: "home evacuated",
            evacuated: Some("b"),
            allowed: &[],
            ..case
        },
        case,
    ];
    for case in cases {
        let mut config = all_config();
        config.homes = case.account.to_vec();
        let routes = all_routes().into_iter().map(|route| RouteText {
            homes: case.route,
            ..route
        });
        config.routes = routes.collect();
        let bed = TestBed::in_two_places(&config).await?;
        let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
        assert_that!(acquired, eq(true), "{}", case.name);
        if let Some(place) = case.evacuated {
            bed.store.evacuate(place);
            tokio::time::sleep(EVACUATION_DEADLINE).await;
        }
        for number in 0..3 {
            let mut all = requests("home", number);
            // Only the engine in the east has it at first.
            all.push(model_request(
                &format!("m2-{number}"),
                "/llm/stream/x",
                "m2",
            ));
            for request in all {
                let asked_at = Instant::now();
                let answer = bed.ask(&request).await?;
                if case.allowed.is_empty() {
                    check_refused(&answer, case.name)?;
                    assert_that!(asked_at.elapsed(), le(REFUSAL_TIME), "{}", case.name);
                } else {
                    assert_that!(answer.status, some(eq(200)), "{}", case.name);
                }
            }
        }
        for (index, place) in ["a", "b"].into_iter().enumerate() {
            let servers = [&bed.plain[index], &bed.engines[index]];
            let arrivals: usize = servers.iter().map(|server| server.requests().len()).sum();
            let is_used = case.allowed.contains(&place);
            assert_that!(arrivals > 0, eq(is_used), "{}: {place}", case.name);
        }
    }
    Ok(())
}
