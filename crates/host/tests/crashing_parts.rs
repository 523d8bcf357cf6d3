//! Requests with a prompt part that crashes each backend server which begins to answer them.

mod common;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::HostFleet;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::PlatformStore;

use crate::common::Outcome;
use crate::common::all_config;
use crate::common::model_request;
use crate::common::wait_until;

/// Part that crashes servers.
const CRASHING_PART: &str = "dead01";

/// Part at the start of all prompts.
const FIRST_PART: &str = "5c1e07";

/// Number of crashes after which the fleet must have found the part.
const ALLOWED_CRASHES: usize = 5;

/// Time after the last allowed crash from which at most [`ALLOWED_REQUESTS`] with the part may reach servers.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests with the part that may still reach servers.
const ALLOWED_REQUESTS: usize = 3;

/// Time between two requests with the part, and between two without it.
const CRASHING_INTERVAL: Duration = Duration::from_millis(200);
const SOUND_INTERVAL: Duration = Duration::from_millis(60);

/// Three hosts in front of eight engines that hold the same model and crash on the part.
struct CrashBed {
    engines: Vec<BackendServer>,
    fleet: HostFleet,
    hosts: Vec<HostProcess>,
}

/// What came of the requests that one caller sent one after the other.
struct SentRequest {
    at: Instant,
    is_served: bool,
    is_refused: bool,
    retry_after: Option<f64>,
}

impl CrashBed {
    async fn start() -> Outcome<Self> {
        let store = PlatformStore::start().await?;
        store.put_config(all_config().to_text());
        let mut engines = Vec::new();
        for number in 1..=8 {
            let id = format!("llm-{number}");
            let engine = BackendServer::start(&store, &id, "llm", &["m1"]).await?;
            engine.crash_on_part(CRASHING_PART, Duration::from_millis(700));
            engines.push(engine);
        }
        let mut fleet = HostFleet::new(env!("CARGO_BIN_EXE_zinniahinge-host"), &store)?;
        let mut hosts = Vec::new();
        for name in ["h1", "h2", "h3"] {
            hosts.push(fleet.start(name).await?);
        }
        Ok(Self {
            engines,
            fleet,
            hosts,
        })
    }

    /// When servers crashed, oldest first.
    fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<_> = self.engines.iter().flat_map(|e| e.crashes()).collect();
        crashes.sort();
        crashes
    }

    /// Number of requests with the part that reached servers after `since`.
    fn arrivals_since(&self, since: Instant) -> usize {
        let requests = self.engines.iter().flat_map(BackendServer::requests);
        let with_part = requests.filter(|seen| {
            let parts = seen.prompt_parts().unwrap_or_default();
            seen.at > since && parts.contains(CRASHING_PART)
        });
        with_part.count()
    }

    /// Sends requests with and without the part side by side, each to the hosts in turn, for `duration`. Returns those
    /// with the part and those without.
    async fn send_both(
        &self,
        name: &str,
        duration: Duration,
    ) -> (Vec<SentRequest>, Vec<SentRequest>) {
        let addresses: Vec<_> = self.hosts.iter().map(|host| host.callers).collect();
        let send = async |kind: &str, part: &str, interval: Duration| {
            let started = Instant::now();
            let mut tasks = Vec::new();
            let mut number = 0;
            while started.elapsed() < duration {
                let address = addresses[number % addresses.len()];
                let request = prompt_request(&format!("{name}-{kind}-{number}"), part, number);
                tasks.push(tokio::spawn(async move {
                    let at = Instant::now();
                    let answer = Caller::once(address, &request).await.ok();
                    SentRequest {
                        at,
                        is_served: answer.as_ref().is_some_and(|answer| {
                            answer.status == Some(200) && answer.body.is_some()
                        }),
                        is_refused: answer
                            .as_ref()
                            .is_some_and(|answer| answer.status == Some(503)),
                        retry_after: answer.and_then(|answer| answer.retry_after),
                    }
                }));
                number += 1;
                tokio::time::sleep(interval).await;
            }
            let mut sent = Vec::new();
            for task in tasks {
                sent.extend(task.await.ok());
            }
            sent
        };
        tokio::join!(
            send("crash", CRASHING_PART, CRASHING_INTERVAL),
            send("sound", "77a0", SOUND_INTERVAL),
        )
    }
}

