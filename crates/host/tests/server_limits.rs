//! What backend servers that name a limit get of all hosts together.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::HostProcess;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::model_request;
use crate::common::wait_until;

/// Time after the first statement of a limit from which it binds, from the platform's rules.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Span over which arrivals are counted, from the platform's rules.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor and number of requests by which arrivals in a window may exceed what the limit allows, from the platform's rules.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// Pause between two requests of one caller task.
const CALL_PAUSE: Duration = Duration::from_millis(15);

/// Caller tasks for each host.
const TASKS_PER_HOST: usize = 4;

/// Callers that send requests to several hosts until they are stopped.
struct CallerLoad {
    stopped: CancellationToken,
    served: Arc<AtomicUsize>,
    tasks: JoinSet<()>,
}

impl CallerLoad {
    /// Starts tasks for each host. Hosts may end meanwhile.
    fn start(hosts: &[&HostProcess], name: &str, path: &'static str, deadline_ms: u64) -> Self {
        let (stopped, served) = (CancellationToken::new(), Arc::default());
        let mut tasks = JoinSet::new();
        for (host, number) in hosts
            .iter()
            .flat_map(|host| (0..TASKS_PER_HOST).map(move |number| (*host, number)))
        {
            let (stopped, served) = (stopped.clone(), Arc::<AtomicUsize>::clone(&served));
            let (address, prefix) = (host.callers, format!("{name}-{}-{number}", host.name));
            tasks.spawn(async move {
                let mut sent = 0;
                while !stopped.is_cancelled() {
                    let id = format!("{prefix}-{sent}");
                    let request = CallerRequest {
                        deadline_ms,
                        ..request_for(&id, path)
                    };
                    sent += 1;
                    let answer = Caller::once(address, &request).await;
                    let is_served = answer.is_ok_and(|answer| answer.status == Some(200));
                    served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                    tokio::time::sleep(CALL_PAUSE).await;
                }
            });
        }
        Self {
            stopped,
            served,
            tasks,
        }
    }

    /// Stops all tasks; returns how many requests were served.
    async fn stop(mut self) -> usize {
        self.stopped.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.served.load(Ordering::Relaxed)
    }
}

/// A request for the model that only the first engine has, or one without a model.
fn request_for(id: &str, path: &str) -> CallerRequest {
    if path.starts_with("/app") || path.starts_with("/book") {
        CallerRequest::new(id, path)
    } else {
        model_request(id, path, "m2")
    }
}

/// Most arrivals in any window that begins after `from` and ends before `until`.
fn most_in_window(server: &BackendServer, from: Instant, until: Instant) -> usize {
    let arrivals: Vec<Instant> = server.requests().iter().map(|seen| seen.at).collect();
    let starts = arrivals.iter().filter(|at| **at >= from && **at < until);
    let counts = starts.map(|start| {
        let end = (*start + WINDOW).min(until);
        arrivals
            .iter()
            .filter(|at| *at >= start && **at < end)
            .count()
    });
    counts.max().unwrap_or(0)
}

fn arrivals_between(server: &BackendServer, from: Instant, until: Instant) -> usize {
    let requests = server.requests();
    let between = requests
        .iter()
        .filter(|seen| seen.at >= from && seen.at < until);
    between.count()
}

/// Most arrivals that the platform's rules allow in a window.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * EXCESS_FACTOR + EXCESS_REQUESTS).floor() as usize
}

/// Starts further hosts, so that there are `count`; the first one coordinates.
async fn add_hosts(bed: &mut TestBed, count: usize) -> Outcome<Vec<HostProcess>> {
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    let mut hosts = Vec::new();
    for number in 2..=count {
        hosts.push(bed.fleet.start(&format!("h{number}")).await?);
    }
    Ok(hosts)
}

