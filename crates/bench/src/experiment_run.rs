use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_standins::EnginePhase;
use zinniahinge_standins::StateReport;

use crate::AccountLoad;
use crate::ArrivalSettings;
use crate::BenchFleet;
use crate::CallResult;
use crate::ChatCall;
use crate::ChatClient;
use crate::ExperimentFile;
use crate::FaultAction;
use crate::FleetPlan;
use crate::PlannedFault;
use crate::bench_error::Result;
use crate::plan_arrivals;

/// Time between two looks at the engines' replicas.
const STATE_INTERVAL: Duration = Duration::from_millis(1000);

/// Caller's longest wait; above the documents' deadlines of 90 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(100);

/// Requests per answer of `/events`; the process caps it.
const EVENT_READS: usize = 64;

/// One request of an experiment and its fate.
#[derive(Clone, Debug)]
pub struct ExperimentRecord {
    /// Index of the account in the file.
    pub account: usize,
    /// Model.
    pub model: String,
    /// Index of the entry process.
    pub entry: usize,
    /// Planned time of sending, from the start.
    pub intended: Duration,
    /// Whether the account was in its surge.
    pub in_surge: bool,
    /// Result.
    pub result: CallResult,
    /// Latency to the first token, with the delay to the client both ways.
    pub first_token: Duration,
    /// Whether it waited for a load, by the entry process's events.
    pub is_cold: bool,
    trace_id: u128,
}

/// Everything that one run yields.
#[derive(Clone, Debug)]
pub struct SeedRun {
    /// Seed.
    pub seed: u64,
    /// Requests.
    pub records: Vec<ExperimentRecord>,
    /// Accelerator time with a loaded replica that served nothing, as a share of each engine's memory.
    pub idle: Duration,
    /// Model loads that the engines started.
    pub loads: u64,
    /// Largest excess of memory over the capacity of an engine, bytes.
    pub overcommit_bytes: u64,
}

struct PlannedCall {
    account: usize,
    model: String,
    offset: Duration,
    in_surge: bool,
}

impl ExperimentFile {
    /// Runs one seed with all accounts and faults.
    pub async fn run_seed(&self, seed: u64) -> Result<SeedRun> {
        self.run_calls(seed, self.plan(seed, None), &self.faults)
            .await
    }

    /// Runs one seed with one account, without surges, bursts and faults.
    pub async fn run_alone(&self, seed: u64, account: usize) -> Result<SeedRun> {
        self.run_calls(seed, self.plan(seed, Some(account)), &[])
            .await
    }

    async fn run_calls(
        &self,
        seed: u64,
        calls: Vec<PlannedCall>,
        faults: &[PlannedFault],
    ) -> Result<SeedRun> {
        let mut fleet = self.fleet_plan().start().await?;
        let entries = fleet.addresses(ProgramKind::Entry);
        let client = ChatClient::new(256)?;
        let start = Instant::now();
        let mut tasks = Vec::new();
        for (number, planned) in calls.into_iter().enumerate() {
            let sender = RequestSender {
                client: client.clone(),
                entry: number % entries.len(),
                address: entries[number % entries.len()],
                key: self.deployment.key(&self.accounts[planned.account].name),
                tokens: self.accounts[planned.account].tokens,
                delay: self.deployment.client_delay(),
                trace_id: (u128::from(seed) + 1) << 64 | (number as u128 + 1),
                start,
            };
            tasks.push(tokio::spawn(sender.run(planned)));
        }
        let watch = self.watch_fleet(&mut fleet, faults, start).await?;
        let records = futures::future::join_all(tasks).await;
        let mut records: Vec<ExperimentRecord> = records.into_iter().flatten().collect();
        mark_cold(&fleet, &mut records).await;
        let states = engine_states(&fleet).await;
        Ok(SeedRun {
            seed,
            records,
            idle: watch,
            loads: states.iter().map(|state| state.loads).sum(),
            overcommit_bytes: states
                .iter()
                .map(|state| state.overcommit_peak_bytes)
                .max()
                .unwrap_or_default(),
        })
    }

