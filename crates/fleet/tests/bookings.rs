//! Guards I9 and I10 under faults: a booking runs at most once, and one that is answered "not run"
//! did not run, with and without `Idempotency-Key`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::TestAnswer;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;
use zinniahinge_standins::hex_digest;

const HOSTS: usize = 3;
const SERVICES: [&str; 2] = ["service-1", "service-2"];

/// Bookings of each kind in one case, and the time between two. With 400 ms for a booking, about 40
/// with a key are open when a process is killed; 4 of them are at a killed host that also owns
/// their key.
const BOOKINGS: usize = 200;
const INTERVAL: Duration = Duration::from_millis(10);

/// Time from the first booking to the fault.
const BEFORE_FAULT: Duration = Duration::from_secs(1);

/// Pause between two attempts of a caller that has a key.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Attempts of a caller that has a key. Together they outlast a takeover (10 s).
const MAX_ATTEMPTS: usize = 40;

/// Time after the last answer in which a booking that was called "not run" could still run.
const LATE_RUNS: Duration = Duration::from_secs(1);

async fn start() -> Fleet {
    let times = [
        "--term-ms",
        "900",
        "--heartbeat-ms",
        "200",
        "--settle-ms",
        "500",
    ];
    let service = ["--booking-ms", "400", "--print-runs", "on"];
    let builder = FleetBuilder::new()
        .with_hosts(HOSTS)
        .with_services(SERVICES.len())
        .with_arguments(ProgramKind::Control, &times)
        .with_arguments(ProgramKind::Service, &service);
    let fleet = builder.start_serving(&[DEMO_APP]).await;
    fleet.expect("fleet serves")
}

// ----------------------------------------------------------------------------------------------

/// One booking and all answers to it.
#[derive(Debug)]
struct Booking {
    body: String,
    answers: Vec<Outcome>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// The whole answer of the service.
    Booked,
    /// A problem: its title and what it says about whether the booking ran.
    Refused(String, String),
    /// An answer that is neither, as far as the caller can tell.
    Broken(String),
}

impl Booking {
    async fn send(&mut self, client: &TestClient, url: &str) -> Outcome {
        let outcome = match client.post(url, self.body.clone()).await {
            Ok(answer) => self.judge(&answer),
            Err(error) => Outcome::Broken(error.to_string()),
        };
        self.answers.push(outcome.clone());
        outcome
    }

    fn judge(&self, answer: &TestAnswer) -> Outcome {
        let own = &hex_digest(self.body.as_bytes())[..16];
        if answer.is_success() && answer.json()["booking"] == own {
            return Outcome::Booked;
        }
        if answer.is_complete && !answer.problem().is_empty() {
            return Outcome::Refused(answer.problem(), answer.ran());
        }
        Outcome::Broken(format!("status {}: {}", answer.status, answer.text()))
    }

    fn was_booked(&self) -> bool {
        self.answers.contains(&Outcome::Booked)
    }

    /// True if every answer says that the booking did not run.
    fn is_denied(&self) -> bool {
        let is_no = |outcome: &Outcome| matches!(outcome, Outcome::Refused(_, ran) if ran == "no");
        self.answers.iter().all(is_no)
    }

    /// True if the caller knows what became of it or that nobody can know.
    fn is_settled(&self) -> bool {
        match self.answers.last() {
            Some(Outcome::Booked) => true,
            Some(Outcome::Refused(title, _)) => title == "outcome-unknown",
            _ => false,
        }
    }

    /// True if it is called "in progress" after an attempt whose entry process died. The key's owner
    /// cannot know of the death and gives this answer for an hour.
    fn is_left_open(&self) -> bool {
        let is_broken = |outcome: &Outcome| matches!(outcome, Outcome::Broken(_));
        let last = self.answers.last();
        let in_progress = Outcome::Refused("idempotency-in-progress".into(), "unknown".into());
        self.answers.iter().any(is_broken) && last == Some(&in_progress)
    }
}

/// Books once without a key.
async fn book_once(url: String, body: String) -> Booking {
    let client = TestClient::new().expect("client").with_key(VENDOR_KEY);
    let mut booking = Booking {
        body,
        answers: Vec::new(),
    };
    booking.send(&client, &url).await;
    booking
}