struct LimitCase {
    name: &'static str,
    path: &'static str,
    hosts: usize,
    /// Value of the header.
    value: &'static str,
    /// The same as a number.
    limit: f64,
    /// True if the server is one of engines, and the only one with the model.
    is_only: bool,
    /// Arrivals in six seconds at least, since a limited server is still used.
    least: usize,
}

/// Load pattern: callers send more than a server takes of all hosts together. Guards against a host that doesn't know of the
/// limit, and against hosts that each send as much as the limit allows in all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_gets_no_more_than_the_limit_that_it_names() -> Outcome {
    let cases = [
        LimitCase {
            name: "one a second",
            path: "/app/x",
            hosts: 3,
            value: "1",
            limit: 1.0,
            is_only: false,
            least: 3,
        },
        LimitCase {
            name: "not repeatable",
            path: "/book/x",
            hosts: 3,
            value: " 2.5 ",
            limit: 2.5,
            is_only: false,
            least: 7,
        },
        LimitCase {
            name: "only server of a model",
            path: "/llm/stream/x",
            hosts: 2,
            value: "0.5",
            limit: 0.5,
            is_only: true,
            least: 2,
        },
        LimitCase {
            name: "nothing",
            path: "/app/x",
            hosts: 2,
            value: "0",
            limit: 0.0,
            is_only: false,
            least: 0,
        },
        LimitCase {
            name: "many a second",
            path: "/app/x",
            hosts: 3,
            value: "20",
            limit: 20.0,
            is_only: false,
            least: 40,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut bed = TestBed::start().await?;
        let hosts = add_hosts(&mut bed, case.hosts).await?;
        let all: Vec<&HostProcess> = [&bed.host].into_iter().chain(&hosts).collect();
        let server = if case.is_only {
            &bed.engines[0]
        } else {
            &bed.plain[0]
        };
        let load = CallerLoad::start(&all, "limit", case.path, 4000);
        tokio::time::sleep(Duration::from_millis(500)).await;
        server.say_limit(Some(case.value));
        let named_at = Instant::now();
        tokio::time::sleep(NOTICE_TIME + Duration::from_secs(6)).await;
        let ended_at = Instant::now();
        let served = load.stop().await;
        let from = named_at + NOTICE_TIME;
        let most = most_in_window(server, from, ended_at);
        assert_that!(most, le(allowed(case.limit)), "{name}");
        let arrivals = arrivals_between(server, from, ended_at);
        assert_that!(arrivals, ge(case.least), "{name}: still used");
        let others = if case.is_only { 0 } else { 100 };
        assert_that!(served, ge(others), "{name}: the other server goes on");
    }
    Ok(())
}

struct ChangeCase {
    name: &'static str,
    /// Value that the server names first.
    first: &'static str,
    /// Value that it names after that, or none.
    then: Option<&'static str>,
    /// What the second statement allows; `None` if it lifts the limit.
    limit: Option<f64>,
    /// Arrivals in six seconds at least.
    least: usize,
}

/// Load pattern: a server names another limit while callers send more than it takes. Guards against a host that keeps to an
/// old statement, and against a value that is no number and lifts a limit, or sets one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_newest_limit_binds() -> Outcome {
    let cases = [
        ChangeCase {
            name: "rises",
            first: "1",
            then: Some("10"),
            limit: Some(10.0),
            least: 30,
        },
        ChangeCase {
            name: "falls",
            first: "10",
            then: Some("1"),
            limit: Some(1.0),
            least: 3,
        },
        ChangeCase {
            name: "is lifted",
            first: "1",
            then: None,
            limit: None,
            least: 60,
        },
        ChangeCase {
            name: "becomes unreadable",
            first: "1",
            then: Some("many"),
            limit: Some(1.0),
            least: 3,
        },
        ChangeCase {
            name: "never is readable",
            first: "-3",
            then: Some("1e3"),
            limit: None,
            least: 60,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut bed = TestBed::start().await?;
        let hosts = add_hosts(&mut bed, 2).await?;
        let all: Vec<&HostProcess> = [&bed.host].into_iter().chain(&hosts).collect();
        let server = &bed.plain[0];
        let load = CallerLoad::start(&all, "change", "/app/x", 4000);
        server.say_limit(Some(case.first));
        tokio::time::sleep(NOTICE_TIME).await;
        server.say_limit(case.then);
        let changed_at = Instant::now();
        tokio::time::sleep(NOTICE_TIME + Duration::from_secs(6)).await;
        let ended_at = Instant::now();
        load.stop().await;
        let from = changed_at + NOTICE_TIME;
        if let Some(limit) = case.limit {
            let most = most_in_window(server, from, ended_at);
            assert_that!(most, le(allowed(limit)), "{name}");
        }
        let arrivals = arrivals_between(server, from, ended_at);
        assert_that!(arrivals, ge(case.least), "{name}");
    }
    Ok(())
}

