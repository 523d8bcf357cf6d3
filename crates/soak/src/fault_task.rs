use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use zinniahinge_platform_standins::Admission;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::ColdTiming;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::RefusalCopies;
use zinniahinge_platform_standins::RouteText;
use zinniahinge_platform_standins::StoreFault;
use zinniahinge_platform_standins::start_successor;

use crate::FaultKind;
use crate::LinkMode;
use crate::LinkProxy;
use crate::PlannedFault;
use crate::Result;
use crate::SoakError;
use crate::late_sends::STORE;
use crate::soak_world::KEPT_KEY;
use crate::soak_world::LinkedBackend;
use crate::soak_world::REPORT_DELAY;
use crate::soak_world::SECOND_PLACE;
use crate::soak_world::SoakWorld;
use crate::soak_world::TURNED_KEY;
use crate::soak_world::locked;
use crate::soak_world::start_backend;

/// Time for a host to end after it was asked to: its grace period and a little more.
const END_LIMIT: Duration = Duration::from_secs(9);

/// Time for which a killed host stays away at most.
const MAX_DOWN: Duration = Duration::from_millis(1500);

/// Time for which a backend server serves on after it said that it leaves: the platform's two seconds and a little more.
const LEAVE_TIME: Duration = Duration::from_millis(2300);

/// Time for which a server that starts again refuses connections, and after which it writes its entry.
const START_DOWNTIME: Duration = Duration::from_millis(300);
/// Time for which the store is away before it returns from a copy.
const RETURN_TIME: Duration = Duration::from_millis(400);

/// Time from the start of a server at the address of a former one until the store names it.
const ENTRY_DELAY: Duration = Duration::from_millis(300);

/// A server that refuses what is meant for another one, and sends these refusals twice.
const MISDIRECTED_COPIES: RefusalCopies = RefusalCopies {
    percent: 0,
    seed: 0,
    at_most: 0,
    status: 503,
    names_request: true,
    early: 0,
    work_delay: Duration::ZERO,
};

/// Prefixes of routes that are added.
const ADDED_PREFIXES: [&str; 4] = ["/v1/", "/v2/", "/v3/", "/v4/"];

