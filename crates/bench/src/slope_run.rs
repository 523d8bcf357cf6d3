use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use zinniahinge_fleet::ProgramKind;

use crate::BENCH_GROUP;
use crate::BENCH_KEY;
use crate::BenchError;
use crate::BenchFleet;
use crate::DecisionFigures;
use crate::FleetPlan;
use crate::LoadPlan;
use crate::SlopeLine;
use crate::SlopePoint;
use crate::bench_document;
use crate::bench_error::Result;
use crate::measure_decisions;

/// Models of the measured fleets; all are warm during the load.
const MODELS: usize = 8;

/// Model engines of the measured fleets.
const ENGINES: usize = 4;

/// Size in two years, section 3 of the design page.
const TARGET_HOSTS: f64 = 400.0;

/// Measurement of what control costs, by number of hosts.
#[derive(Clone, Debug)]
pub struct SlopePlan {
    /// Numbers of hosts.
    pub hosts: Vec<usize>,
    /// Time at rest, and time under load.
    pub window: Duration,
    /// Requests per second over the whole fleet under load.
    pub rate: f64,
    /// Repetitions.
    pub repetitions: usize,
}

/// Figures of all fleets.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SlopeReport {
    /// One row per fleet and repetition.
    pub fleets: Vec<FleetFigures>,
    /// Decision code alone.
    pub decisions: DecisionFigures,
}

/// Figures of one fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetFigures {
    /// Hosts.
    pub hosts: usize,
    /// Nothing is requested.
    pub rest: WindowFigures,
    /// Small load.
    pub load: WindowFigures,
    /// Whole answers during the load.
    pub whole: u64,
    /// Requests sent during the load.
    pub sent: u64,
}

/// Means per process over one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WindowFigures {
    /// Processor time of a control process, ms per second.
    pub control_cpu_ms: f64,
    /// Largest among the control processes.
    pub control_cpu_max_ms: f64,
    /// Processor time of an entry process, ms per second.
    pub entry_cpu_ms: f64,
    /// Resident memory of a control process, MiB.
    pub control_mib: f64,
    /// Resident memory of an entry process, MiB.
    pub entry_mib: f64,
    /// Body bytes that a control process sent and received as a client, per second.
    pub control_bytes: f64,
    /// The same for an entry process.
    pub entry_bytes: f64,
    /// Messages that a control process sent, per second.
    pub control_sent: f64,
    /// Messages that an entry process sent, per second.
    pub entry_sent: f64,
    /// Reads of the whole fleet at the key-value service, per second.
    pub kv_reads: f64,
    /// Writes, per second.
    pub kv_writes: f64,
    /// Lease calls, per second.
    pub kv_leases: f64,
    /// Watches started, per second.
    pub kv_watches: f64,
    /// Watches open at the end.
    pub kv_open_watches: f64,
}

/// Counters at one moment.
struct FleetCounters {
    at: Instant,
    control_cpu: Vec<Duration>,
    entry_cpu: Vec<Duration>,
    control: PeerTotals,
    entry: PeerTotals,
    kv: BTreeMap<String, u64>,
}

#[derive(Clone, Copy, Default)]
struct PeerTotals {
    bytes: f64,
    sent: f64,
}

impl SlopePlan {
    /// Runs all fleets one after the other, then the decision code.
    pub async fn run(&self) -> Result<SlopeReport> {
        let mut fleets = Vec::new();
        for _ in 0..self.repetitions {
            for hosts in &self.hosts {
                fleets.push(self.measure(*hosts).await?);
            }
        }
        let decisions = tokio::task::spawn_blocking(measure_decisions).await;
        let decisions = decisions.map_err(|error| BenchError::Invalid(error.to_string()))?;
        Ok(SlopeReport { fleets, decisions })
    }