    /// Puts the faults in force at their times and sums up idle replicas until the sending ends.
    async fn watch_fleet(
        &self,
        fleet: &mut BenchFleet,
        faults: &[PlannedFault],
        start: Instant,
    ) -> Result<Duration> {
        let mut steps: Vec<FaultStep> = faults.iter().flat_map(FaultStep::of).collect();
        steps.sort_by_key(|step| step.at);
        let mut steps = steps.into_iter().peekable();
        let mut idle = Duration::ZERO;
        let mut looked = Instant::now();
        while start.elapsed() < self.duration {
            while let Some(step) = steps.next_if(|step| step.at <= start.elapsed()) {
                step.apply(fleet).await?;
            }
            let share = idle_share(&engine_states(fleet).await);
            idle += looked.elapsed().mul_f64(share);
            looked = Instant::now();
            let next = start + self.duration;
            let next_step = steps.peek().map_or(next, |step| start + step.at);
            let wake = next.min(next_step).min(looked + STATE_INTERVAL);
            tokio::time::sleep_until(wake.into()).await;
        }
        // A paused process would keep its callers waiting for good.
        for step in steps.filter(|step| matches!(step.change, StepChange::Resume)) {
            step.apply(fleet).await?;
        }
        Ok(idle)
    }

    fn fleet_plan(&self) -> FleetPlan {
        let deployment = self.deployment;
        let store = [
            "--loads-per-second".to_owned(),
            deployment.loads_per_second().to_string(),
            "--at-once".to_owned(),
            deployment.loads_at_once().to_string(),
        ];
        FleetPlan {
            hosts: self.hosts,
            engines: deployment.engines(),
            engine_group: deployment.engine_group().to_owned(),
            engine_arguments: vec!["--fencing".to_owned(), deployment.fencing().to_owned()],
            store_arguments: Some(store.to_vec()),
            control_arguments: Vec::new(),
            region: deployment.region().to_owned(),
            places: deployment
                .places()
                .iter()
                .map(|&place| place.to_owned())
                .collect(),
            documents: vec![("service.toml".to_owned(), deployment.document().to_owned())],
        }
    }

    fn plan(&self, seed: u64, only: Option<usize>) -> Vec<PlannedCall> {
        let mut calls = Vec::new();
        for (index, account) in self.accounts.iter().enumerate() {
            if only.is_none_or(|only| only == index) {
                self.plan_account(seed, index, account, only.is_none(), &mut calls);
            }
        }
        let bursts = self.bursts.iter().filter(|_| only.is_none());
        for burst in bursts {
            let mut account = self.accounts.iter();
            let account = account.position(|account| account.name == burst.account);
            calls.extend((0..burst.requests).map(|_| PlannedCall {
                account: account.unwrap_or_default(),
                model: burst.model.clone(),
                offset: burst.at,
                in_surge: false,
            }));
        }
        calls.sort_by_key(|call| call.offset);
        calls
    }

    fn plan_account(
        &self,
        seed: u64,
        index: usize,
        account: &AccountLoad,
        with_surge: bool,
        calls: &mut Vec<PlannedCall>,
    ) {
        let settings = ArrivalSettings {
            rate: account.requests_per_second,
            duration: self.duration,
            choices: account.models.len(),
            zipf_exponent: account.zipf,
            // Accounts must not arrive in step.
            seed: seed * 1000 + index as u64,
        };
        let surge = account.surge.filter(|_| with_surge);
        let in_surge = |offset: Duration| {
            surge.is_some_and(|surge| offset >= surge.at && offset < surge.at + surge.length)
        };
        let call = |offset: Duration, choice: usize| PlannedCall {
            account: index,
            model: account.models[choice].clone(),
            offset,
            in_surge: in_surge(offset),
        };
        let steady = plan_arrivals(&settings);
        calls.extend(
            steady
                .iter()
                .map(|arrival| call(arrival.offset, arrival.choice)),
        );
        if let Some(surge) = surge {
            let extra = plan_arrivals(&ArrivalSettings {
                rate: settings.rate * (surge.factor - 1.0),
                duration: surge.length,
                seed: settings.seed + 500,
                ..settings
            });
            let extra = extra.iter();
            calls.extend(extra.map(|arrival| call(surge.at + arrival.offset, arrival.choice)));
        }
    }
}

// ----------------------------------------------------------------------------------------------

struct RequestSender {
    client: ChatClient,
    entry: usize,
    address: SocketAddr,
    key: String,
    tokens: u64,
    delay: Duration,
    trace_id: u128,
    start: Instant,
}