/// Lets a fault strike at its time and ends it.
pub(crate) async fn strike(world: &SoakWorld, fault: PlannedFault) -> Result<()> {
    tokio::time::sleep(fault.at).await;
    let PlannedFault { lasts, kind, .. } = fault;
    match kind {
        FaultKind::PauseHost(host) => pause_host(world, host, lasts).await,
        FaultKind::KillHost(host) => kill_host(world, host, lasts).await,
        FaultKind::StopHost(host) => stop_host(world, host).await,
        FaultKind::KillAllHosts => {
            let hosts = 0..world.hosts.len();
            let kills = hosts.map(|host| kill_host(world, host, lasts));
            let killed = futures::future::join_all(kills).await;
            killed.into_iter().collect()
        }
        FaultKind::Store(kind) => {
            let from = Instant::now();
            world.store.set_fault(kind);
            tokio::time::sleep(lasts).await;
            world.store.set_fault(StoreFault::None);
            world.disturb(STORE, from, Instant::now());
            Ok(())
        }
        FaultKind::ReturnStore => {
            let copy = world.store.copy();
            tokio::time::sleep(lasts).await;
            world.store.set_fault(StoreFault::Silent);
            tokio::time::sleep(RETURN_TIME).await;
            world.store.return_rewritten(&copy);
            world.store.set_fault(StoreFault::None);
            Ok(())
        }
        FaultKind::DropHistory => {
            world.store.drop_history();
            Ok(())
        }
        FaultKind::Evacuate => {
            let _turn = world.evacuating.lock().await;
            world.store.evacuate(SECOND_PLACE);
            let from = Instant::now();
            tokio::time::sleep(lasts).await;
            locked(&world.evacuations).push((from, Instant::now()));
            world.store.take_back(SECOND_PLACE);
            Ok(())
        }
        FaultKind::StoreLink(host, mode) => {
            let slot = &world.hosts[host];
            let from = Instant::now();
            slot.store_link.set_mode(mode);
            tokio::time::sleep(lasts).await;
            slot.store_link.set_mode(LinkMode::Open);
            world.disturb(&slot.name, from, Instant::now());
            Ok(())
        }
        FaultKind::BackendLink(backend, mode) => {
            let from = Instant::now();
            let id = set_backend_link(world, backend, mode);
            tokio::time::sleep(lasts).await;
            set_backend_link(world, backend, LinkMode::Open);
            world.disturb(&id, from, Instant::now());
            Ok(())
        }
        FaultKind::Backend(backend, kind) => {
            locked(&world.backends)[backend].server.set_fault(kind);
            tokio::time::sleep(lasts).await;
            let backends = locked(&world.backends);
            backends[backend].server.set_fault(BackendFault::None);
            Ok(())
        }
        FaultKind::ReportDelay(engine, delay) => {
            let server = locked(&world.backends)[engine].server.clone();
            server.set_report_delay(delay);
            tokio::time::sleep(lasts).await;
            server.set_report_delay(REPORT_DELAY);
            Ok(())
        }
        FaultKind::Admission(engine, admission) => {
            let server = locked(&world.backends)[engine].server.clone();
            server.set_admission(admission);
            tokio::time::sleep(lasts).await;
            server.set_admission(Admission::Open);
            Ok(())
        }
        FaultKind::Service(servers, kind) => {
            let servers = world.servers(servers);
            for server in &servers {
                server.set_fault(kind);
            }
            tokio::time::sleep(lasts).await;
            for server in &servers {
                server.set_fault(BackendFault::None);
            }
            Ok(())
        }
        FaultKind::SucceedBackends(servers) => {
            let successions = servers.map(|server| succeed_backend(world, server, lasts));
            let succeeded = futures::future::join_all(successions).await;
            succeeded.into_iter().collect()
        }
        FaultKind::ReplaceBackend(backend) => replace_backend(world, backend).await,
        FaultKind::LeaveByAnswer(backend) => {
            let server = locked(&world.backends)[backend].server.clone();
            server.say_leaving();
            tokio::time::sleep(lasts).await;
            replace_backend(world, backend).await
        }
        FaultKind::NameLimit(servers, limits) => {
            let servers = world.servers(servers);
            for limit in limits {
                for server in &servers {
                    server.say_limit(Some(&limit.to_string()));
                }
                tokio::time::sleep(lasts / 2).await;
            }
            for server in &servers {
                server.say_limit(None);
            }
            Ok(())
        }
        FaultKind::BecomeCold(servers) => {
            for server in world.servers(servers) {
                server.become_cold(lasts);
            }
            Ok(())
        }
        FaultKind::StartCold(servers) => {
            for server in world.servers(servers) {
                server.set_cold_timing(ColdTiming {
                    cold: lasts,
                    downtime: START_DOWNTIME,
                    entry_delay: START_DOWNTIME,
                });
                server.restart();
            }
            Ok(())
        }
        FaultKind::ChangeConfig => {
            let mut config = locked(&world.config);
            config.version += 1;
            let prefix = ADDED_PREFIXES[config.version as usize % ADDED_PREFIXES.len()];
            let known = config
                .routes
                .iter()
                .position(|route| route.prefix == prefix);
            match known {
                Some(index) => drop(config.routes.remove(index)),
                None => config.routes.push(RouteText {
                    prefix,
                    ..RouteText::default()
                }),
            }
            world.store.put_config(config.to_text());
            Ok(())
        }
        FaultKind::TurnKey => {
            let mut config = locked(&world.config);
            config.version += 1;
            let is_given = config.keys.len() == 1;
            config.keys = if is_given {
                vec![KEPT_KEY, TURNED_KEY]
            } else {
                vec![KEPT_KEY]
            };
            world.store.put_config(config.to_text());
            locked(&world.key_turns).push((Instant::now(), is_given));
            Ok(())
        }
    }
}

