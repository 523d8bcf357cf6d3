use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use zinniahinge_telemetry::wall_clock_us;

use crate::Fleet;
use crate::FleetError;
use crate::TestAnswer;
use crate::TestClient;
use crate::chat_body;
use crate::fleet_error::Result;

/// Longest wait for the answer to a readiness check before the host counts as not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// What a load source sends.
#[derive(Clone, Debug)]
pub enum LoadKind {
    /// A chat completion.
    Chat {
        /// Model.
        model: String,
        /// Largest output; the stand-in engine generates as many tokens.
        max_tokens: u64,
    },
    /// A booking with an `Idempotency-Key` of its own. Its body is the id of the record.
    Booking,
    /// A status lookup.
    Lookup,
}

/// Open-loop stream of requests: each is sent at its planned time, whatever became of earlier ones.
#[derive(Clone, Debug)]
pub struct LoadSource {
    /// Prefix of the request ids.
    pub name: String,
    /// Entry processes, by name; one that should get more requests is listed more often.
    pub entries: Vec<String>,
    /// Key of the client account.
    pub key: String,
    /// What is sent.
    pub kind: LoadKind,
    /// Time between two requests.
    pub interval: Duration,
    /// Whether an entry process gets requests only while its `/readyz` says so, as behind a balancer.
    pub only_ready: bool,
    /// Value of `x-priority-class`, if any.
    pub class: Option<String>,
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Identifies the request; also its `Idempotency-Key` if it is a booking.
    pub id: String,
    /// Entry process that got it.
    pub entry: String,
    /// Wall clock of the start, microseconds.
    pub started_us: u64,
    /// Time until the whole answer was there.
    pub elapsed: Duration,
    /// Answer; `None` if none came.
    pub answer: Option<TestAnswer>,
}

impl LoadSource {
    /// A source for the account `vendor` of the demonstration documents.
    pub fn new(name: &str, entries: &[&str], kind: LoadKind, interval: Duration) -> Self {
        Self {
            name: name.to_owned(),
            entries: entries.iter().map(|entry| (*entry).to_owned()).collect(),
            key: crate::VENDOR_KEY.to_owned(),
            kind,
            interval,
            only_ready: false,
            class: None,
        }
    }

    /// Leaves out entry processes that are not ready.
    pub fn with_only_ready(mut self) -> Self {
        self.only_ready = true;
        self
    }

    /// Asks for a priority class.
    pub fn with_class(mut self, class: &str) -> Self {
        self.class = Some(class.to_owned());
        self
    }

    /// Sends with another key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = key.to_owned();
        self
    }
}

impl LoadRecord {
    /// True for a whole answer with a status of success.
    pub fn is_success(&self) -> bool {
        self.answer.as_ref().is_some_and(TestAnswer::is_success)
    }

    /// True for a complete problem document, which is how a refusal must look.
    pub fn is_problem(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.is_complete && !answer.problem().is_empty())
    }

    /// Status, problem and duration, for the message of a failed assertion.
    pub fn summary(&self) -> String {
        let answer = self.answer.as_ref();
        let status = answer.map_or(0, |answer| answer.status);
        let text = answer.map(TestAnswer::text).unwrap_or_default();
        let Self {
            id, entry, elapsed, ..
        } = self;
        format!("{id} at {entry}: {status} after {elapsed:?}: {text}")
    }
}

// ----------------------------------------------------------------------------------------

/// Load that runs until it is finished.
pub struct OpenLoad {
    records: Arc<Mutex<Vec<LoadRecord>>>,
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Clone)]
struct LoadTarget {
    name: String,
    url: String,
    ready_url: String,
}

impl OpenLoad {
    /// Starts all sources.
    pub fn start(fleet: &Fleet, sources: &[LoadSource]) -> Result<Self> {
        let records = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for source in sources {
            let targets = source.entries.iter().map(|entry| {
                Ok::<_, FleetError>(LoadTarget {
                    name: entry.clone(),
                    url: fleet.url(entry, "")?,
                    ready_url: fleet.admin_url(entry, "/readyz")?,
                })
            });
            let targets = targets.collect::<Result<Vec<_>>>()?;
            let run = run_source(source.clone(), targets, records.clone(), stopped.clone());
            tasks.push(tokio::spawn(run));
        }
        Ok(Self {
            records,
            stopped,
            tasks,
        })
    }

    /// Sends nothing more and waits for all answers.
    pub async fn finish(self) -> Vec<LoadRecord> {
        self.stopped.store(true, Ordering::Release);
        for task in self.tasks {
            // A task that panicked leaves its records out, which the caller's counts show.
            let _ = task.await;
        }
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let mut records = std::mem::take(&mut *records);
        records.sort_by_key(|record| record.started_us);
        records
    }
}

async fn run_source(
    source: LoadSource,
    targets: Vec<LoadTarget>,
    records: Arc<Mutex<Vec<LoadRecord>>>,
    stopped: Arc<AtomicBool>,
) {
    let mut requests = JoinSet::new();
    let mut ticks = tokio::time::interval(source.interval);
    let mut number = 0_usize;
    while !stopped.load(Ordering::Acquire) {
        ticks.tick().await;
        let (source, targets, records) = (source.clone(), targets.clone(), records.clone());
        requests.spawn(async move {
            let target = choose_target(&source, &targets, number).await;
            let Some(target) = target else { return };
            let record = send_one(&source, target, number).await;
            let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
            records.push(record);
        });
        number += 1;
    }
    while requests.join_next().await.is_some() {}
}

async fn choose_target<'a>(
    source: &LoadSource,
    targets: &'a [LoadTarget],
    number: usize,
) -> Option<&'a LoadTarget> {
    let mut order = (0..targets.len()).map(|step| &targets[(number + step) % targets.len()]);
    if !source.only_ready {
        return order.next();
    }
    let client = TestClient::new().ok()?;
    for target in order {
        let check = client.get(&target.ready_url);
        let answer = tokio::time::timeout(READY_TIMEOUT, check).await;
        if matches!(answer, Ok(Ok(answer)) if answer.is_success()) {
            return Some(target);
        }
    }
    None
}

async fn send_one(source: &LoadSource, target: &LoadTarget, number: usize) -> LoadRecord {
    let id = format!("{}-{number}", source.name);
    let started_us = wall_clock_us();
    let started = Instant::now();
    let answer = exchange(source, target, &id).await;
    LoadRecord {
        id,
        entry: target.name.clone(),
        started_us,
        elapsed: started.elapsed(),
        answer: answer.ok(),
    }
}

async fn exchange(source: &LoadSource, target: &LoadTarget, id: &str) -> Result<TestAnswer> {
    let mut client = TestClient::new()?.with_key(&source.key);
    if let Some(class) = &source.class {
        client = client.with_header("x-priority-class", class);
    }
    let url = |path: &str| format!("{}{path}", target.url);
    match &source.kind {
        LoadKind::Chat { model, max_tokens } => {
            let body = chat_body(model, id, *max_tokens, false);
            client.post(&url("/v1/chat/completions"), body).await
        }
        LoadKind::Booking => {
            let client = client.with_header("idempotency-key", id);
            client
                .post(&url("/r/demo-app/bookings"), id.to_owned())
                .await
        }
        LoadKind::Lookup => {
            let url = url(&format!("/r/demo-app/status/{id}"));
            client.send(Method::GET, &url, "").await
        }
    }
}