/// A request for m1 whose prompt has the first part, `part` and a part of its own.
fn prompt_request(id: &str, part: &str, number: usize) -> CallerRequest {
    let mut request = model_request(id, "/llm/stream/x", "m1");
    let parts = format!("{FIRST_PART}:800,{part}:200,{number:x}f00d:50");
    request.state_parts(parts);
    request
}

/// Guards against requests that crash one server after the other although they share one part of their prompts, and
/// against sound requests that are refused because they share another part with them.
#[tokio::test]
async fn a_part_that_crashes_servers_stops_reaching_them() -> Outcome {
    let bed = CrashBed::start().await?;
    let (with_part, sound) = bed.send_both("day", Duration::from_secs(14)).await;
    let crashes = bed.crashes();
    let last_allowed = crashes.get(ALLOWED_CRASHES - 1).or(crashes.last());
    let last_allowed = *last_allowed.ok_or("no server crashed")?;

    let limit = last_allowed + CONTACT_TIME;
    let late = with_part.iter().filter(|sent| sent.at > limit).count();
    assert_that!(late, ge(15), "requests with the part go on");
    let arrived = bed.arrivals_since(limit);
    assert_that!(arrived, le(ALLOWED_REQUESTS), "{} crashes", crashes.len());

    let later = sound.iter().filter(|sent| sent.at > limit + CONTACT_TIME);
    let later: Vec<bool> = later.map(|sent| sent.is_served).collect();
    let served = later.iter().filter(|is_served| **is_served).count();
    assert_that!(later.len(), ge(20));
    assert_that!(served * 2, ge(later.len()), "sound requests");

    let refused = with_part
        .iter()
        .filter(|sent| sent.at > limit && sent.is_refused);
    assert_that!(refused.clone().count(), ge(10), "refused at once");
    let without_time = refused.filter(|sent| sent.retry_after.is_none());
    assert_that!(without_time.count(), eq(0), "refused without Retry-After");
    Ok(())
}

/// Guards against a fleet that has to find the part anew after all of its hosts ended.
#[tokio::test]
async fn a_blocked_part_stays_blocked_when_all_hosts_restart() -> Outcome {
    let mut bed = CrashBed::start().await?;
    bed.send_both("before", Duration::from_secs(8)).await;
    for host in std::mem::take(&mut bed.hosts) {
        host.signal(Signal::SIGKILL)?;
    }
    let restarted = Instant::now();
    for name in ["h1", "h2", "h3"] {
        bed.hosts.push(bed.fleet.restart(name).await?);
    }
    let (with_part, _) = bed.send_both("after", Duration::from_secs(4)).await;
    assert_that!(with_part.len(), ge(15));
    assert_that!(bed.arrivals_since(restarted), le(ALLOWED_REQUESTS));
    Ok(())
}

/// Guards against a fleet that forgets the part, or stops finding it, when the coordinator is lost.
#[tokio::test]
async fn a_blocked_part_stays_blocked_when_the_coordinator_is_lost() -> Outcome {
    let mut bed = CrashBed::start().await?;
    bed.send_both("before", Duration::from_secs(8)).await;
    let acquired = |host: &HostProcess| host.log_lines(&["coordinator lease acquired"]).len();
    let index = bed.hosts.iter().position(|host| acquired(host) > 0);
    let lost = bed.hosts.remove(index.ok_or("no coordinator")?);
    lost.signal(Signal::SIGKILL)?;
    let killed = Instant::now();
    let (with_part, _) = bed.send_both("after", Duration::from_secs(7)).await;
    assert_that!(with_part.len(), ge(30));
    assert_that!(bed.arrivals_since(killed), le(ALLOWED_REQUESTS));
    let is_replaced = wait_until(Duration::from_secs(5), || {
        bed.hosts.iter().any(|host| acquired(host) > 0)
    });
    assert_that!(is_replaced.await, eq(true));
    Ok(())
}
