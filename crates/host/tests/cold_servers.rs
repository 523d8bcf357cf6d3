//! What cold backend servers get of all hosts together, with real hosts.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use tokio::task::JoinSet;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ColdTiming;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::StoreFault;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::acquires_lease;
use crate::common::all_config;

/// Time for which servers are cold, and requests a second that they take then.
const COLD_TIME: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 6.5;

/// Most requests in a second at a cold server: the factor and the further requests are in the hosts' settings.
const MOST_IN_A_SECOND: usize = (COLD_PER_S * 1.5 + 5.0) as usize;

/// Time within which a change of the store is known to all hosts of a quiet fleet.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Caller tasks for each host, and the pause between two requests of one.
const TASKS_PER_HOST: usize = 4;
const CALL_PAUSE: Duration = Duration::from_millis(15);

/// What befalls a fleet whose callers send far more than a cold server takes.
#[derive(Clone, Copy, Debug)]
enum ColdFault {
    /// The server starts again under its id, cold, and its entry follows later.
    ComesBack,
    /// The server becomes cold without a new start.
    BecomesCold,
    /// The coordinator is killed while the server is cold.
    CoordinatorLost,
    /// Neither store nor coordinator answers the other hosts while the server is cold.
    OutOfTouch,
}

struct ColdCase {
    fault: ColdFault,
    hosts: usize,
    /// Part of each cold time that isn't counted, since the hosts can't know of it.
    notice: Duration,
    /// Requests to the server in the eight seconds after it at least. Without a coordinator, few: the other server is idle, and
    /// connected.
    least: usize,
}

/// Sends requests to all hosts until `until`; returns how many were served.
async fn send_load(hosts: &[&HostProcess], until: Instant) -> usize {
    let mut tasks = JoinSet::new();
    for host in hosts {
        for number in 0..TASKS_PER_HOST {
            let (address, prefix) = (host.callers, format!("{}-{number}", host.name));
            tasks.spawn(async move {
                let (mut sent, mut served) = (0, 0);
                while Instant::now() < until {
                    let request = CallerRequest {
                        deadline_ms: 2000,
                        ..CallerRequest::new(&format!("{prefix}-{sent}"), "/app/x")
                    };
                    sent += 1;
                    // Hosts end meanwhile.
                    let answer = Caller::once(address, &request).await;
                    served += usize::from(answer.is_ok_and(|answer| answer.status == Some(200)));
                    tokio::time::sleep(CALL_PAUSE).await;
                }
                served
            });
        }
    }
    tasks.join_all().await.into_iter().sum()
}

/// Makes the first server cold as the case says.
async fn strike(bed: &TestBed, fault: ColdFault) -> Outcome {
    let server = &bed.plain[0];
    match fault {
        ColdFault::ComesBack => {
            server.set_cold_timing(ColdTiming {
                cold: COLD_TIME,
                downtime: Duration::from_millis(300),
                entry_delay: Duration::from_millis(500),
            });
            server.restart();
        }
        ColdFault::BecomesCold => server.become_cold(COLD_TIME),
        ColdFault::CoordinatorLost => {
            server.become_cold(COLD_TIME * 2);
            tokio::time::sleep(Duration::from_secs(1)).await;
            bed.host.signal(Signal::SIGKILL)?;
        }
        ColdFault::OutOfTouch => {
            server.become_cold(COLD_TIME * 2);
            tokio::time::sleep(Duration::from_secs(1)).await;
            bed.store.set_fault(StoreFault::Silent);
            bed.host.signal(Signal::SIGSTOP)?;
        }
    }
    Ok(())
}

/// Load pattern: callers send hundreds of requests a second, and a server becomes cold. Guards against hosts that together send
/// it more than it bears, and against hosts that send it nothing any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cold_server_gets_no_more_than_it_bears() -> Outcome {
    let case = |fault, hosts, notice, least| ColdCase {
        fault,
        hosts,
        notice,
        least,
    };
    let cases = [
        case(ColdFault::ComesBack, 3, Duration::ZERO, 40),
        case(ColdFault::BecomesCold, 3, NOTICE_TIME, 40),
        case(ColdFault::CoordinatorLost, 4, NOTICE_TIME, 1),
        case(ColdFault::OutOfTouch, 4, NOTICE_TIME, 1),
    ];
    for case in cases {
        let name = format!("{:?}", case.fault);
        let config = ConfigText {
            cold_start: Some((COLD_TIME.as_secs_f64(), COLD_PER_S)),
            ..all_config()
        };
        let mut bed = TestBed::with_config(&config).await?;
        let acquired = acquires_lease(&bed.host, Duration::from_secs(5)).await;
        assert_that!(acquired, eq(true));
        let mut others = Vec::new();
        for number in 2..=case.hosts {
            others.push(bed.fleet.start(&format!("h{number}")).await?);
        }
        let ended_first = matches!(
            case.fault,
            ColdFault::CoordinatorLost | ColdFault::OutOfTouch
        );
        let asked = [&bed.host].into_iter().filter(|_| !ended_first);
        let asked: Vec<&HostProcess> = asked.chain(&others).collect();
        let started = Instant::now();
        let until = started + Duration::from_secs(10);
        let load = send_load(&asked, until);
        let struck = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            strike(&bed, case.fault).await
        };
        let (served, struck) = tokio::join!(load, struck);
        struck?;
        if matches!(case.fault, ColdFault::OutOfTouch) {
            bed.host.signal(Signal::SIGCONT)?;
        }
        let server = &bed.plain[0];
        assert_that!(server.cold_spans().len(), eq(1), "{name}");
        let most = server.most_while_cold(case.notice);
        assert_that!(most, le(MOST_IN_A_SECOND), "{name}");
        let from = started + Duration::from_secs(2) + NOTICE_TIME;
        let requests = server.requests();
        let since = requests.iter().filter(|seen| seen.at >= from);
        assert_that!(since.count(), ge(case.least), "{name}: still used");
        assert_that!(served, ge(300), "{name}: the other server goes on");
    }
    Ok(())
}

/// Guards against slots, and messages about them, where no configuration asks for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_cold_start_cold_times_change_nothing() -> Outcome {
    let bed = TestBed::start().await?;
    bed.plain[0].become_cold(COLD_TIME);
    let until = Instant::now() + Duration::from_secs(2);
    let served = send_load(&[&bed.host], until).await;
    assert_that!(served, ge(100));
    assert_that!(bed.host.log_lines(&["slot"]).len(), eq(0));
    assert_that!(bed.host.log_lines(&["pace"]).len(), eq(0));
    Ok(())
}
