//! Starts, runs and stops the process of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use arc_swap::ArcSwap;
use miette::Diagnostic;
use slog::Logger;
use slog::info;
use slog::warn;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use zinniahinge_peer::KeyRing;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerCounters;
use zinniahinge_peer::PeerError;
use zinniahinge_peer::PeerReceiver;
use zinniahinge_peer::SharedKeyRing;
use zinniahinge_platform::EngineClient;
use zinniahinge_platform::PlatformError;
use zinniahinge_platform::StartupSettings;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::read_settings_file;
use zinniahinge_serving::AccountMeter;
use zinniahinge_serving::ConfigFreshness;
use zinniahinge_serving::StandInMeter;
use zinniahinge_telemetry::BootClock;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;
use zinniahinge_transport::ConnectionServer;
use zinniahinge_transport::HttpPool;
use zinniahinge_transport::PoolSettings;
use zinniahinge_transport::ServerLimits;

use crate::body_reader::BodyReader;
use crate::caller_lifecycle::drain;
use crate::coordinator::CoordinatorCell;
use crate::coordinator_orders::CoordinatorOrders;
use crate::duty_keeper::DutyKeeper;
use crate::duty_keeper::duty_times;
use crate::fleet_reporter::FleetReporter;
use crate::fleet_table::FleetTable;
use crate::host_counters::HostCounters;
use crate::host_settings::HostSettings;
use crate::host_state::HostState;
use crate::host_state::meter_settings;
use crate::model_uses::ModelUses;
use crate::peer_link::PeerLink;
use crate::peer_routes::PeerRoutes;
use crate::request_handler::handle;
use crate::retry_budgets::RetryBudgets;
use crate::side_servers::metrics;
use crate::side_servers::readiness;
use crate::store_changes::StoreChanges;
use crate::store_follower::StoreFollower;
use crate::store_relay::StoreRelay;
use crate::table_source::TableSource;

/// Bounds on peers, the balancer and the metrics reader.
const SIDE_LIMITS: ServerLimits = ServerLimits {
    header_bytes: 16 * 1024,
    idle_timeout: Duration::from_secs(60),
};

/// Time to give the duty up in a planned stop.
const RESIGN_TIME: Duration = Duration::from_secs(2);

/// Connections to backend servers.
const BACKEND_POOL: PoolSettings = PoolSettings {
    // Long enough for a packet that is sent again once, short enough to try another server.
    connect_timeout: Duration::from_millis(600),
    unacknowledged_timeout: Duration::from_millis(2000),
    probe_interval: Duration::from_secs(1),
    idle_time: Duration::from_secs(4),
    idle_percent: 70,
    max_idle: 16,
};

