//! What backend servers ask of hosts in their answers: to send nothing more because they leave, or nothing for a while.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::CallerRequest;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::model_request;

/// Time after a refusal with a pause until which requests may still reach the server, from the platform's rules.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// Requests that may reach a server during its pause, from the platform's rules.
const ALLOWED_IN_PAUSE: usize = 2;

/// Sends requests one after the other for `duration`, and returns how many were served.
async fn send_for(bed: &TestBed, name: &str, path: &str, duration: Duration) -> Outcome<usize> {
    let started = Instant::now();
    let mut served = 0;
    let mut number = 0;
    while started.elapsed() < duration {
        let id = format!("{name}-{number}");
        let request = if path.contains("/stream/") {
            model_request(&id, path, "m1")
        } else {
            CallerRequest::new(&id, path)
        };
        served += usize::from(bed.ask(&request).await?.status == Some(200));
        number += 1;
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    Ok(served)
}

fn arrivals_between(server: &BackendServer, from: Instant, until: Instant) -> usize {
    let requests = server.requests();
    let during = requests
        .iter()
        .filter(|seen| seen.at > from && seen.at < until);
    during.count()
}

struct LeavingCase {
    name: &'static str,
    path: &'static str,
    /// True if the service is one of engines.
    engines: bool,
}

/// Guards against requests that a host sends to a server after it passed on an answer which says that the server leaves,
/// although the store still lists the server as ready.
#[tokio::test]
async fn a_server_that_says_it_leaves_gets_no_more_requests() -> Outcome {
    let cases = [
        LeavingCase {
            name: "plain",
            path: "/app/x",
            engines: false,
        },
        LeavingCase {
            name: "booking",
            path: "/book/x",
            engines: false,
        },
        LeavingCase {
            name: "stream",
            path: "/llm/stream/x",
            engines: true,
        },
    ];
    for case in cases {
        let name = case.name;
        let bed = TestBed::start().await?;
        let servers = if case.engines {
            &bed.engines
        } else {
            &bed.plain
        };
        send_for(&bed, name, case.path, Duration::from_millis(400)).await?;
        servers[0].say_leaving();
        let before = servers[0].requests().len();
        let leaving = format!("{name}-leaving");
        let served = send_for(&bed, &leaving, case.path, Duration::from_secs(2)).await?;
        assert_that!(served, ge(10), "{name}: the other server goes on");
        let after = servers[0].requests().len() - before;
        assert_that!(after, le(1), "{name}: one answer says that it leaves");

        // Neither a new entry nor its disappearance brings this run back.
        servers[0].write_entry("ready");
        send_for(
            &bed,
            &format!("{name}-listed"),
            case.path,
            Duration::from_secs(1),
        )
        .await?;
        servers[0].vanish();
        tokio::time::sleep(Duration::from_millis(600)).await;
        servers[0].write_entry("ready");
        send_for(
            &bed,
            &format!("{name}-back"),
            case.path,
            Duration::from_secs(1),
        )
        .await?;
        assert_that!(
            servers[0].requests().len() - before,
            eq(after),
            "{name}: same run"
        );
        if !case.engines {
            // The host goes on with the server that it is connected to, unless that leaves, too.
            servers[0].restart();
            servers[1].say_leaving();
            send_for(
                &bed,
                &format!("{name}-new"),
                case.path,
                Duration::from_secs(2),
            )
            .await?;
            let new = servers[0].requests().len() - before - after;
            assert_that!(new, ge(3), "{name}: the next run is another server");
        }
    }
    Ok(())
}

struct PauseCase {
    /// Value of `Retry-After`.
    value: &'static str,
    /// Time for which the server wants nothing; zero if the value asks for no pause.
    pause: Duration,
}

/// Guards against requests that reach a server during the pause that it asked for, and against values that ask for none
/// and stop a host from using the server.
#[tokio::test]
async fn a_server_that_asks_for_a_pause_gets_one() -> Outcome {
    let pause = |value, pause_ms| PauseCase {
        value,
        pause: Duration::from_millis(pause_ms),
    };
    let cases = [
        pause("2", 2000),
        pause("1.5", 1500),
        pause(" 1 ", 1000),
        pause("99999999999999999999", 2000),
        pause("0", 0),
        pause("-5", 0),
        pause("soon", 0),
        pause("NaN", 0),
        pause("Wed, 21 Oct 2037 07:28:00 GMT", 0),
    ];
    for case in cases {
        let value = case.value;
        let bed = TestBed::start().await?;
        bed.plain[0].set_fault(BackendFault::Pause(value));
        let served = send_for(&bed, "pause", "/app/x", Duration::from_millis(2800)).await?;
        assert_that!(served, ge(20), "{value}: the other server goes on");
        let requests = bed.plain[0].requests();
        let first = requests.first().map(|seen| seen.at).ok_or("no request")?;
        if case.pause.is_zero() {
            assert_that!(requests.len(), ge(5), "{value}: asks for no pause");
            continue;
        }
        let during = arrivals_between(&bed.plain[0], first + PAUSE_GRACE, first + case.pause);
        assert_that!(during, le(ALLOWED_IN_PAUSE), "{value}");
        let at_once = arrivals_between(&bed.plain[0], first, first + PAUSE_GRACE);
        assert_that!(at_once, le(3), "{value}: the pause begins with the answer");
        let is_long = case.pause + PAUSE_GRACE > Duration::from_millis(2800) || value.len() > 9;
        let returned = requests.iter().any(|seen| seen.at >= first + case.pause);
        assert_that!(
            returned || is_long,
            eq(true),
            "{value}: used again afterwards"
        );
    }
    Ok(())
}

/// Guards against requests that wait for their deadline, or are told a wrong time, when all servers pause; and against
/// requests that are refused although a server returns in time.
#[tokio::test]
async fn when_all_servers_pause_callers_learn_when_to_return() -> Outcome {
    let bed = TestBed::start().await?;
    for server in &bed.plain {
        server.set_fault(BackendFault::Pause("2"));
    }
    let paused_at = Instant::now();
    bed.ask(&CallerRequest {
        deadline_ms: 300,
        ..CallerRequest::new("first", "/app/x")
    })
    .await?;
    for path in ["/app/x", "/book/x"] {
        let asked_at = Instant::now();
        let request = CallerRequest {
            deadline_ms: 1000,
            ..CallerRequest::new(&format!("quick{}", &path[..5]), path)
        };
        let answer = bed.ask(&request).await?;
        assert_that!(answer.status, some(eq(503)), "{path}");
        assert_that!(
            asked_at.elapsed(),
            le(Duration::from_millis(300)),
            "{path}: refused at once"
        );
        let returns_at = asked_at + Duration::from_secs_f64(answer.retry_after.unwrap_or(0.0));
        let earliest = paused_at + Duration::from_millis(1900);
        let latest = paused_at + Duration::from_millis(3000);
        assert_that!(
            returns_at >= earliest && returns_at <= latest,
            eq(true),
            "{path}: {answer:?}"
        );
    }
    for server in &bed.plain {
        server.set_fault(BackendFault::None);
    }
    let patient = bed.ask(&CallerRequest::new("patient", "/app/x")).await?;
    assert_that!(
        patient.status,
        some(eq(200)),
        "waits for the end of the pause"
    );
    assert_that!(paused_at.elapsed(), ge(Duration::from_millis(1900)));
    Ok(())
}