    async fn measure(&self, hosts: usize) -> Result<FleetFigures> {
        let mut fleet = fleet_plan(hosts).start().await?;
        let kv = fleet.address("kv")?;
        let entries = fleet.addresses(ProgramKind::Entry);
        let mut load = LoadPlan {
            entries,
            key: BENCH_KEY.to_owned(),
            models: (0..MODELS)
                .map(|number| format!("model-{number}"))
                .collect(),
            rate: self.rate,
            duration: Duration::from_secs(5),
            zipf_exponent: 0.0,
            max_tokens: 8,
            stream: false,
            timeout: Duration::from_secs(30),
            seed: hosts as u64,
        };
        // Loads all models and opens the connections that the load will use.
        load.run().await?;
        let before = read_counters(&fleet, kv).await?;
        tokio::time::sleep(self.window).await;
        let after = read_counters(&fleet, kv).await?;
        let rest = window(&fleet, &before, &after)?;
        load.duration = self.window;
        load.seed += 1000;
        let before = read_counters(&fleet, kv).await?;
        let report = load.run().await?;
        let after = read_counters(&fleet, kv).await?;
        Ok(FleetFigures {
            hosts,
            rest,
            load: window(&fleet, &before, &after)?,
            whole: report.result("whole"),
            sent: report.sent,
        })
    }
}

fn fleet_plan(hosts: usize) -> FleetPlan {
    let flags = ["--slots", "64", "--memory-capacity-bytes", "20000000000"];
    FleetPlan {
        hosts,
        engines: ENGINES,
        engine_group: BENCH_GROUP.to_owned(),
        engine_arguments: flags.map(str::to_owned).to_vec(),
        store_arguments: None,
        control_arguments: Vec::new(),
        region: "region-1".to_owned(),
        places: vec!["place-1".to_owned(), "place-2".to_owned()],
        documents: vec![("bench.toml".to_owned(), bench_document(MODELS, 64))],
    }
}

async fn read_counters(fleet: &BenchFleet, kv: SocketAddr) -> Result<FleetCounters> {
    let answer = fleet.get(kv, "/counters").await?;
    let kv = serde_json::from_str(&answer).map_err(|_| BenchError::Answer {
        what: "counters of the key-value service".to_owned(),
        answer,
    })?;
    let cpu = |kind| {
        let usage = fleet.usage(kind)?;
        Ok::<_, BenchError>(usage.iter().map(|usage| usage.cpu).collect::<Vec<_>>())
    };
    Ok(FleetCounters {
        control: read_peer(fleet, ProgramKind::Control).await?,
        entry: read_peer(fleet, ProgramKind::Entry).await?,
        at: Instant::now(),
        control_cpu: cpu(ProgramKind::Control)?,
        entry_cpu: cpu(ProgramKind::Entry)?,
        kv,
    })
}

/// Peer counters summed over all processes of a kind.
async fn read_peer(fleet: &BenchFleet, kind: ProgramKind) -> Result<PeerTotals> {
    let mut totals = PeerTotals::default();
    for address in fleet.admin_addresses(kind) {
        let metrics = fleet.get(address, "/metrics").await?;
        for line in metrics.lines() {
            let value = line.rsplit(' ').next().and_then(|value| value.parse().ok());
            let value: f64 = value.unwrap_or_default();
            if line.starts_with("zinniahinge_peer_bytes_total ") {
                totals.bytes += value;
            } else if line.starts_with("zinniahinge_peer_sent_total{") {
                totals.sent += value;
            }
        }
    }
    Ok(totals)
}

fn window(
    fleet: &BenchFleet,
    before: &FleetCounters,
    after: &FleetCounters,
) -> Result<WindowFigures> {
    let seconds = (after.at - before.at).as_secs_f64();
    let mib = |kind| {
        let usage = fleet.usage(kind)?;
        let bytes: u64 = usage.iter().map(|usage| usage.resident_bytes).sum();
        Ok::<_, BenchError>(bytes as f64 / usage.len() as f64 / 1_048_576.0)
    };
    let control_cpu = cpu_ms(&before.control_cpu, &after.control_cpu, seconds);
    let entry_cpu = cpu_ms(&before.entry_cpu, &after.entry_cpu, seconds);
    let hosts = control_cpu.len() as f64;
    let per_host = |before: f64, after: f64| (after - before) / seconds / hosts;
    let kv = |name: &str| after.kv.get(name).copied().unwrap_or_default() as f64;
    let kv_rate = |name: &str| {
        let before = before.kv.get(name).copied().unwrap_or_default() as f64;
        (kv(name) - before) / seconds
    };
    Ok(WindowFigures {
        control_cpu_ms: control_cpu.iter().sum::<f64>() / hosts,
        control_cpu_max_ms: control_cpu.iter().copied().fold(0.0, f64::max),
        entry_cpu_ms: entry_cpu.iter().sum::<f64>() / hosts,
        control_mib: mib(ProgramKind::Control)?,
        entry_mib: mib(ProgramKind::Entry)?,
        control_bytes: per_host(before.control.bytes, after.control.bytes),
        entry_bytes: per_host(before.entry.bytes, after.entry.bytes),
        control_sent: per_host(before.control.sent, after.control.sent),
        entry_sent: per_host(before.entry.sent, after.entry.sent),
        kv_reads: kv_rate("reads"),
        kv_writes: kv_rate("writes"),
        kv_leases: kv_rate("leases"),
        kv_watches: kv_rate("watches"),
        kv_open_watches: kv("open_watches"),
    })
}