/// Books with a key, and repeats at the next host until the outcome is settled.
async fn book_repeatedly(urls: Arc<Vec<String>>, first: usize, body: String) -> Booking {
    let client = TestClient::new().expect("client").with_key(VENDOR_KEY);
    let client = client.with_header("idempotency-key", &hex_digest(body.as_bytes()));
    let mut booking = Booking {
        body,
        answers: Vec::new(),
    };
    for attempt in 0..MAX_ATTEMPTS {
        let url = &urls[(first + attempt) % urls.len()];
        booking.send(&client, url).await;
        if booking.is_settled() {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    booking
}

/// How often each body ran on any server, over all restarts.
fn count_runs(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for process in fleet.processes(ProgramKind::Service) {
        for line in process.log().lines() {
            if let Some(body) = line.strip_prefix("ran ") {
                *runs.entry(body.to_owned()).or_default() += 1;
            }
        }
    }
    runs
}

// ----------------------------------------------------------------------------------------------

/// Answers of one case.
struct CaseResult {
    once: Vec<Booking>,
    repeated: Vec<Booking>,
}

/// Books at all hosts while `fault` acts on the fleet.
async fn book_under(
    fleet: &mut Fleet,
    name: &str,
    fault: impl AsyncFnOnce(&mut Fleet),
) -> CaseResult {
    let url = |number| fleet.url(&format!("entry-{number}"), "/r/demo-app/bookings");
    let urls: Vec<String> = (1..=HOSTS)
        .map(|number| url(number).expect("known"))
        .collect();
    let urls = Arc::new(urls);
    let name = name.replace(' ', "-");
    let traffic = tokio::spawn(async move {
        let mut tasks = Vec::new();
        for index in 0..BOOKINGS {
            let url = urls[index % urls.len()].clone();
            let once = tokio::spawn(book_once(url, format!("once-{name}-{index}")));
            let body = format!("key-{name}-{index}");
            let repeated = tokio::spawn(book_repeatedly(urls.clone(), index, body));
            tasks.push((once, repeated));
            tokio::time::sleep(INTERVAL).await;
        }
        let mut result = CaseResult {
            once: Vec::new(),
            repeated: Vec::new(),
        };
        for (once, repeated) in tasks {
            result.once.push(once.await.expect("finished"));
            result.repeated.push(repeated.await.expect("finished"));
        }
        result
    });
    tokio::time::sleep(BEFORE_FAULT).await;
    fault(fleet).await;
    let result = traffic.await.expect("finished");
    tokio::time::sleep(LATE_RUNS).await;
    result
}

fn check(fleet: &Fleet, guards: &str, result: &CaseResult) {
    let runs = count_runs(fleet);
    for booking in result.once.iter().chain(&result.repeated) {
        let ran = runs.get(&booking.body).copied().unwrap_or(0);
        assert_that!(ran, le(1), "guards against: {guards}; {booking:?}");
        if booking.was_booked() {
            assert_that!(ran, eq(1), "guards against: {guards}; {booking:?}");
        }
        if booking.is_denied() {
            assert_that!(ran, eq(0), "guards against: {guards}; {booking:?}");
        }
    }
    for booking in &result.repeated {
        let settled = booking.is_settled() || booking.is_left_open();
        assert_that!(settled, eq(true), "guards against: {guards}; {booking:?}");
    }
    let booked = result
        .repeated
        .iter()
        .filter(|booking| booking.was_booked());
    assert_that!(booked.count(), ge(1), "guards against: {guards}");
}

struct ServerFault {
    guards: &'static str,
    fault: Value,
}

/// Guards against a second run on another server after a failure whose outcome is not known.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bookings_run_at_most_once_while_backend_servers_fail() {
    let mut fleet = start().await;
    let fault = |kind: &str| json!({ "kind": kind, "path": "/bookings", "probability": 0.4 });
    let refuse = json!({ "kind": "down", "refuse": true, "duration_ms": 1000 });
    let slow = json!({ "kind": "slow", "path": "/bookings", "delay_ms": 700 });
    let cases = [
        ServerFault {
            guards: "a repeat of a cut answer",
            fault: fault("close_early"),
        },
        ServerFault {
            guards: "a repeat of a lost answer",
            fault: fault("lost_answer"),
        },
        ServerFault {
            guards: "a repeat of a foreign answer",
            fault: fault("crossed"),
        },
        ServerFault {
            guards: "a repeat after a cut connection",
            fault: fault("down"),
        },
        ServerFault {
            guards: "a claim that a cut request did not run",
            fault: refuse,
        },
        ServerFault {
            guards: "a repeat that overtakes the first",
            fault: slow,
        },
    ];
    for case in cases {
        let result = book_under(&mut fleet, case.guards, async |fleet: &mut Fleet| {
            for service in SERVICES {
                fleet.add_fault(service, &case.fault).await.expect("fault");
            }
            tokio::time::sleep(Duration::from_millis(1500)).await;
            for service in SERVICES {
                fleet.clear_faults(service).await.expect("cleared");
            }
        })
        .await;
        check(&fleet, case.guards, &result);
    }
}

#[derive(Clone, Copy, Debug)]
struct ProcessFault {
    guards: &'static str,
    killed: &'static [&'static str],
    kv_outage_ms: u64,
}

/// Guards against a second run after a process has lost what it knew of the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bookings_run_at_most_once_while_processes_die() {
    let mut fleet = start().await;
    let cases = [
        ProcessFault {
            guards: "a killed service",
            killed: &["service-2"],
            kv_outage_ms: 0,
        },
        ProcessFault {
            guards: "a killed entry process",
            killed: &["entry-2"],
            kv_outage_ms: 0,
        },
        ProcessFault {
            guards: "a killed control process",
            killed: &["control-2"],
            kv_outage_ms: 0,
        },
        ProcessFault {
            guards: "a killed host",
            killed: &["control-3", "entry-3"],
            kv_outage_ms: 0,
        },
        ProcessFault {
            guards: "a key-value outage",
            killed: &[],
            kv_outage_ms: 3000,
        },
        ProcessFault {
            guards: "a host killed in an outage",
            killed: &["control-1", "entry-1"],
            kv_outage_ms: 3000,
        },
    ];
    for case in cases {
        let result = book_under(&mut fleet, case.guards, async |fleet: &mut Fleet| {
            fail(fleet, case).await;
        })
        .await;
        check(&fleet, case.guards, &result);
        fleet
            .wait_ready(Duration::from_secs(20))
            .await
            .expect("ready again");
    }
}

async fn fail(fleet: &mut Fleet, case: ProcessFault) {
    if case.kv_outage_ms > 0 {
        let outage = json!({ "kind": "down", "duration_ms": case.kv_outage_ms });
        fleet.add_fault("kv", &outage).await.expect("fault");
    }
    for name in case.killed {
        fleet.process(name).expect("known").kill().expect("killed");
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for name in case.killed {
        fleet
            .process(name)
            .expect("known")
            .restart()
            .expect("started");
    }
}