impl RequestSender {
    async fn run(self, planned: PlannedCall) -> ExperimentRecord {
        let intended = self.start + planned.offset;
        tokio::time::sleep_until((intended + self.delay).into()).await;
        let call = ChatCall {
            address: self.address,
            key: self.key,
            model: planned.model.clone(),
            text: format!("request {} draft the report", self.trace_id),
            max_tokens: self.tokens,
            stream: true,
            timeout: CALL_TIMEOUT,
            trace_id: Some(self.trace_id),
        };
        let record = self.client.call(&call).await;
        let first = record.first_token.unwrap_or(record.finished) + self.delay;
        ExperimentRecord {
            account: planned.account,
            model: planned.model,
            entry: self.entry,
            intended: planned.offset,
            in_surge: planned.in_surge,
            result: record.result,
            first_token: first.saturating_duration_since(intended),
            is_cold: false,
            trace_id: self.trace_id,
        }
    }
}

/// Marks the requests whose ticket says that they waited for a load. Those of a killed entry process stay warm.
async fn mark_cold(fleet: &BenchFleet, records: &mut [ExperimentRecord]) {
    let mut cold = BTreeSet::new();
    for address in fleet.admin_addresses(ProgramKind::Entry) {
        let mut after = 0;
        for _ in 0..EVENT_READS {
            let Ok(lines) = fleet.get(address, &format!("/events?after={after}")).await else {
                break;
            };
            let newest = read_cold(&lines, &mut cold);
            match newest {
                Some(newest) if newest > after => after = newest,
                _ => break,
            }
        }
    }
    for record in records {
        record.is_cold = cold.contains(&format!("{:032x}", record.trace_id));
    }
}

/// Adds the trace ids of cold requests; returns the newest sequence number.
fn read_cold(lines: &str, cold: &mut BTreeSet<String>) -> Option<u64> {
    let mut newest = None;
    for event in lines.lines() {
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            continue;
        };
        newest = newest.max(event["sequence"].as_u64());
        let detail = event["detail"].as_str().unwrap_or_default();
        if event["kind"] == "request-dispatched" && detail.ends_with(", cold") {
            cold.extend(event["trace_id"].as_str().map(str::to_owned));
        }
    }
    newest
}

async fn engine_states(fleet: &BenchFleet) -> Vec<StateReport> {
    let engines = fleet.addresses(ProgramKind::Engine);
    let states = engines.into_iter().map(|address| async move {
        // An engine that is down has no replicas and takes part again when it answers.
        let answer = fleet.get(address, "/v1/state").await.ok()?;
        serde_json::from_str(&answer).ok()
    });
    let states = futures::future::join_all(states).await;
    states.into_iter().flatten().collect()
}

/// Number of accelerators that hold replicas without requests, each as its share of the engine's memory.
fn idle_share(states: &[StateReport]) -> f64 {
    let shares = states.iter().flat_map(|state| {
        let replicas = state.models.iter();
        let idle = replicas.filter(|replica| {
            let is_unused = replica.running == 0 && replica.waiting == 0;
            replica.phase == EnginePhase::Ready && is_unused
        });
        idle.map(|replica| replica.bytes as f64 / state.memory_capacity_bytes as f64)
    });
    shares.sum()
}

// ----------------------------------------------------------------------------------------------

/// A change to one process at a time.
struct FaultStep {
    at: Duration,
    target: String,
    change: StepChange,
}

enum StepChange {
    Kill,
    Pause,
    Resume,
    StandIn(Value),
}

impl FaultStep {
    fn of(fault: &PlannedFault) -> Vec<Self> {
        let step = |at, change| Self {
            at,
            target: fault.target.clone(),
            change,
        };
        let at = fault.at;
        match fault.action {
            FaultAction::Kill => vec![step(at, StepChange::Kill)],
            FaultAction::Pause(length) => vec![
                step(at, StepChange::Pause),
                step(at + length, StepChange::Resume),
            ],
            FaultAction::Down(length) => {
                let fault = json!({
                    "kind": "down",
                    "refuse": true,
                    "duration_ms": length.as_millis() as u64,
                });
                vec![step(at, StepChange::StandIn(fault))]
            }
            FaultAction::Slow(length, factor) => {
                let fault = json!({
                    "kind": "slow",
                    "factor": factor,
                    "duration_ms": length.as_millis() as u64,
                });
                vec![step(at, StepChange::StandIn(fault))]
            }
        }
    }

    async fn apply(self, fleet: &mut BenchFleet) -> Result<()> {
        let Self { target, change, .. } = self;
        match change {
            StepChange::Kill => fleet.fleet.process(&target)?.kill()?,
            StepChange::Pause => fleet.fleet.process(&target)?.pause()?,
            StepChange::Resume => fleet.fleet.process(&target)?.resume()?,
            StepChange::StandIn(fault) => fleet.fleet.add_fault(&target, &fault).await?,
        }
        Ok(())
    }
}