/// Sets the link of a backend server; returns its id.
fn set_backend_link(world: &SoakWorld, backend: usize, mode: LinkMode) -> String {
    let backends = locked(&world.backends);
    backends[backend].link.set_mode(mode);
    backends[backend].server.id().to_owned()
}

fn signal(process: &HostProcess, signal: Signal) -> Result<()> {
    process
        .signal(signal)
        .map_err(SoakError::of("signal a host"))
}

async fn pause_host(world: &SoakWorld, host: usize, lasts: Duration) -> Result<()> {
    let slot = &world.hosts[host];
    let process = slot.process.lock().await;
    let from = Instant::now();
    if let Some(process) = &*process {
        signal(process, Signal::SIGSTOP)?;
        tokio::time::sleep(lasts).await;
        signal(process, Signal::SIGCONT)?;
        world.disturb(&slot.name, from, Instant::now());
    }
    Ok(())
}

async fn kill_host(world: &SoakWorld, host: usize, lasts: Duration) -> Result<()> {
    let slot = &world.hosts[host];
    let mut process = slot.process.lock().await;
    let from = Instant::now();
    if let Some(killed) = process.take() {
        signal(&killed, Signal::SIGKILL)?;
        world.keep_log(&killed);
    }
    tokio::time::sleep(lasts.min(MAX_DOWN)).await;
    *process = Some(world.restart_host(slot).await?);
    world.disturb(&slot.name, from, Instant::now());
    Ok(())
}

async fn stop_host(world: &SoakWorld, host: usize) -> Result<()> {
    let slot = &world.hosts[host];
    let mut process = slot.process.lock().await;
    let from = Instant::now();
    if let Some(mut stopped) = process.take() {
        signal(&stopped, Signal::SIGTERM)?;
        let ended = stopped.wait_end(END_LIMIT).await;
        ended.map_err(SoakError::of("see a host end within its grace period"))?;
        world.keep_log(&stopped);
    }
    *process = Some(world.restart_host(slot).await?);
    world.disturb(&slot.name, from, Instant::now());
    Ok(())
}

/// Ends a plain backend server and starts another one at its address, which sends its refusals twice for `lasts`.
async fn succeed_backend(world: &SoakWorld, backend: usize, lasts: Duration) -> Result<()> {
    let successions = world.successions.lock().await;
    let former = locked(&world.backends)[backend].server.clone();
    let id = format!("{}-next", former.id());
    let started = start_successor(&former, &id, &[]).await;
    let next = started.map_err(SoakError::of("start a backend server"))?;
    next.set_fault(BackendFault::RefusalCopies(MISDIRECTED_COPIES));
    // The former one's requests are judged to the end, so it stays in the list, behind a link that nobody uses.
    let unused = LinkProxy::start(former.address()).await;
    let link = unused.map_err(SoakError::of("start a proxy"))?;
    let address = {
        let mut backends = locked(&world.backends);
        let mut present = backends.iter_mut();
        let slot = present.find(|one| one.server.id() == former.id());
        let address = slot.map(|slot| {
            slot.server = next.clone();
            slot.link.address()
        });
        backends.push(LinkedBackend {
            server: former.clone(),
            link,
        });
        address
    };
    drop(successions);
    tokio::time::sleep(ENTRY_DELAY).await;
    if let Some(address) = address {
        next.advertise(address);
    }
    former.vanish();
    tokio::time::sleep(lasts).await;
    next.set_fault(BackendFault::None);
    Ok(())
}

async fn replace_backend(world: &SoakWorld, backend: usize) -> Result<()> {
    let id = format!("app-{}", locked(&world.backends).len());
    let next = start_backend(&world.store, &id, &[]).await?;
    let former = {
        let mut backends = locked(&world.backends);
        backends[backend].server.leave();
        // The former one's requests are judged to the end, so it stays in the list behind the others.
        let former = std::mem::replace(&mut backends[backend], next);
        backends.push(former);
        backends.len() - 1
    };
    tokio::time::sleep(LEAVE_TIME).await;
    let backends = locked(&world.backends);
    backends[former].server.vanish();
    backends[former].link.set_mode(LinkMode::Reset);
    Ok(())
}
