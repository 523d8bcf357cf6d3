//! Demonstration: two hosts, two engines, a weight store and a plain service as real processes.
//! Sends a cold model request, a warm streamed one, and a booking twice; prints the answers and the
//! merged time line of the cold request. `scripts/demo.sh` builds everything and runs it.

use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use miette::Result;
use miette::bail;
use miette::ensure;
use miette::miette;
use zinniahinge_fleet::ChatAnswer;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::TestAnswer;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;
use zinniahinge_fleet::chat_body;

/// Time for one process to stop gracefully.
const STOP_LIMIT: Duration = Duration::from_secs(20);

const CHAT: &str = "/v1/chat/completions";

#[tokio::main]
async fn main() -> Result<()> {
    println!("== start");
    // The last control process has nobody to hand its shards to and waits for the whole limit.
    let builder = FleetBuilder::new()
        .with_arguments(ProgramKind::Control, &["--drain-limit-ms", "3000"])
        .with_hosts(2)
        .with_store()
        .with_engines(2)
        .with_services(1);
    let fleet = builder.start_serving(&[DEMO_LLM, DEMO_APP]).await?;
    for process in fleet.all() {
        let spec = process.spec();
        println!("{:10} {} pid {}", spec.name, spec.address, process.id());
    }
    let trace = show_cold(&fleet).await?;
    show_stream(&fleet).await?;
    show_booking(&fleet).await?;
    show_timeline(&fleet, &trace)?;
    println!("\n== stop");
    fleet.stop(STOP_LIMIT).await?;
    println!("all processes stopped with exit code 0");
    Ok(())
}

/// Sends a request for a model that no engine has loaded, and returns its trace id.
async fn show_cold(fleet: &Fleet) -> Result<String> {
    println!("\n== cold request for model small at entry-1");
    let client = TestClient::new()?.with_key(VENDOR_KEY);
    let body = chat_body("small", "inspect stall four", 6, false);
    let started = Instant::now();
    let answer = client.post(&fleet.url("entry-1", CHAT)?, body).await?;
    print_answer(&answer, started.elapsed());
    expect_chat(&answer)?;
    let trace = answer.header("traceparent").split('-').nth(1);
    trace
        .map(str::to_owned)
        .ok_or_else(|| miette!("the answer has no traceparent"))
}

async fn show_stream(fleet: &Fleet) -> Result<()> {
    println!("\n== warm streamed request at entry-2");
    let client = TestClient::new()?.with_key(VENDOR_KEY);
    let body = chat_body("small", "inspect stall five", 4, true);
    let started = Instant::now();
    let answer = client.post(&fleet.url("entry-2", CHAT)?, body).await?;
    print_answer(&answer, started.elapsed());
    expect_chat(&answer)
}

async fn show_booking(fleet: &Fleet) -> Result<()> {
    let client = TestClient::new()?
        .with_key(VENDOR_KEY)
        .with_header("idempotency-key", "demo-1");
    let mut bodies = Vec::new();
    for entry in ["entry-1", "entry-2"] {
        println!("\n== booking with Idempotency-Key demo-1 at {entry}");
        let url = fleet.url(entry, "/r/demo-app/bookings")?;
        let started = Instant::now();
        let answer = client.post(&url, r#"{"stall":4}"#).await?;
        print_answer(&answer, started.elapsed());
        ensure!(answer.is_success(), "the booking failed");
        bodies.push(answer.body);
    }
    ensure!(bodies[0] == bodies[1], "the repeat got another answer");
    let runs = fleet.read_json("service-1", "/runs").await?;
    println!("\nbookings that ran: {}", runs["total"]);
    ensure!(runs["total"] == 1, "the booking did not run exactly once");
    Ok(())
}

fn show_timeline(fleet: &Fleet, trace: &str) -> Result<()> {
    println!("\n== time line of the cold request");
    let kinds = [ProgramKind::Control, ProgramKind::Entry];
    let processes = kinds.into_iter().flat_map(|kind| fleet.processes(kind));
    let program = fleet.spec("kv")?.program.clone();
    let mut command = Command::new(program.with_file_name("zinniahinge-timeline"));
    command.args(["--trace", trace]);
    for process in processes {
        command.args(["--process", &process.spec().admin.to_string()]);
    }
    let output = command
        .output()
        .map_err(|error| miette!("cannot start zinniahinge-timeline: {error}"))?;
    let text = String::from_utf8_lossy(&output.stdout);
    print!("{text}");
    if !output.status.success() {
        let errors = String::from_utf8_lossy(&output.stderr);
        bail!("zinniahinge-timeline failed: {errors}");
    }
    ensure!(!text.trim().is_empty(), "the time line is empty");
    Ok(())
}

fn expect_chat(answer: &TestAnswer) -> Result<()> {
    ensure!(
        ChatAnswer::read(answer).looks_whole,
        "the model request failed with status {}",
        answer.status
    );
    Ok(())
}

fn print_answer(answer: &TestAnswer, elapsed: Duration) {
    println!("status {} after {} ms", answer.status, elapsed.as_millis());
    for name in ["traceparent", "idempotency-replayed"] {
        if let Some(value) = answer.headers.get(name) {
            println!("{name}: {}", String::from_utf8_lossy(value.as_bytes()));
        }
    }
    println!("{}", answer.text().trim_end());
}
