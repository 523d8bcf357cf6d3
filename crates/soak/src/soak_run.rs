use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use zinniahinge_platform_standins::Admission;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::StoreFault;

use crate::CallerRecord;
use crate::ColdSpan;
use crate::LinkMode;
use crate::PlannedFault;
use crate::Result;
use crate::SoakError;
use crate::SoakSettings;
use crate::broken_promises;
use crate::caller_task::call;
use crate::fault_plan::plan_cold_times;
use crate::fault_plan::plan_faults;
use crate::fault_plan::plan_limits;
use crate::fault_plan::plan_refusal_copies;
use crate::fault_task::strike;
use crate::promise_check::SoakRecords;
use crate::soak_world::PLAIN_SERVERS;
use crate::soak_world::SoakWorld;
use crate::soak_world::TURNED_KEY;
use crate::soak_world::locked;

/// After the last fault every host serves again within this time; from the platform's settings.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Pause between two tries to be served.
const RECOVERY_PAUSE: Duration = Duration::from_millis(100);

/// Time in which what is on its way at the end arrives at a backend server.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// What a run showed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Faults that were played.
    pub faults: Vec<PlannedFault>,
    /// Requests of callers.
    pub requests: usize,
    /// Those that were answered with success, wholly.
    pub served: usize,
    /// Promises that were broken, in words.
    pub broken: Vec<String>,
}

/// Plays one seed.
pub async fn run(settings: &SoakSettings) -> Result<SoakReport> {
    let world = Arc::new(SoakWorld::start(settings).await?);
    let backends = locked(&world.backends).len();
    let SoakSettings {
        seed,
        fault_time,
        hosts,
        callers,
        only_refusals,
        only_limits,
        only_cold,
        ..
    } = *settings;
    let servers = (PLAIN_SERVERS, backends);
    let faults = if only_refusals {
        plan_refusal_copies(seed, fault_time, servers)
    } else if only_limits {
        plan_limits(seed, fault_time, servers)
    } else if only_cold {
        plan_cold_times(seed, fault_time, servers)
    } else {
        plan_faults(seed, fault_time, hosts, servers)
    };
    let mut strikes = JoinSet::new();
    for fault in faults.iter().cloned() {
        let world = world.clone();
        strikes.spawn(async move { strike(&world, fault).await });
    }
    let until = Instant::now() + fault_time;
    let mut calls = JoinSet::new();
    for number in 0..callers {
        calls.spawn(call(world.clone(), number, seed, until));
    }
    let calls: Vec<CallerRecord> = calls.join_all().await.into_iter().flatten().collect();
    // Planned stops may take longer than the calls.
    for struck in strikes.join_all().await {
        struck?;
    }
    heal(&world);
    let mut broken = Vec::new();
    for slot in &world.hosts {
        if let Some(fault) = recovery_fault(&world, &slot.name).await {
            broken.push(fault);
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let served = calls.iter().filter(|call| is_served(call)).count();
    let requests = calls.len();
    broken.extend(broken_promises(&collect(&world, calls)));
    if let Some(folder) = settings.keep_logs.as_deref().filter(|_| !broken.is_empty()) {
        keep_logs(&world, folder)
            .await
            .map_err(SoakError::of("keep the hosts' logs"))?;
    }
    Ok(SoakReport {
        faults,
        requests,
        served,
        broken,
    })
}

fn is_served(call: &CallerRecord) -> bool {
    let answer = call.answer.as_ref();
    answer.is_some_and(|answer| answer.status == Some(200) && answer.body.is_some())
}

/// Ends every fault that overlapping ones may have left.
fn heal(world: &SoakWorld) {
    world.store.set_fault(StoreFault::None);
    for slot in &world.hosts {
        slot.store_link.set_mode(LinkMode::Open);
    }
    let backends = locked(&world.backends);
    for backend in backends.iter() {
        backend.server.set_fault(BackendFault::None);
        backend.server.set_admission(Admission::Open);
        backend.link.set_mode(LinkMode::Open);
    }
}

/// What a host still doesn't serve after the time to recover.
async fn recovery_fault(world: &SoakWorld, name: &str) -> Option<String> {
    let slot = world.hosts.iter().find(|slot| slot.name == name)?;
    let started = Instant::now();
    let mut number = 0;
    for (path, model) in [("/app/x", None), ("/llm/stream/x", Some("m3"))] {
        loop {
            number += 1;
            let address = *locked(&slot.callers);
            let request = CallerRequest {
                model,
                ..CallerRequest::new(&format!("recovery-{name}-{number}"), path)
            };
            let answer = Caller::once(address, &request).await;
            let status = answer.as_ref().ok().and_then(|answer| answer.status);
            if status == Some(200) {
                break;
            }
            if started.elapsed() > RECOVERY_LIMIT {
                return Some(format!(
                    "{name} does not serve {path} {RECOVERY_LIMIT:?} after the last fault: {answer:?}"
                ));
            }
            tokio::time::sleep(RECOVERY_PAUSE).await;
        }
    }
    None
}

fn collect(world: &SoakWorld, calls: Vec<CallerRecord>) -> SoakRecords {
    let backends = locked(&world.backends);
    let servers = || backends.iter().map(|backend| &backend.server);
    let requests = servers().flat_map(|server| server.requests());
    let mut orders: Vec<_> = servers().map(|server| server.orders()).collect();
    for orders in &mut orders {
        orders.sort_by_key(|order| order.at);
    }
    let restarts = servers().flat_map(|server| {
        let crashes = server.crashes().into_iter();
        crashes.map(|at| (server.id().to_owned(), at))
    });
    SoakRecords {
        calls,
        requests: requests.collect(),
        orders,
        cold: servers().flat_map(cold_spans).collect(),
        restarts: restarts.collect(),
        work: servers().map(|server| server.work()).collect(),
        peaks_mb: servers().map(|server| server.peak_mb()).collect(),
        turned_key: TURNED_KEY,
        key_turns: locked(&world.key_turns).clone(),
        disturbances: locked(&world.disturbances).clone(),
        second_place: world.second_place.clone(),
        evacuations: locked(&world.evacuations).clone(),
    }
}

fn cold_spans(server: &BackendServer) -> Vec<ColdSpan> {
    let spans = server.cold_spans().into_iter();
    let spans = spans.map(|(from, until)| ColdSpan {
        server: server.id().to_owned(),
        from,
        until,
    });
    spans.collect()
}

async fn keep_logs(world: &SoakWorld, folder: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    for (number, (name, text)) in locked(&world.ended_logs).iter().enumerate() {
        std::fs::write(folder.join(format!("{name}-ended-{number}.log")), text)?;
    }
    for slot in &world.hosts {
        if let Some(process) = &*slot.process.lock().await {
            std::fs::write(
                folder.join(format!("{}.log", slot.name)),
                process.log_text(),
            )?;
        }
    }
    Ok(())
}
