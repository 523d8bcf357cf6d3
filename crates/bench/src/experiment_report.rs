use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::CallResult;
use crate::ColdRequest;
use crate::ExperimentFile;
use crate::LatencyRecord;
use crate::SeedRun;
use crate::StoreBound;
use crate::cold_bounds;

/// Slowest requests that are listed per seed.
const SLOWEST: usize = 8;

/// Figures of an experiment over all seeds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub name: String,
    /// Per seed.
    pub seeds: Vec<SeedFigures>,
}

/// Figures of one seed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SeedFigures {
    /// Seed.
    pub seed: u64,
    /// Requests.
    pub sent: u64,
    /// Requests by result.
    pub results: BTreeMap<String, u64>,
    /// Requests that waited for a load and got a whole answer.
    pub cold: u64,
    /// Median cold start, seconds to the first token.
    pub cold_p50_s: f64,
    /// 99th percentile.
    pub cold_p99_s: f64,
    /// Median of the lower bounds.
    pub bound_p50_s: f64,
    /// 99th percentile of the lower bounds.
    pub bound_p99_s: f64,
    /// Model loads.
    pub loads: u64,
    /// Idle accelerator hours.
    pub idle_hours: f64,
    /// Largest excess of an engine's memory, bytes.
    pub overcommit_bytes: u64,
    /// Requests refused with any problem while their account was outside a surge.
    pub refused_within_rate: u64,
    /// Warm requests by account.
    pub accounts: Vec<AccountFigures>,
    /// Requests that took longest, whatever their result.
    pub slowest: Vec<SlowRequest>,
}

/// A request that took long.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SlowRequest {
    /// Planned time of sending, seconds from the start.
    pub intended_s: f64,
    /// Seconds to the first token, or to the end without one.
    pub took_s: f64,
    /// Model.
    pub model: String,
    /// Entry process.
    pub entry: String,
    /// Result.
    pub result: String,
}

/// Warm requests of one account.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AccountFigures {
    /// Account.
    pub name: String,
    /// Warm requests with a whole answer.
    pub warm: u64,
    /// 99th percentile to the first token, ms.
    pub p99_ms: f64,
    /// The same in a run of its own, if one was made.
    pub alone_p99_ms: Option<f64>,
}

impl SeedFigures {
    /// Sums up a run; `alone` holds runs of single accounts by their index.
    pub fn new(file: &ExperimentFile, run: &SeedRun, alone: &BTreeMap<usize, SeedRun>) -> Self {
        let mut figures = Self {
            seed: run.seed,
            sent: run.records.len() as u64,
            loads: run.loads,
            idle_hours: run.idle.as_secs_f64() / 3600.0,
            overcommit_bytes: run.overcommit_bytes,
            ..Self::default()
        };
        for record in &run.records {
            let name = record.result.name().to_owned();
            *figures.results.entry(name).or_default() += 1;
            let is_refused = matches!(record.result, CallResult::Refused { .. });
            if is_refused && !record.in_surge {
                figures.refused_within_rate += 1;
            }
        }
        figures.add_cold(file, run);
        figures.slowest = slowest(run);
        for (index, account) in file.accounts.iter().enumerate() {
            let warm = warm_latency(run, index);
            let alone = alone.get(&index).map(|run| warm_latency(run, index));
            figures.accounts.push(AccountFigures {
                name: account.name.clone(),
                warm: warm.count(),
                p99_ms: warm.summary().p99_ms,
                alone_p99_ms: alone.map(|alone| alone.summary().p99_ms),
            });
        }
        figures
    }

    fn add_cold(&mut self, file: &ExperimentFile, run: &SeedRun) {
        let cold: Vec<ColdRequest> = cold_requests(run);
        let rate = file.deployment.loads_per_second();
        let at_once = file.deployment.loads_at_once();
        let store = StoreBound {
            loads_per_second: rate,
            at_once: at_once as usize,
            load_time: Duration::from_secs_f64(f64::from(at_once) / rate),
        };
        let (mut waits, mut bounds) = (LatencyRecord::default(), LatencyRecord::default());
        for request in &cold {
            waits.add_duration(request.served.saturating_sub(request.arrived));
        }
        for bound in cold_bounds(&cold, &store) {
            bounds.add_duration(bound);
        }
        self.cold = waits.count();
        self.cold_p50_s = waits.quantile(0.5).as_secs_f64();
        self.cold_p99_s = waits.quantile(0.99).as_secs_f64();
        self.bound_p50_s = bounds.quantile(0.5).as_secs_f64();
        self.bound_p99_s = bounds.quantile(0.99).as_secs_f64();
    }
}