/// Guards against a limit that outlives the run of the server that named it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_starts_again_without_its_limit() -> Outcome {
    let bed = TestBed::start().await?;
    let server = &bed.plain[0];
    server.say_limit(Some("0.2"));
    bed.plain[1].say_limit(Some("0.2"));
    let load = CallerLoad::start(&[&bed.host], "again", "/app/x", 2000);
    tokio::time::sleep(NOTICE_TIME).await;
    server.restart();
    server.write_entry("ready");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let from = Instant::now();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let arrivals = arrivals_between(server, from, Instant::now());
    load.stop().await;
    assert_that!(arrivals, ge(30));
    Ok(())
}

/// Load pattern: the coordinator ends while a server is limited, and another host takes over. Guards against hosts that send
/// without a common schedule meanwhile, and against a new coordinator that grants what the former one granted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_holds_while_the_coordinator_changes() -> Outcome {
    let mut bed = TestBed::start().await?;
    let hosts = add_hosts(&mut bed, 4).await?;
    let all: Vec<&HostProcess> = [&bed.host].into_iter().chain(&hosts).collect();
    let servers = [bed.plain[0].clone(), bed.plain[1].clone()];
    for server in &servers {
        server.say_limit(Some("2"));
    }
    let load = CallerLoad::start(&all, "loss", "/app/x", 4000);
    let named_at = Instant::now();
    tokio::time::sleep(NOTICE_TIME + Duration::from_secs(2)).await;
    bed.host.signal(nix::sys::signal::Signal::SIGKILL)?;
    let taken_over = wait_until(Duration::from_secs(10), || {
        let mut others = hosts.iter();
        others.any(|host| !host.log_lines(&["coordinator lease acquired"]).is_empty())
    })
    .await;
    assert_that!(taken_over, eq(true));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let ended_at = Instant::now();
    load.stop().await;
    for server in &servers {
        let most = most_in_window(server, named_at + NOTICE_TIME, ended_at);
        assert_that!(most, le(allowed(2.0)));
        let last = ended_at - WINDOW;
        assert_that!(arrivals_between(server, last, ended_at), ge(4));
    }
    Ok(())
}

