use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_platform_standins::Admission;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::RefusalCopies;
use zinniahinge_platform_standins::ReportDelay;
use zinniahinge_platform_standins::StoreFault;

use crate::LinkMode;

/// Faults a second. They last longer than the time between them, so that they overlap.
const FAULTS_PER_S: f64 = 0.8;

/// Servers that ask something of hosts, a second.
const SERVER_REQUESTS_PER_S: f64 = 0.3;

/// Faults a second that make it hard to know whether an engine still works on a request.
const HIDDEN_RUNS_PER_S: f64 = 0.5;

/// Faults a second after which a server sends its refusals once more.
const REFUSAL_COPIES_PER_S: f64 = 0.5;

/// Servers that name a limit, a second.
const LIMITS_PER_S: f64 = 0.25;

/// Returns of the store from a copy, a second.
const STORE_RETURNS_PER_S: f64 = 0.08;

/// Makes the draws of these faults differ from the others'.
const STORE_RETURNS_SALT: u64 = 0xbf58_476d_1ce4_e5b9;

/// Least and greatest limit, requests a second.
const LIMIT_RANGE: (f64, f64) = (0.3, 20.0);

/// Groups of servers that become cold, a second.
const COLD_TIMES_PER_S: f64 = 0.25;

/// Makes the draws of these faults differ from the others'.
const COLD_SALT: u64 = 0xbf58_476d_1ce4_e5b9;
/// Evacuations of the second data centre, a second.
const EVACUATIONS_PER_S: f64 = 0.1;

/// Makes the draws of these faults differ from the others'.
const EVACUATIONS_SALT: u64 = 0xa076_1d64_78bd_642f;

/// Makes the draws of these faults differ from the others'.
const LIMITS_SALT: u64 = 0x94d0_49bb_1331_11eb;

/// Makes the draws of these faults differ from the others'.
const REFUSAL_COPIES_SALT: u64 = 0xd1b5_4a32_d192_ed03;

/// Makes the draws of these faults differ from the others'.
const HIDDEN_RUNS_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Quiet time at the start, in which hosts start and the first one gets the duty.
const LEAD: Duration = Duration::from_secs(1);

/// What strikes.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A host's process is stopped by a signal and goes on later.
    PauseHost(usize),
    /// A host's process is killed and started again later.
    KillHost(usize),
    /// A host's process is asked to end, and started again when it has ended.
    StopHost(usize),
    /// All host processes are killed at once.
    KillAllHosts,
    /// The store misbehaves for all.
    Store(StoreFault),
    /// The store returns from a copy that is as old as the fault lasts, and what operators and servers wrote since is written
    /// again.
    ReturnStore,
    /// The store forgets its history.
    DropHistory,
    /// The link from a host to the store.
    StoreLink(usize, LinkMode),
    /// The link from all hosts to a backend server.
    BackendLink(usize, LinkMode),
    /// A backend server misbehaves.
    Backend(usize, BackendFault),
    /// An engine's reports come late, or describe an earlier time.
    ReportDelay(usize, ReportDelay),
    /// An engine takes no new connections while it works on a request.
    Admission(usize, Admission),
    /// Backend servers misbehave together.
    Service(Range<usize>, BackendFault),
    /// Plain backend servers end, and others start at their addresses. The entries in the store follow later.
    SucceedBackends(Range<usize>),
    /// A plain backend server leaves, and another one comes.
    ReplaceBackend(usize),
    /// A plain backend server says in its answers that it leaves, a while before the store does, and another one comes.
    LeaveByAnswer(usize),
    /// Backend servers name the first limit, the second one from the middle of the time, and then none.
    NameLimit(Range<usize>, [f64; 2]),
    /// Plain backend servers become cold.
    BecomeCold(Range<usize>),
    /// Plain backend servers start again at once, cold.
    StartCold(Range<usize>),
    /// The second data centre is evacuated, and taken back.
    Evacuate,
    /// The configuration gets another version.
    ChangeConfig,
    /// The second key of the account is withdrawn, or given again.
    TurnKey,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time from the start.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What strikes.
    pub kind: FaultKind,
}

