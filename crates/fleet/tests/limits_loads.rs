//! Guards loads: one per cold model (I1) and never more memory than there is (I2), under faults of the pool's owner,
//! the engines, the weight store and the key-value service, for engines that honour and that ignore fencing.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::EventHistory;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::FleetRecords;
use zinniahinge_fleet::LoadKind;
use zinniahinge_fleet::LoadRecord;
use zinniahinge_fleet::LoadSource;
use zinniahinge_fleet::OpenLoad;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::TestTiming;
use zinniahinge_fleet::unserved;
use zinniahinge_fleet::wait_until;
use zinniahinge_types::EventKind;
use zinniahinge_types::ResourceKey;

const START_LIMIT: Duration = Duration::from_secs(30);
const HOSTS: usize = 3;
const ENTRIES: [&str; HOSTS] = ["entry-1", "entry-2", "entry-3"];
const ENGINES: [&str; 2] = ["engine-1", "engine-2"];

/// Models of 4 GiB each in the test's document.
const MODELS: usize = 8;

/// Memory of one engine: two models fit, so that the other models must wait for evictions.
const CAPACITY_BYTES: &str = "9000000000";

/// The demonstration document with several small models in place of the large one and the adapter.
fn document(fencing: bool) -> String {
    let (head, rest) = DEMO_LLM.split_once("[[models]]").expect("no error");
    let (_, tail) = rest.split_once("[[routes]]").expect("no error");
    let head = head.replace("fencing = true", &format!("fencing = {fencing}"));
    let head = head.replace("loads_per_second = 1.5", "loads_per_second = 4");
    let models = (0..MODELS).map(|number| {
        format!(
            "[[models]]\nname = \"m{number}\"\nmemory = \"4 GiB\"\nslots = 8\nmax_prompt_tokens = 4096\n\
             max_output_tokens = 1024\nload_ms = {{ memory = 50, disk = 300, remote = 500 }}\n\
             keep_alive_floor_ms = 100\nkeep_alive_ceiling_ms = 600000\n\n"
        )
    });
    let models: String = models.collect();
    let tail = tail.replace(
        r#"models = ["small", "small:reports"]"#,
        r#"models = ["*"]"#,
    );
    format!("{head}{models}[[routes]]{tail}")
}

struct LoadFleet {
    fleet: Fleet,
    records: FleetRecords,
}

async fn start(timing: &TestTiming, fencing: bool, capacity: &str) -> LoadFleet {
    let mode = if fencing { "honour" } else { "ignore" };
    let engine = ["--memory-capacity-bytes", capacity, "--fencing", mode];
    let engine = [&engine[..], &["--remote-load-ms", "500", "--slots", "8"]].concat();
    let builder = FleetBuilder::new()
        .with_hosts(HOSTS)
        .with_engines(ENGINES.len())
        .with_services(1)
        .with_arguments(ProgramKind::Engine, &engine)
        .with_arguments(ProgramKind::Control, timing.control_arguments());
    let document = document(fencing);
    let fleet = builder
        .start_serving(&[&document, DEMO_APP])
        .await
        .expect("started");
    let records = FleetRecords::new(&fleet).expect("no error");
    let all_own = async || {
        records
            .shard_counts()
            .await
            .is_ok_and(|counts| counts.len() == HOSTS)
    };
    wait_until("shards at all hosts", START_LIMIT, all_own)
        .await
        .expect("reached in time");
    LoadFleet { fleet, records }
}

/// One source per model; each sends to all entry processes.
fn start_load(fleet: &Fleet, models: usize, interval: Duration, entries: &[&str]) -> OpenLoad {
    let sources = (0..models).map(|number| {
        let chat = LoadKind::Chat {
            model: format!("m{number}"),
            max_tokens: 5,
        };
        LoadSource::new(&format!("m{number}"), entries, chat, interval)
    });
    let sources: Vec<LoadSource> = sources.collect();
    OpenLoad::start(fleet, &sources).expect("no error")
}

async fn states(fleet: &Fleet) -> Vec<Value> {
    let mut states = Vec::new();
    for engine in ENGINES {
        states.push(
            fleet
                .read_json(engine, "/v1/state")
                .await
                .expect("no error"),
        );
    }
    states
}

fn sum(states: &[Value], field: &str, model: Option<&str>) -> u64 {
    let values = states.iter().map(|state| match model {
        Some(model) => state["counts"][model][field].as_u64().unwrap_or(0),
        None => state[field].as_u64().unwrap_or(u64::MAX),
    });
    values.fold(0, u64::saturating_add)
}

/// Violations of I1 and I2 that the engines counted: memory beyond the capacity, and replicas beyond the orders.
async fn engine_faults(fleet: &Fleet, history: &EventHistory) -> Vec<String> {
    let states = states(fleet).await;
    let mut faults = Vec::new();
    let excess = sum(&states, "overcommit_peak_bytes", None);
    if excess > 0 {
        faults.push(format!("{excess} bytes beyond the capacity"));
    }
    for number in 0..MODELS {
        let model = format!("m{number}");
        let ordered = history.of_kind(EventKind::LoadOrdered);
        let ordered = ordered.filter(|event| *event.subject == *model).count() as u64;
        let loads = sum(&states, "loads", Some(&model));
        if loads > ordered {
            faults.push(format!("{model}: {loads} loads, {ordered} ordered"));
        }
        let duplicates = sum(&states, "duplicate_loads", Some(&model));
        if duplicates > 0 {
            faults.push(format!("{model}: {duplicates} duplicate loads"));
        }
    }
    faults
}

