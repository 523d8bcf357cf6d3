//! Model engine.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use miette::Result;
use zinniahinge_standins::CacheLevel;
use zinniahinge_standins::EngineService;
use zinniahinge_standins::EngineSettings;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::FencingMode;
use zinniahinge_standins::StandInServer;

/// Model engine for tests.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Address to listen on; port 0 picks a free one
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Memory for models and adapters
    #[bpaf(argument("BYTES"), fallback(80_000_000_000))]
    memory_capacity_bytes: u64,
    /// Whether a load beyond the capacity is refused: on or off
    #[bpaf(argument("MODE"), fallback(Switch::Off))]
    memory_check: Switch,
    /// Old fencing numbers: honour or ignore
    #[bpaf(argument("MODE"), fallback(FencingMode::Honour))]
    fencing: FencingMode,
    /// Requests that one replica runs at once
    #[bpaf(argument("COUNT"), fallback(4))]
    slots: u32,
    /// Time to the first token, in milliseconds
    #[bpaf(argument("MS"), fallback(20))]
    first_token_ms: u64,
    /// Time to the first token with a cached prefix, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    cached_first_token_ms: u64,
    /// Time between tokens, in microseconds
    #[bpaf(argument("US"), fallback(2_000))]
    token_us: u64,
    /// Share of the token limit that answers use
    #[bpaf(argument("SHARE"), fallback(1.0), guard(is_share, "is outside 0 to 1"))]
    answer_share: f64,
    /// Time of a load from the host's memory, in milliseconds
    #[bpaf(argument("MS"), fallback(50))]
    memory_load_ms: u64,
    /// Time of a load from the host's disk, in milliseconds
    #[bpaf(argument("MS"), fallback(300))]
    disk_load_ms: u64,
    /// Time of a load from remote without a weight store, in milliseconds
    #[bpaf(argument("MS"), fallback(1_000))]
    remote_load_ms: u64,
    /// Time of an adapter load without a weight store, in milliseconds
    #[bpaf(argument("MS"), fallback(8))]
    adapter_load_ms: u64,
    /// Time of an unload, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    unload_ms: u64,
    /// Address of the weight store
    #[bpaf(argument("ADDR"), optional)]
    store: Option<SocketAddr>,
    /// Cached checkpoint at the start, as MODEL@VERSION=LEVEL; can be repeated
    #[bpaf(argument("ENTRY"), many)]
    cached: Vec<CachedCheckpoint>,
    /// Unloaded checkpoints that stay in the host's memory
    #[bpaf(argument("COUNT"), fallback(2))]
    memory_checkpoints: usize,
    /// Prefixes that the prefix cache holds
    #[bpaf(argument("COUNT"), fallback(64))]
    prefix_entries: usize,
    /// Age that the load figures in the state report may have, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    report_lag_ms: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags().run();
    let faults = Arc::new(FaultSet::new(EngineService::FAULTS));
    let service = EngineService::new(read_settings(&flags), faults.clone());
    let handler = move |request| service.clone().handle(request);
    let server = StandInServer::start(flags.listen, faults, handler).await;
    server
        .into_diagnostic()?
        .run_until_signal()
        .await
        .into_diagnostic()
}

/// A checkpoint and where it is.
#[derive(Clone, Debug)]
struct CachedCheckpoint {
    checkpoint: String,
    level: CacheLevel,
}

impl FromStr for CachedCheckpoint {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Self, String> {
        let (checkpoint, level) = s.rsplit_once('=').ok_or("no = between name and level")?;
        Ok(Self {
            checkpoint: checkpoint.to_owned(),
            level: level.parse()?,
        })
    }
}

/// Value of a flag that is on or off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Switch {
    On,
    Off,
}

impl FromStr for Switch {
    type Err = String;

    fn from_str(s: &str) -> std::result::Result<Self, String> {
        match s {
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(format!("{s} is neither on nor off")),
        }
    }
}

fn is_share(share: &f64) -> bool {
    *share > 0.0 && *share <= 1.0
}

fn read_settings(flags: &Flags) -> EngineSettings {
    let cached = flags.cached.iter();
    EngineSettings {
        memory_capacity_bytes: flags.memory_capacity_bytes,
        memory_check: flags.memory_check == Switch::On,
        fencing: flags.fencing,
        slots: flags.slots,
        first_token_time: Duration::from_millis(flags.first_token_ms),
        cached_first_token_time: Duration::from_millis(flags.cached_first_token_ms),
        token_time: Duration::from_micros(flags.token_us),
        answer_share: flags.answer_share,
        memory_load_time: Duration::from_millis(flags.memory_load_ms),
        disk_load_time: Duration::from_millis(flags.disk_load_ms),
        remote_load_time: Duration::from_millis(flags.remote_load_ms),
        adapter_load_time: Duration::from_millis(flags.adapter_load_ms),
        unload_time: Duration::from_millis(flags.unload_ms),
        store: flags.store,
        cached: cached.map(|c| (c.checkpoint.clone(), c.level)).collect(),
        memory_checkpoints: flags.memory_checkpoints,
        prefix_entries: flags.prefix_entries,
        report_lag: Duration::from_millis(flags.report_lag_ms),
    }
}
