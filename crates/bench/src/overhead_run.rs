use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use zinniahinge_fleet::ProgramKind;

use crate::BENCH_GROUP;
use crate::BENCH_KEY;
use crate::BenchError;
use crate::BenchFleet;
use crate::CallResult;
use crate::ChatCall;
use crate::ChatClient;
use crate::FleetPlan;
use crate::LatencyRecord;
use crate::OverheadReport;
use crate::OverheadRow;
use crate::StreamMemory;
use crate::bench_document;
use crate::bench_error::Result;
use crate::file_limit;

/// Length of the answers, tokens.
const ANSWER_TOKENS: u64 = 8;

/// Requests in flight per replica, the most that a document may state.
const SLOTS: u32 = 4096;

/// Models that held streams are spread over. Each stays below 80% of its slots, because the rest is
/// kept for other accounts.
const STREAM_MODELS: usize = 4;

/// Time between the tokens of a held stream. Below the 30 s of silence after which an entry process
/// gives a backend server up.
const HELD_TOKEN_GAP: Duration = Duration::from_secs(25);

/// Streams that are opened at the same time.
const OPENING_AT_ONCE: usize = 64;

/// Open files that a process needs besides the streams.
const SPARE_FILES: usize = 300;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Measurement of what an entry process adds to a warm request.
#[derive(Clone, Debug)]
pub struct OverheadPlan {
    /// Numbers of connections.
    pub connections: Vec<usize>,
    /// Time per repetition and number of connections.
    pub duration: Duration,
    /// Repetitions.
    pub repetitions: usize,
    /// Streams to hold open; lowered to what the file limit allows.
    pub streams: usize,
}

/// Latencies of both ways, measured in turn on the same connections.
#[derive(Clone, Debug, Default)]
struct PairedRecord {
    direct: LatencyRecord,
    through: LatencyRecord,
    refused: BTreeMap<String, u64>,
}

impl OverheadPlan {
    /// Runs the measurement on a fleet of its own.
    pub async fn run(&self) -> Result<OverheadReport> {
        let mut report = OverheadReport {
            rows: Vec::new(),
            streams: None,
        };
        let fleet = start_fleet(Duration::ZERO).await?;
        for _ in 0..self.repetitions {
            for connections in &self.connections {
                report.rows.push(self.measure(&fleet, *connections).await?);
            }
        }
        drop(fleet);
        if self.streams > 0 {
            report.streams = Some(self.measure_streams().await?);
        }
        Ok(report)
    }

    async fn measure(&self, fleet: &BenchFleet, connections: usize) -> Result<OverheadRow> {
        let engine = fleet.addresses(ProgramKind::Engine)[0];
        let entry = fleet.addresses(ProgramKind::Entry)[0];
        let before = cpu_times(fleet)?;
        let workers = (0..connections).map(|worker| {
            let pair = WorkerPair {
                client: ChatClient::new(1),
                engine,
                entry,
                worker,
            };
            tokio::spawn(pair.run(self.duration))
        });
        let mut record = PairedRecord::default();
        for worker in workers.collect::<Vec<_>>() {
            let PairedRecord {
                direct,
                through,
                refused,
            } = worker
                .await
                .map_err(|error| BenchError::Invalid(error.to_string()))??;
            record.direct.merge(&direct);
            record.through.merge(&through);
            for (kind, count) in refused {
                *record.refused.entry(kind).or_default() += count;
            }
        }
        let after = cpu_times(fleet)?;
        let requests = record.through.count();
        Ok(OverheadRow {
            connections,
            direct: record.direct.summary(),
            through: record.through.summary(),
            refused: record.refused,
            entry_cpu_us: per_request_us(after.entry - before.entry, requests),
            control_cpu_us: per_request_us(after.control - before.control, requests),
        })
    }

    async fn measure_streams(&self) -> Result<StreamMemory> {
        let fleet = start_fleet(HELD_TOKEN_GAP).await?;
        // An entry process needs one file for the caller and one for the backend server.
        let allowed = file_limit()?.saturating_sub(SPARE_FILES) / 2;
        let streams = self.streams.min(allowed);
        let client = ChatClient::new(1)?;
        let entry = fleet.addresses(ProgramKind::Entry)[0];
        let at_rest = resident(&fleet)?;
        let started = Instant::now();
        let held = open_streams(&client, entry, streams).await;
        let opened = held.len();
        let open_s = started.elapsed().as_secs_f64();
        let with_streams = resident(&fleet)?;
        let metrics = fleet
            .get(fleet.admin_addresses(ProgramKind::Entry)[0], "/metrics")
            .await?;
        let counted = metrics
            .lines()
            .find_map(|line| line.strip_prefix("zinniahinge_open_streams "))
            .and_then(|count| count.parse().ok());
        drop(held);
        Ok(StreamMemory {
            wanted: self.streams,
            allowed,
            opened,
            counted_by_entry: counted.unwrap_or_default(),
            open_s,
            entry_rest_bytes: at_rest.entry,
            control_rest_bytes: at_rest.control,
            entry_open_bytes: with_streams.entry,
            control_open_bytes: with_streams.control,
        })
    }
}

// ----------------------------------------------------------------------------------------------

struct WorkerPair {
    client: Result<ChatClient>,
    engine: SocketAddr,
    entry: SocketAddr,
    worker: usize,
}