/// Draws the faults of a run; `backends` counts all backend servers, `plain` those without models, which come first.
pub fn plan_faults(
    seed: u64,
    time: Duration,
    hosts: usize,
    (plain, backends): (usize, usize),
) -> Vec<PlannedFault> {
    let mut faults = draw_faults(seed, FAULTS_PER_S, time, 200..4_000, |random| {
        let host = random.random_range(0..hosts);
        match random.random_range(0..20) {
            0..3 => FaultKind::PauseHost(host),
            3..5 => FaultKind::KillHost(host),
            5..7 => FaultKind::StopHost(host),
            7 => FaultKind::KillAllHosts,
            8..10 => FaultKind::Store(store_fault(random)),
            10 => FaultKind::DropHistory,
            11..13 => FaultKind::StoreLink(host, link_mode(random)),
            13..15 => FaultKind::BackendLink(random.random_range(0..backends), link_mode(random)),
            15..17 => FaultKind::Backend(random.random_range(0..backends), backend_fault(random)),
            17 => FaultKind::ReplaceBackend(random.random_range(0..plain)),
            18 => FaultKind::ChangeConfig,
            _ => FaultKind::TurnKey,
        }
    });
    faults.extend(plan_server_requests(seed, time, (plain, backends)));
    faults.extend(plan_hidden_runs(seed, time, (plain, backends)));
    faults.extend(plan_refusal_copies(seed, time, (plain, backends)));
    faults.extend(plan_limits(seed, time, (plain, backends)));
    faults.extend(plan_cold_times(seed, time, (plain, backends)));
    faults.extend(plan_evacuations(seed, time));
    let seed = seed ^ STORE_RETURNS_SALT;
    let returns = draw_faults(seed, STORE_RETURNS_PER_S, time, 300..5_000, |_| {
        FaultKind::ReturnStore
    });
    faults.extend(returns);
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws what servers ask of hosts. Drawn apart, so that the other faults of a seed stay as they are.
fn plan_server_requests(
    seed: u64,
    time: Duration,
    (plain, backends): (usize, usize),
) -> Vec<PlannedFault> {
    draw_faults(!seed, SERVER_REQUESTS_PER_S, time, 500..3_000, |random| {
        let backend = random.random_range(0..backends);
        match random.random_range(0..4) {
            0 => FaultKind::LeaveByAnswer(backend % plain),
            1 => FaultKind::Backend(backend, BackendFault::Pause("1.5")),
            2 => FaultKind::Backend(backend, BackendFault::Pause("3")),
            _ => FaultKind::Backend(backend, BackendFault::LateBareRefusal),
        }
    })
}

/// Draws faults after which an engine works on a request although its connection ended or its reports don't show it. Drawn
/// apart, so that the other faults of a seed stay as they are.
fn plan_hidden_runs(
    seed: u64,
    time: Duration,
    (plain, backends): (usize, usize),
) -> Vec<PlannedFault> {
    let seed = seed ^ HIDDEN_RUNS_SALT;
    draw_faults(seed, HIDDEN_RUNS_PER_S, time, 500..4_000, |random| {
        let engine = random.random_range(plain..backends);
        let work = Duration::from_millis(random.random_range(500..2_000));
        match random.random_range(0..7) {
            0..2 => {
                let fault = BackendFault::WorkOn(random.random_range(0..4), work);
                FaultKind::Backend(engine, fault)
            }
            2 => FaultKind::Backend(engine, BackendFault::Queue(work)),
            3 => FaultKind::Backend(engine, BackendFault::Stall(work)),
            4 => {
                let (answer, age) = (Duration::from_secs(1), Duration::from_millis(200));
                FaultKind::ReportDelay(engine, ReportDelay { answer, age })
            }
            5 => FaultKind::Admission(engine, Admission::Close),
            _ => FaultKind::Admission(engine, Admission::Refuse),
        }
    })
}

/// Draws servers that refuse requests and send each refusal once more. Drawn apart, so that the other faults of a seed stay
/// as they are.
pub fn plan_refusal_copies(
    seed: u64,
    time: Duration,
    (plain, backends): (usize, usize),
) -> Vec<PlannedFault> {
    let seed = seed ^ REFUSAL_COPIES_SALT;
    draw_faults(seed, REFUSAL_COPIES_PER_S, time, 1_000..5_000, |random| {
        let servers = draw_servers(random, 0.6, (plain, backends));
        if servers.end <= plain && random.random_bool(0.4) {
            return FaultKind::SucceedBackends(servers);
        }
        let copies = RefusalCopies {
            percent: random.random_range(20..80),
            seed: random.random(),
            at_most: u64::MAX,
            status: [503, 503, 429][random.random_range(0..3)],
            names_request: random.random_bool(0.8),
            early: [0, 0, 0, 1, 40][random.random_range(0..5)],
            work_delay: Duration::from_millis(random.random_range(0..40)),
        };
        FaultKind::Service(servers, BackendFault::RefusalCopies(copies))
    })
}

/// Draws servers that name limits, in the first half of the time, so that callers send while the limits bind. Drawn apart, so
/// that the other faults of a seed stay as they are.
pub fn plan_limits(
    seed: u64,
    time: Duration,
    (plain, backends): (usize, usize),
) -> Vec<PlannedFault> {
    let seed = seed ^ LIMITS_SALT;
    let mut faults = draw_faults(seed, LIMITS_PER_S, time, 4_000..9_000, |random| {
        let servers = draw_servers(random, 0.4, (plain, backends));
        let (least, greatest) = LIMIT_RANGE;
        // Small and large limits are as frequent.
        let limits = [(); 2].map(|()| least * (greatest / least).powf(random.random::<f64>()));
        FaultKind::NameLimit(servers, limits.map(|limit| (limit * 10.0).round() / 10.0))
    });
    for fault in &mut faults {
        fault.at /= 2;
    }
    faults
}

/// Draws plain servers that become cold. Drawn apart, so that the other faults of a seed stay as they are.
pub fn plan_cold_times(seed: u64, time: Duration, (plain, _): (usize, usize)) -> Vec<PlannedFault> {
    let seed = seed ^ COLD_SALT;
    draw_faults(seed, COLD_TIMES_PER_S, time, 2_000..5_000, |random| {
        let first = random.random_range(0..plain);
        let servers = first..random.random_range(first + 1..=plain);
        if random.random_bool(0.5) {
            FaultKind::BecomeCold(servers)
        } else {
            FaultKind::StartCold(servers)
        }
    })
}

/// Draws evacuations. Drawn apart, so that the other faults of a seed stay as they are.
fn plan_evacuations(seed: u64, time: Duration) -> Vec<PlannedFault> {
    let seed = seed ^ EVACUATIONS_SALT;
    draw_faults(seed, EVACUATIONS_PER_S, time, 3_000..9_000, |_| {
        FaultKind::Evacuate
    })
}

/// Draws `per_s` faults a second, each with its time, its length from `lasts_ms` and then its kind.
fn draw_faults(
    seed: u64,
    per_s: f64,
    time: Duration,
    lasts_ms: Range<u64>,
    mut draw_kind: impl FnMut(&mut StdRng) -> FaultKind,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = (time.as_secs_f64() * per_s).ceil() as usize;
    let faults = (0..count).map(|_| PlannedFault {
        at: LEAD + time.saturating_sub(LEAD).mul_f64(random.random::<f64>()),
        lasts: Duration::from_millis(random.random_range(lasts_ms.clone())),
        kind: draw_kind(&mut random),
    });
    faults.collect()
}

/// Draws a service's servers, with the probability `all`, or one of them.
fn draw_servers(random: &mut StdRng, all: f64, (plain, backends): (usize, usize)) -> Range<usize> {
    let services = [0..plain, plain..backends];
    let service = services[random.random_range(0..2)].clone();
    let backend = random.random_range(service.clone());
    if random.random_bool(all) {
        service
    } else {
        backend..backend + 1
    }
}

fn store_fault(random: &mut StdRng) -> StoreFault {
    match random.random_range(0..3) {
        0 => StoreFault::Busy,
        1 => StoreFault::Silent,
        _ => StoreFault::LoseAnswers,
    }
}

fn link_mode(random: &mut StdRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Delayed(Duration::from_millis(random.random_range(20..400))),
        1 => LinkMode::CutToServer,
        2 => LinkMode::CutToClient,
        3 => LinkMode::Silent,
        _ => LinkMode::Reset,
    }
}

fn backend_fault(random: &mut StdRng) -> BackendFault {
    const FAULTS: [BackendFault; 10] = [
        BackendFault::LoseAnswer,
        BackendFault::Shed,
        BackendFault::Error,
        BackendFault::Hang,
        BackendFault::Cross,
        BackendFault::Extra,
        BackendFault::CutBody,
        BackendFault::Garbage,
        BackendFault::Unsigned,
        BackendFault::BreakStream,
    ];
    FAULTS[random.random_range(0..FAULTS.len())]
}