fn slowest(run: &SeedRun) -> Vec<SlowRequest> {
    let mut records: Vec<_> = run.records.iter().collect();
    records.sort_by_key(|record| std::cmp::Reverse(record.first_token));
    records.truncate(SLOWEST);
    let records = records.into_iter();
    records
        .map(|record| SlowRequest {
            intended_s: record.intended.as_secs_f64(),
            took_s: record.first_token.as_secs_f64(),
            model: record.model.clone(),
            entry: format!("entry-{}", record.entry + 1),
            result: record.result.name().to_owned(),
        })
        .collect()
}

/// Cold requests for base models; those for adapters may have waited for the adapter only.
fn cold_requests(run: &SeedRun) -> Vec<ColdRequest> {
    let records = run.records.iter();
    let cold = records.filter(|record| {
        record.is_cold && record.result == CallResult::Whole && !record.model.contains(':')
    });
    cold.map(|record| ColdRequest {
        model: record.model.clone(),
        arrived: record.intended,
        served: record.intended + record.first_token,
    })
    .collect()
}

fn warm_latency(run: &SeedRun, account: usize) -> LatencyRecord {
    let mut latency = LatencyRecord::default();
    for record in &run.records {
        let is_warm = !record.is_cold && record.result == CallResult::Whole;
        if is_warm && record.account == account {
            latency.add_duration(record.first_token);
        }
    }
    latency
}

impl ExperimentReport {
    /// Figures of the table: name and the value of each seed.
    pub fn rows(&self) -> Vec<FigureRow> {
        let row = |name: &str, value: fn(&SeedFigures) -> f64| FigureRow {
            name: name.to_owned(),
            values: self.seeds.iter().map(value).collect(),
        };
        let whole = |seed: &SeedFigures| seed.results.get("whole").copied().unwrap_or(0) as f64;
        let mut rows = vec![
            row("requests", |seed| seed.sent as f64),
            row("whole answers", whole),
            row("wrong answers", |seed| {
                seed.results.get("wrong").copied().unwrap_or(0) as f64
            }),
            row("refused within rate", |seed| {
                seed.refused_within_rate as f64
            }),
            row("cold requests", |seed| seed.cold as f64),
            row("cold p50, s", |seed| seed.cold_p50_s),
            row("  bound", |seed| seed.bound_p50_s),
            row("cold p99, s", |seed| seed.cold_p99_s),
            row("  bound", |seed| seed.bound_p99_s),
            row("cold p99 / bound", |seed| {
                seed.cold_p99_s / seed.bound_p99_s
            }),
            row("model loads", |seed| seed.loads as f64),
            row("idle accelerator hours", |seed| seed.idle_hours),
            row("overcommitted bytes", |seed| seed.overcommit_bytes as f64),
        ];
        let accounts = self.seeds.first().map_or(0, |seed| seed.accounts.len());
        for index in 0..accounts {
            rows.extend(self.account_rows(index));
        }
        rows
    }

    fn account_rows(&self, index: usize) -> Vec<FigureRow> {
        let accounts = || self.seeds.iter().map(|seed| &seed.accounts[index]);
        let name = accounts().next().map_or("", |account| &account.name);
        let mut rows = vec![FigureRow {
            name: format!("warm p99 of {name}, ms"),
            values: accounts().map(|account| account.p99_ms).collect(),
        }];
        let alone: Vec<f64> = accounts()
            .filter_map(|account| account.alone_p99_ms)
            .collect();
        if !alone.is_empty() {
            rows.push(FigureRow {
                name: "  alone".to_owned(),
                values: alone,
            });
        }
        rows
    }
}

/// One line of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureRow {
    /// Name with unit.
    pub name: String,
    /// Value per seed.
    pub values: Vec<f64>,
}

impl FigureRow {
    /// Smallest value.
    pub fn least(&self) -> f64 {
        self.values.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Largest value.
    pub fn most(&self) -> f64 {
        self.values
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// Mean.
    pub fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len() as f64
    }
}

impl fmt::Display for ExperimentReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {} seeds", self.name, self.seeds.len())?;
        writeln!(
            f,
            "| figure | mean | min | max |\n| --- | --- | --- | --- |"
        )?;
        for row in self.rows() {
            let (mean, least, most) = (row.mean(), row.least(), row.most());
            writeln!(f, "| {} | {mean:.3} | {least:.3} | {most:.3} |", row.name)?;
        }
        for seed in &self.seeds {
            writeln!(f, "seed {}: {:?}", seed.seed, seed.results)?;
            for slow in &seed.slowest {
                writeln!(
                    f,
                    "  sent at {:.1} s to {}: {} took {:.2} s ({})",
                    slow.intended_s, slow.entry, slow.model, slow.took_s, slow.result
                )?;
            }
        }
        Ok(())
    }
}