/// Guards against requests that wait for their deadline, or are told a wrong time, when all servers are limited; and against
/// requests that are refused although a slot is free in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn when_all_servers_are_limited_callers_learn_when_to_return() -> Outcome {
    let bed = TestBed::start().await?;
    let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
    assert_that!(acquired, eq(true));
    tokio::time::sleep(Duration::from_secs(1)).await;
    for server in &bed.plain {
        server.say_limit(Some("0.25"));
    }
    // Each server names its limit with its first answer, and its first slot is an interval later.
    for number in 0..4 {
        bed.ask(&CallerRequest::new(&format!("first-{number}"), "/app/x"))
            .await?;
    }
    let slots_at = Instant::now() + Duration::from_secs(4);
    for path in ["/app/x", "/book/x"] {
        let asked_at = Instant::now();
        let request = CallerRequest::new(&format!("early{}", &path[..5]), path);
        let answer = bed.ask(&request).await?;
        assert_that!(answer.status, some(eq(503)), "{path}");
        assert_that!(
            asked_at.elapsed(),
            le(Duration::from_millis(500)),
            "{path}: refused at once"
        );
        let returns_at = asked_at + Duration::from_secs_f64(answer.retry_after.unwrap_or(0.0));
        let earliest = slots_at - Duration::from_secs(1);
        let latest = slots_at + Duration::from_secs(3);
        assert_that!(
            returns_at >= earliest && returns_at <= latest,
            eq(true),
            "{path}: {answer:?}"
        );
    }
    let is_logged = wait_until(Duration::from_secs(2), || {
        bed.host.log_lines(&["servers-limited"]).len() >= 2
    })
    .await;
    assert_that!(is_logged, eq(true));
    tokio::time::sleep_until((slots_at - Duration::from_secs(1)).into()).await;
    let patient = bed.ask(&CallerRequest::new("patient", "/app/x")).await?;
    assert_that!(patient.status, some(eq(200)), "waits for its slot");
    Ok(())
}

/// Load pattern: streams break at the only engine of their model, which is limited, and go on there. Guards against
/// resumptions that are not counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_streams_count_towards_the_limit() -> Outcome {
    let mut bed = TestBed::start().await?;
    let hosts = add_hosts(&mut bed, 2).await?;
    let all: Vec<&HostProcess> = [&bed.host].into_iter().chain(&hosts).collect();
    // Else the model is loaded there, and the streams leave the limited engine.
    bed.engines[1].vanish();
    bed.engines[0].say_limit(Some("2"));
    bed.engines[0].set_fault(BackendFault::BreakNewStream);
    let mut loads = Vec::new();
    for host in &all {
        let address = host.callers;
        let name = host.name.clone();
        loads.push(tokio::spawn(async move {
            let started = Instant::now();
            let mut number = 0;
            while started.elapsed() < NOTICE_TIME + Duration::from_secs(6) {
                let id = format!("resume-{name}-{number}");
                // The caller judges no answer here: some streams can't go on.
                let _ = Caller::once(address, &model_request(&id, "/resume/stream/x", "m2")).await;
                number += 1;
                tokio::time::sleep(CALL_PAUSE).await;
            }
        }));
    }
    let named_at = Instant::now();
    for load in loads {
        load.await?;
    }
    let ended_at = Instant::now();
    let most = most_in_window(&bed.engines[0], named_at + NOTICE_TIME, ended_at);
    assert_that!(most, le(allowed(2.0)));
    let requests = bed.engines[0].requests();
    let resumed = requests
        .iter()
        .filter(|seen| seen.header("last-event-id").is_some());
    assert_that!(resumed.count(), ge(1));
    Ok(())
}

/// Load pattern: callers ask for a model, less often than one engine could serve and more often than its only engine takes
/// requests. Guards against a model that stays there while another engine has room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_model_of_a_limited_engine_is_loaded_elsewhere() -> Outcome {
    let mut bed = TestBed::start().await?;
    add_hosts(&mut bed, 1).await?;
    bed.engines[0].say_limit(Some("0.5"));
    let mut asked = JoinSet::new();
    for number in 0..40 {
        let request = model_request(&format!("elsewhere-{number}"), "/llm/stream/x", "m2");
        let address = bed.host.callers;
        asked.spawn(async move {
            let answer = Caller::once(address, &request).await;
            answer.is_ok_and(|answer| answer.status == Some(200))
        });
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let served = asked.join_all().await;
    let orders = bed.engines[1].orders();
    let is_loaded = orders
        .iter()
        .any(|order| order.op == "load" && order.subject == "m2" && order.status == 202);
    assert_that!(is_loaded, eq(true));
    let last = served.iter().rev().take(10);
    assert_that!(last.filter(|is_served| **is_served).count(), ge(9));
    Ok(())
}
