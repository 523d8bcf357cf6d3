//! Guards waiting requests (I3): each is answered by its deadline, requests of class batch are not dropped, and full
//! model queues do not delay a status lookup.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::FleetRecords;
use zinniahinge_fleet::LoadKind;
use zinniahinge_fleet::LoadRecord;
use zinniahinge_fleet::LoadSource;
use zinniahinge_fleet::OpenLoad;
use zinniahinge_fleet::PARISH_KEY;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::TestTiming;
use zinniahinge_fleet::unserved;
use zinniahinge_fleet::wait_until;
use zinniahinge_types::ResourceKey;

const START_LIMIT: Duration = Duration::from_secs(30);
const HOSTS: usize = 4;

/// Deadline of requests of class normal in the test's document.
const DEADLINE: Duration = Duration::from_secs(4);

/// Deadline of requests of class batch, as long as the longest answer that the test's caller waits for allows.
const BATCH_DEADLINE: Duration = Duration::from_secs(60);

/// Time that an answer at the deadline takes to reach the caller on a busy machine.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Goal of the design page for the p99 of status lookups over the backend server's own time.
const LOOKUP_DELAY: Duration = Duration::from_millis(5);

/// The demonstration document with short deadlines, slow engines in mind, and one slot.
fn document() -> String {
    let deadlines = format!(
        "deadline_ms = {}\nbatch_deadline_ms = {}",
        DEADLINE.as_millis(),
        BATCH_DEADLINE.as_millis()
    );
    DEMO_LLM
        .replace("deadline_ms = 60000", &deadlines)
        .replace("slots = 8", "slots = 2")
        .replace("tokens_per_second = 2000", "tokens_per_second = 20000")
}

fn median(records: &[LoadRecord]) -> Duration {
    let mut times: Vec<Duration> = records.iter().map(|record| record.elapsed).collect();
    times.sort();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

/// Guards against requests that hang over their deadline or end without an answer, against layout reviews that are
/// dropped, and against lookups that wait behind model requests, while the model's owner is killed and another
/// process is paused.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_is_answered_by_its_deadline_under_kills_and_pauses() {
    let timing = TestTiming::from_environment();
    let engine = ["--token-us", "20000", "--slots", "2"];
    let builder = FleetBuilder::new()
        .with_hosts(HOSTS)
        .with_engines(1)
        .with_services(1)
        .with_arguments(ProgramKind::Engine, &engine)
        .with_arguments(ProgramKind::Control, timing.control_arguments());
    let mut fleet = builder
        .start_serving(&[&document(), DEMO_APP])
        .await
        .expect("started");
    let records = FleetRecords::new(&fleet).expect("no error");
    let all_own = async || {
        let counts = records.shard_counts().await;
        counts.is_ok_and(|counts| counts.len() == HOSTS)
    };
    wait_until("shards at all hosts", START_LIMIT, all_own)
        .await
        .expect("reached in time");
    tokio::time::sleep(2 * timing.settle + Duration::from_secs(1)).await;
    let model = ResourceKey::Model {
        service: "demo-llm".into(),
        model: "small".into(),
    };
    let owner = records.owner(&model).await.expect("no error");
    let entries: Vec<String> = (1..=HOSTS)
        .filter(|number| owner != format!("host-{number}"))
        .map(|number| format!("entry-{number}"))
        .collect();
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();

    // Lookups alone, for the backend server's own time.
    let lookups = |name: &str| {
        LoadSource::new(name, &entries, LoadKind::Lookup, Duration::from_millis(50))
            .with_key(PARISH_KEY)
    };
    let load = OpenLoad::start(&fleet, &[lookups("idle")]).expect("no error");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let idle = load.finish().await;

    // Two slots serve about 4 requests of 25 tokens a second; 10 a second fill the queue.
    let chat = |max_tokens| LoadKind::Chat {
        model: "small".to_owned(),
        max_tokens,
    };
    let normal = LoadSource::new("normal", &entries, chat(25), Duration::from_millis(100));
    let batch = LoadSource::new("batch", &entries, chat(25), Duration::from_millis(400));
    let batch = batch.with_class("batch");
    let normal_load = OpenLoad::start(&fleet, &[normal]).expect("no error");
    let batch_load = OpenLoad::start(&fleet, &[batch]).expect("no error");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let load = OpenLoad::start(&fleet, &[lookups("full")]).expect("no error");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let full = load.finish().await;
    let control = owner.replace("host", "control");
    fleet
        .process(&control)
        .expect("known")
        .kill()
        .expect("signalled");
    tokio::time::sleep(3 * timing.term).await;
    let owner = records.owner(&model).await.expect("no error");
    let control = owner.replace("host", "control");
    fleet
        .process(&control)
        .expect("known")
        .pause()
        .expect("signalled");
    tokio::time::sleep(3 * timing.term).await;
    fleet
        .process(&control)
        .expect("known")
        .resume()
        .expect("signalled");
    let normal = normal_load.finish().await;
    let batch = batch_load.finish().await;

    let bad = |records: &[LoadRecord], deadline: Duration| {
        let late = |record: &&LoadRecord| record.elapsed > deadline + ANSWER_SLACK;
        let answered = |record: &&LoadRecord| record.is_success() || record.is_problem();
        let bad = records.iter().filter(|r| late(r) || !answered(r));
        bad.map(LoadRecord::summary).collect::<Vec<_>>()
    };
    let served = normal.iter().filter(|record| record.is_success()).count();
    println!("normal: {served} of {} served", normal.len());
    println!("batch: {} requests", batch.len());
    println!(
        "lookups: median {:?} idle, {:?} full",
        median(&idle),
        median(&full)
    );
    expect_that!(bad(&normal, DEADLINE), is_empty());
    expect_that!(bad(&batch, BATCH_DEADLINE), is_empty());
    expect_that!(unserved(&batch), is_empty());
    expect_that!(unserved(&full), is_empty());
    expect_that!(median(&full), le(median(&idle) + LOOKUP_DELAY));
}