fn unanswered(records: &[LoadRecord]) -> Vec<String> {
    let records = records
        .iter()
        .filter(|record| !record.is_success() && !record.is_problem());
    records.map(LoadRecord::summary).collect()
}

async fn pool_owner(records: &FleetRecords) -> String {
    let service = "demo-llm".into();
    records
        .owner(&ResourceKey::Pool { service })
        .await
        .expect("no error")
}

/// Guards against one load per entry host when all of them ask for the same cold model at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_models_asked_for_everywhere_are_loaded_once() {
    let timing = TestTiming::from_environment();
    for fencing in [true, false] {
        let LoadFleet { fleet, .. } = start(&timing, fencing, "80000000000").await;
        let load = start_load(&fleet, MODELS, Duration::from_millis(150), &ENTRIES);
        tokio::time::sleep(Duration::from_secs(4)).await;
        let answers = load.finish().await;
        let mut history = EventHistory::default();
        history.collect(&fleet).await.expect("no error");
        expect_that!(unserved(&answers), is_empty());
        expect_that!(engine_faults(&fleet, &history).await, is_empty());
        let states = states(&fleet).await;
        for number in 0..MODELS {
            let model = format!("m{number}");
            let loads = sum(&states, "loads", Some(&model));
            expect_that!(loads, eq(1), "loads of {model}, fencing {fencing}");
        }
    }
}

struct FaultCase {
    guards: &'static str,
    target: FaultTarget,
}

enum FaultTarget {
    KillOwner,
    PauseOwner,
    Standin(&'static str, Value),
}

fn cases() -> Vec<FaultCase> {
    let down = json!({ "kind": "down", "duration_ms": 4000 });
    let die = json!({ "kind": "die_in_load", "delay_ms": 300, "count": 1 });
    vec![
        FaultCase {
            guards: "memory given out again by a successor that does not know of loads in flight",
            target: FaultTarget::KillOwner,
        },
        FaultCase {
            guards: "orders of an owner that wakes after a successor acted",
            target: FaultTarget::PauseOwner,
        },
        FaultCase {
            guards: "replicas of a dead engine counted as loaded",
            target: FaultTarget::Standin("engine-1", die),
        },
        FaultCase {
            guards: "orders without a record while the service is down",
            target: FaultTarget::Standin("kv", down),
        },
    ]
}

async fn run_case(fencing: bool) {
    let timing = TestTiming::from_environment();
    let LoadFleet { mut fleet, records } = start(&timing, fencing, CAPACITY_BYTES).await;
    let mut history = EventHistory::default();
    for case in cases() {
        let owner = pool_owner(&records).await;
        let control = owner.replace("host", "control");
        let entries: Vec<&str> = ENTRIES.into_iter().collect();
        let own_entry = owner.replace("host", "entry");
        let entries: Vec<&str> = entries.into_iter().filter(|e| *e != own_entry).collect();
        let load = start_load(&fleet, MODELS, Duration::from_millis(700), &entries);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        history.collect(&fleet).await.expect("no error");
        match &case.target {
            FaultTarget::KillOwner => fleet
                .process(&control)
                .expect("known")
                .kill()
                .expect("signalled"),
            FaultTarget::PauseOwner => fleet
                .process(&control)
                .expect("known")
                .pause()
                .expect("signalled"),
            FaultTarget::Standin(name, fault) => {
                fleet.add_fault(name, fault).await.expect("no error")
            }
        }
        tokio::time::sleep(4 * timing.term + Duration::from_secs(1)).await;
        match &case.target {
            FaultTarget::KillOwner => fleet
                .process(&control)
                .expect("known")
                .restart()
                .expect("signalled"),
            FaultTarget::PauseOwner => fleet
                .process(&control)
                .expect("known")
                .resume()
                .expect("signalled"),
            FaultTarget::Standin(..) => {}
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let answers = load.finish().await;
        history.collect(&fleet).await.expect("no error");
        let served = answers.iter().filter(|record| record.is_success()).count();
        println!(
            "fencing {fencing}: {served} of {} served: {}",
            answers.len(),
            case.guards
        );
        expect_that!(
            unanswered(&answers),
            is_empty(),
            "guards against {}",
            case.guards
        );
        let states = states(&fleet).await;
        let excess = sum(&states, "overcommit_peak_bytes", None);
        expect_that!(excess, eq(0), "guards against {}", case.guards);
        fleet
            .process(&control)
            .expect("known")
            .wait_ready(START_LIMIT)
            .await
            .expect("ready");
        let all_own = async || records.shard_counts().await.is_ok_and(|c| c.len() == HOSTS);
        wait_until("shards at all hosts", START_LIMIT, all_own)
            .await
            .expect("reached in time");
    }
    expect_that!(history.ownership_faults("demo-llm", &[]), is_empty());
}

/// Guards memory and replicas under pressure and faults on engines that refuse old fencing numbers.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_is_never_overcommitted_on_engines_that_honour_fencing() {
    run_case(true).await;
}

/// Guards memory and replicas under pressure and faults on engines that obey any owner.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_is_never_overcommitted_on_engines_that_ignore_fencing() {
    run_case(false).await;
}