impl WorkerPair {
    async fn run(self, duration: Duration) -> Result<PairedRecord> {
        let client = self.client?;
        let mut record = PairedRecord::default();
        let started = Instant::now();
        let mut round = 0_u64;
        // The first pairs set up connections and are not counted.
        let warm_up = 3;
        while started.elapsed() < duration {
            let text = format!("pair-{}-{round} one two three", self.worker);
            let direct = timed_call(&client, self.engine, &text, "").await?;
            let through = timed_call(&client, self.entry, &text, BENCH_KEY).await?;
            round += 1;
            match (direct, through) {
                (Ok(direct), Ok(through)) if round > warm_up => {
                    record.direct.add_duration(direct);
                    record.through.add_duration(through);
                }
                (Ok(_), Ok(_)) => {}
                (Err(kind), _) | (_, Err(kind)) => *record.refused.entry(kind).or_default() += 1,
            }
        }
        Ok(record)
    }
}

/// Latency, or the type of the problem of a refused request.
async fn timed_call(
    client: &ChatClient,
    address: SocketAddr,
    text: &str,
    key: &str,
) -> Result<std::result::Result<Duration, String>> {
    let call = ChatCall {
        address,
        key: key.to_owned(),
        model: "model-0".to_owned(),
        text: text.to_owned(),
        max_tokens: ANSWER_TOKENS,
        stream: false,
        timeout: TIMEOUT,
        trace_id: None,
    };
    let record = client.call(&call).await;
    match record.result {
        CallResult::Whole => Ok(Ok(record.finished - record.sent)),
        CallResult::Refused { kind, .. } => Ok(Err(kind)),
        result => Err(BenchError::Invalid(format!(
            "{} from {address}",
            result.name()
        ))),
    }
}

/// Opens streams and keeps their answers unread, so that each stays open until dropped.
async fn open_streams(
    client: &ChatClient,
    entry: SocketAddr,
    streams: usize,
) -> Vec<volo_http::response::Response> {
    use futures::StreamExt;
    let opened = futures::stream::iter(0..streams).map(|number| {
        let call = ChatCall {
            address: entry,
            key: BENCH_KEY.to_owned(),
            model: format!("model-{}", number % STREAM_MODELS),
            text: format!("stream-{number} one two three"),
            max_tokens: 2,
            stream: true,
            timeout: TIMEOUT,
            trace_id: None,
        };
        async move { client.send(&call).await.ok() }
    });
    let opened = opened.buffer_unordered(OPENING_AT_ONCE);
    let opened: Vec<Option<_>> = opened.collect().await;
    let opened = opened.into_iter().flatten();
    opened
        .filter(|answer| answer.status().is_success())
        .collect()
}

/// One host and one engine, with the models loaded.
async fn start_fleet(token_gap: Duration) -> Result<BenchFleet> {
    let flags = [
        ("--slots", SLOTS.to_string()),
        ("--first-token-ms", "0".to_owned()),
        ("--cached-first-token-ms", "0".to_owned()),
        ("--token-us", token_gap.as_micros().to_string()),
    ];
    let fleet = FleetPlan {
        hosts: 1,
        engines: 1,
        engine_group: BENCH_GROUP.to_owned(),
        engine_arguments: flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect(),
        store_arguments: None,
        control_arguments: Vec::new(),
        region: "region-1".to_owned(),
        places: vec!["place-1".to_owned()],
        documents: vec![(
            "bench.toml".to_owned(),
            bench_document(STREAM_MODELS, SLOTS),
        )],
    };
    let fleet = fleet.start().await?;
    let entry = fleet.addresses(ProgramKind::Entry)[0];
    let client = ChatClient::new(1)?;
    for number in 0..STREAM_MODELS {
        let call = ChatCall {
            address: entry,
            key: BENCH_KEY.to_owned(),
            model: format!("model-{number}"),
            text: "warm up".to_owned(),
            max_tokens: 1,
            stream: false,
            timeout: TIMEOUT,
            trace_id: None,
        };
        let result = client.call(&call).await.result;
        if result != CallResult::Whole {
            return Err(BenchError::Invalid(format!("first request: {result:?}")));
        }
    }
    Ok(fleet)
}

// ----------------------------------------------------------------------------------------------

struct HostFigures<T> {
    entry: T,
    control: T,
}

fn cpu_times(fleet: &BenchFleet) -> Result<HostFigures<Duration>> {
    let cpu = |kind| Ok::<_, BenchError>(fleet.usage(kind)?.iter().map(|usage| usage.cpu).sum());
    Ok(HostFigures {
        entry: cpu(ProgramKind::Entry)?,
        control: cpu(ProgramKind::Control)?,
    })
}

fn resident(fleet: &BenchFleet) -> Result<HostFigures<u64>> {
    let bytes = |kind| {
        let usage = fleet.usage(kind)?;
        Ok::<_, BenchError>(usage.iter().map(|usage| usage.resident_bytes).sum())
    };
    Ok(HostFigures {
        entry: bytes(ProgramKind::Entry)?,
        control: bytes(ProgramKind::Control)?,
    })
}

fn per_request_us(cpu: Duration, requests: u64) -> f64 {
    cpu.as_secs_f64() * 1e6 / requests.max(1) as f64
}