/// A host process could not start or run.
#[derive(Debug, Error, Diagnostic)]
pub enum HostError {
    /// The platform's settings can't be used.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The peer layer could not be set up.
    #[error("cannot set up messages to other hosts")]
    Peer(#[from] PeerError),
    /// The first peer keys could not be made.
    #[error("cannot make peer keys: {0}")]
    PeerKeys(String),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metric(#[from] MetricError),
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[error("cannot receive signals: {0}")]
    Signal(std::io::Error),
}

/// Result of running a host process.
pub type Result<T, E = HostError> = std::result::Result<T, E>;

/// Reads the platform's settings.
pub fn read_boot(settings: &HostSettings, logger: &Logger) -> Result<StartupSettings> {
    let boot = read_settings_file(&settings.platform_settings)?;
    info!(logger, "settings read"; "host" => &*boot.host, "place" => &*boot.place,
        "cores" => boot.cores, "version" => env!("CARGO_PKG_VERSION"));
    Ok(boot)
}

/// Parts of the process that are shared.
struct HostParts {
    state: Arc<HostState>,
    store: StoreClient,
    keys: SharedKeyRing,
    gate: PeerReceiver,
    cell: Arc<CoordinatorCell>,
    registry: MetricsRegistry,
}

/// Runs until a signal asks for a planned stop and all open requests are done.
pub async fn run(settings: HostSettings, boot: StartupSettings, logger: Logger) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(HostError::Signal)?;
    let parts = build(boot, logger.clone())?;
    let state = parts.state.clone();
    let token = CancellationToken::new();
    let stop_accepting = CancellationToken::new();
    let close_gracefully = CancellationToken::new();
    let open = Arc::new(AtomicUsize::new(0));

    start_side_servers(&parts, &token).await?;
    let duty = start_controllers(&settings, &parts, &token);
    tokio::spawn(follow_hangups(settings, logger.clone(), token.clone()));

    let callers = ConnectionServer {
        listener: bind(state.boot.callers).await?,
        stop_accepting: stop_accepting.clone(),
        close_gracefully: close_gracefully.clone(),
        open: open.clone(),
    };
    let bodies = BodyReader::default();
    let (limit_state, request_state) = (state.clone(), state.clone());
    tokio::spawn(callers.run(
        move || caller_limits(&limit_state),
        move |request| handle(request_state.clone(), bodies.clone(), request),
    ));
    info!(logger, "started"; "callers" => %state.boot.callers);

    terminate.recv().await;
    duty.token.cancel();
    drain(&state, &open, &stop_accepting, &close_gracefully).await;
    token.cancel();
    let _ = tokio::time::timeout(RESIGN_TIME, duty.task).await;
    info!(logger, "ended"; "store_calls" => parts.store.calls(), "connections" => state.pool.connections_opened());
    Ok(())
}

fn build(boot: StartupSettings, logger: Logger) -> Result<HostParts> {
    let registry = MetricsRegistry::new();
    let counters = HostCounters::register(&registry)?;
    // Replaced by the fleet's keys as soon as they are read.
    let ring = KeyRing::parse(&KeyRing::generate_text("unset")).map_err(HostError::PeerKeys)?;
    let keys = SharedKeyRing::in_memory(ring);
    let peer_counters = PeerCounters::register(&registry)?;
    let cell = Arc::new(CoordinatorCell::new(duty_times(&boot)));
    let link = PeerLink {
        client: PeerClient::new(keys.clone(), peer_counters.clone())?,
        cell: cell.clone(),
    };
    let clock = BootClock::default();
    let meter = AccountMeter::new(meter_settings(&boot.bounds), boot.is_first_start);
    let store = StoreClient::new(HttpPool::new(PoolSettings::default()), boot.store);
    let state = Arc::new(HostState {
        clock,
        counters,
        table: ArcSwap::from_pointee(FleetTable::default()),
        table_version: watch::channel(0).0,
        source: Mutex::new(TableSource::new()),
        confirmed: ConfigFreshness::default(),
        pool: HttpPool::new(BACKEND_POOL),
        meter: Mutex::new(meter),
        stand_in: Mutex::new(StandInMeter::new(meter_settings(&boot.bounds))),
        retries: RetryBudgets::new(&boot.bounds),
        uses: Mutex::new(ModelUses::default()),
        link,
        stopping: CancellationToken::new(),
        closing: CancellationToken::new(),
        boot,
        logger,
    });
    Ok(HostParts {
        state,
        store,
        gate: PeerReceiver::new(keys.clone(), peer_counters),
        keys,
        cell,
        registry,
    })
}

/// The task that keeps the duty; it gives the duty up when its token is cancelled.
struct DutyTask {
    token: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

fn start_controllers(
    settings: &HostSettings,
    parts: &HostParts,
    token: &CancellationToken,
) -> DutyTask {
    let HostParts {
        state,
        store,
        keys,
        cell,
        ..
    } = parts;
    let changes = StoreChanges {
        state: state.clone(),
        keys: keys.clone(),
    };
    let follower = StoreFollower {
        state: state.clone(),
        changes: changes.clone(),
        store: store.clone(),
        watch_wait: settings.watch_wait,
        failures: AtomicU32::new(0),
    };
    tokio::spawn(follower.run(token.clone()));
    let reporter = FleetReporter {
        state: state.clone(),
        relay: StoreRelay {
            changes,
            store: store.clone(),
            is_reading: Arc::default(),
        },
        interval: settings.report_interval,
    };
    tokio::spawn(reporter.run(token.clone()));
    let orders = CoordinatorOrders {
        state: state.clone(),
        cell: cell.clone(),
        engines: EngineClient::new(HttpPool::new(PoolSettings::default())),
        store_loads: settings.store_loads,
    };
    tokio::spawn(orders.run(token.clone()));
    let keeper = DutyKeeper {
        state: state.clone(),
        store: store.clone(),
        cell: cell.clone(),
    };
    let duty_token = token.child_token();
    let task = tokio::spawn(keeper.run(duty_token.clone()));
    DutyTask {
        token: duty_token,
        task,
    }
}

async fn start_side_servers(parts: &HostParts, token: &CancellationToken) -> Result<()> {
    let HostParts {
        state,
        gate,
        cell,
        registry,
        ..
    } = parts;
    let boot = &state.boot;
    let ready_state = state.clone();
    let ready = side_server(boot.readiness, token).await?;
    tokio::spawn(ready.run(
        || SIDE_LIMITS,
        move |_request| readiness(ready_state.clone()),
    ));
    let registry = registry.clone();
    let metric = side_server(boot.metrics, token).await?;
    tokio::spawn(metric.run(
        || SIDE_LIMITS,
        move |request| metrics(registry.clone(), request),
    ));
    let routes = PeerRoutes {
        state: state.clone(),
        cell: cell.clone(),
        gate: gate.clone(),
    };
    let peers = side_server(boot.peers, token).await?;
    tokio::spawn(peers.run(|| SIDE_LIMITS, move |request| routes.clone().serve(request)));
    Ok(())
}

async fn side_server(address: SocketAddr, token: &CancellationToken) -> Result<ConnectionServer> {
    Ok(ConnectionServer {
        listener: bind(address).await?,
        stop_accepting: token.clone(),
        close_gracefully: token.clone(),
        open: Arc::default(),
    })
}

fn caller_limits(state: &HostState) -> ServerLimits {
    let table = state.table.load();
    let limits = table.config.as_ref().map(|config| config.limits);
    let limits = limits.unwrap_or_default();
    ServerLimits {
        header_bytes: limits.header_bytes,
        idle_timeout: limits.idle_timeout.max(limits.read_timeout),
    }
}

/// The settings of a running process stay as they are, but for faults that are worth a line.
async fn follow_hangups(settings: HostSettings, logger: Logger, token: CancellationToken) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        warn!(logger, "cannot receive hangup signals");
        return;
    };
    while token.run_until_cancelled(hangups.recv()).await.is_some() {
        match read_settings_file(&settings.platform_settings) {
            Ok(boot) => info!(logger, "settings read again, in force at the next start";
                "host" => &*boot.host),
            Err(error) => warn!(logger, "changed settings can't be used"; "error" => %error),
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| HostError::Listen { address, source })
}