fn cpu_ms(before: &[Duration], after: &[Duration], seconds: f64) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (*after - *before).as_secs_f64() * 1e3 / seconds)
        .collect()
}

// ----------------------------------------------------------------------------------------------

impl SlopeReport {
    /// Line of a figure over the number of hosts.
    pub fn line(&self, figure: impl Fn(&FleetFigures) -> f64) -> SlopeLine {
        let points = self.fleets.iter().map(|fleet| SlopePoint {
            size: fleet.hosts as f64,
            value: figure(fleet),
        });
        SlopeLine::fit(&points.collect::<Vec<_>>())
    }
}

type Figure = (&'static str, fn(&WindowFigures) -> f64);

const FIGURES: [Figure; 13] = [
    ("control CPU, ms/s", |w| w.control_cpu_ms),
    ("largest control CPU, ms/s", |w| w.control_cpu_max_ms),
    ("entry CPU, ms/s", |w| w.entry_cpu_ms),
    ("control memory, MiB", |w| w.control_mib),
    ("entry memory, MiB", |w| w.entry_mib),
    ("control peer bytes/s", |w| w.control_bytes),
    ("entry peer bytes/s", |w| w.entry_bytes),
    ("control messages sent/s", |w| w.control_sent),
    ("entry messages sent/s", |w| w.entry_sent),
    ("KV reads/s, fleet", |w| w.kv_reads),
    ("KV writes/s, fleet", |w| w.kv_writes),
    ("KV lease calls/s, fleet", |w| w.kv_leases),
    ("KV open watches, fleet", |w| w.kv_open_watches),
];

impl fmt::Display for SlopeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (title, pick) in [("at rest", 0), ("under load", 1)] {
            let figures = |fleet: &FleetFigures| match pick {
                0 => fleet.rest.clone(),
                _ => fleet.load.clone(),
            };
            write!(f, "| {title} |")?;
            for fleet in &self.fleets {
                write!(f, " {} hosts |", fleet.hosts)?;
            }
            writeln!(f, " base | per host | line at {TARGET_HOSTS} |")?;
            writeln!(f, "|{}", " --- |".repeat(self.fleets.len() + 4))?;
            for (name, figure) in FIGURES {
                write!(f, "| {name} |")?;
                for fleet in &self.fleets {
                    write!(f, " {:.2} |", figure(&figures(fleet)))?;
                }
                let line = self.line(|fleet| figure(&figures(fleet)));
                let target = line.at(TARGET_HOSTS);
                writeln!(f, " {:.3} | {:.4} | {target:.1} |", line.base, line.slope)?;
            }
            writeln!(f)?;
        }
        for fleet in &self.fleets {
            let FleetFigures {
                hosts, whole, sent, ..
            } = fleet;
            writeln!(f, "{hosts} hosts: {whole} whole of {sent} under load")?;
        }
        let DecisionFigures {
            dispatch,
            plans,
            charges_per_second,
        } = &self.decisions;
        writeln!(
            f,
            "charge and refund: {charges_per_second:.0}/s on one core"
        )?;
        for figure in dispatch {
            let rate = figure.requests_per_second;
            writeln!(
                f,
                "dispatch, {} replicas: {rate:.0}/s on one core",
                figure.replicas
            )?;
        }
        for figure in plans {
            writeln!(
                f,
                "plan, {} servers, {} models, {} adapters: {:.0} us, {} KiB",
                figure.servers,
                figure.models,
                figure.adapters,
                figure.plan_us,
                figure.memory_bytes / 1024
            )?;
        }
        Ok(())
    }
}
