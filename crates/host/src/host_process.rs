//! Starts, runs and gracefully stops the host process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
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
use zinniahinge_platform::ATTEMPT_ID;
use zinniahinge_platform::EngineClient;
use zinniahinge_platform::PlatformError;
use zinniahinge_platform::StartupSettings;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::read_settings_file;
use zinniahinge_serving::AccountMeter;
use zinniahinge_serving::ConfigFreshness;
use zinniahinge_serving::StandInMeter;
use zinniahinge_serving::StoreEraRecord;
use zinniahinge_telemetry::BootClock;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;
use zinniahinge_transport::ConnectionServer;
use zinniahinge_transport::HttpPool;
use zinniahinge_transport::PoolSettings;
use zinniahinge_transport::ServerLimits;

use crate::body_reader::BodyReader;
use crate::caller_lifecycle::drain;
use crate::change_applier::ChangeApplier;
use crate::coordinator::CoordinatorCell;
use crate::coordinator_election::CoordinatorElection;
use crate::coordinator_election::lease_times;
use crate::coordinator_orders::CoordinatorOrders;
use crate::engine_timings::EngineTimings;
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
use crate::stop_progress::StopProgress;
use crate::store_follower::StoreFollower;
use crate::store_relay::StoreRelay;
use crate::table_source::TableSource;

/// Limits on connections of other hosts, the load balancer's readiness checks and the metrics reader.
const SIDE_SERVER_LIMITS: ServerLimits = ServerLimits {
    header_bytes: 16 * 1024,
    idle_timeout: Duration::from_secs(60),
};

/// Longest wait for the release of the coordinator lease during a graceful shutdown.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of the connection pool to backend servers.
pub(crate) const BACKEND_POOL: PoolSettings = PoolSettings {
    // Long enough for one retransmission of a lost packet, short enough to try another server afterwards.
    connect_timeout: Duration::from_millis(600),
    unacknowledged_timeout: Duration::from_millis(2000),
    probe_interval: Duration::from_secs(1),
    idle_time: Duration::from_secs(4),
    idle_percent: 70,
    max_idle: 16,
    id_header: Some(ATTEMPT_ID),
};

/// Error that prevents the host process from starting or running.
#[derive(Debug, Error, Diagnostic)]
pub enum HostError {
    /// The platform's settings file can't be read or is invalid.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The client for messages to other hosts could not be set up.
    #[error("cannot set up messages to other hosts")]
    Peer(#[from] PeerError),
    /// The temporary peer keys, used until the fleet's are read, could not be generated.
    #[error("cannot generate temporary peer keys: {0}")]
    PeerKeys(String),
    /// The metrics could not be registered.
    #[error(transparent)]
    Metric(#[from] MetricError),
    /// A listening address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The handler for the termination signal could not be installed.
    #[error("cannot install the handler for SIGTERM: {0}")]
    Signal(std::io::Error),
}

/// Result with [`HostError`] as the default error.
pub type Result<T, E = HostError> = std::result::Result<T, E>;

/// Reads and checks the platform's settings file; fails with [`HostError::Platform`] if it can't be used.
pub fn read_startup_settings(settings: &HostSettings, logger: &Logger) -> Result<StartupSettings> {
    let startup = read_settings_file(&settings.platform_settings)?;
    info!(logger, "platform settings read"; "host" => &*startup.host, "place" => &*startup.place,
        "cores" => startup.cores, "version" => env!("CARGO_PKG_VERSION"));
    Ok(startup)
}

/// Components that the process's tasks and servers share.
struct HostParts {
    state: Arc<HostState>,
    store: StoreClient,
    keys: SharedKeyRing,
    receiver: PeerReceiver,
    cell: Arc<CoordinatorCell>,
    registry: MetricsRegistry,
}

/// Runs the host until SIGTERM, then stops gracefully: releases the coordinator lease and waits for open requests.
///
/// Fails if a listening address can't be bound or a component can't be set up.
pub async fn run(settings: HostSettings, startup: StartupSettings, logger: Logger) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(HostError::Signal)?;
    let parts = build(startup, logger.clone())?;
    let state = parts.state.clone();
    let token = CancellationToken::new();
    let stop_accepting = CancellationToken::new();
    let close_gracefully = CancellationToken::new();
    let open = Arc::new(AtomicUsize::new(0));

    start_side_servers(&parts, &token).await?;
    let election = start_controllers(&settings, &parts, &token);
    tokio::spawn(check_settings_on_hangup(
        settings,
        logger.clone(),
        token.clone(),
    ));

    let callers = ConnectionServer {
        listener: bind(state.startup.callers).await?,
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
    info!(logger, "started"; "callers" => %state.startup.callers);

    terminate.recv().await;
    election.token.cancel();
    drain(&state, &open, &stop_accepting, &close_gracefully).await;
    token.cancel();
    let _ = tokio::time::timeout(LEASE_RELEASE_TIMEOUT, election.task).await;
    info!(logger, "ended"; "store_calls" => parts.store.calls(), "connections" => state.pool.connections_opened());
    Ok(())
}

/// Creates the shared components; starts no tasks.
fn build(startup: StartupSettings, logger: Logger) -> Result<HostParts> {
    let registry = MetricsRegistry::new();
    let counters = HostCounters::register(&registry)?;
    // Random temporary keys, replaced by the fleet's as soon as these are read from the store.
    let ring = KeyRing::parse(&KeyRing::generate_text("unset")).map_err(HostError::PeerKeys)?;
    let keys = SharedKeyRing::in_memory(ring);
    let peer_counters = PeerCounters::register(&registry)?;
    let eras = Arc::new(StoreEraRecord::default());
    let cell = Arc::new(CoordinatorCell::new(lease_times(&startup), eras.clone()));
    let link = PeerLink {
        client: PeerClient::new(keys.clone(), peer_counters.clone())?,
        cell: cell.clone(),
    };
    let clock = BootClock::default();
    let meter = AccountMeter::new(meter_settings(&startup.bounds), startup.is_first_start);
    let store_pool = HttpPool::new(PoolSettings::default());
    let store = StoreClient::new(store_pool, startup.store, eras.clone());
    let pool = HttpPool::new(BACKEND_POOL);
    let state = Arc::new(HostState {
        clock,
        counters,
        table: ArcSwap::from_pointee(FleetTable::default()),
        table_version: watch::channel(0).0,
        source: Mutex::new(TableSource::new(&startup.bounds)),
        confirmed: ConfigFreshness::default(),
        eras,
        engines: EngineClient::new(pool.clone()),
        pool,
        meter: Mutex::new(meter),
        stand_in: Mutex::new(StandInMeter::new(meter_settings(&startup.bounds))),
        retries: RetryBudgets::new(&startup.bounds),
        limit_shares: Mutex::default(),
        uses: Mutex::new(ModelUses::default()),
        timings: Mutex::new(EngineTimings::default()),
        totals_age_ms: AtomicU64::new(0),
        parts: Mutex::default(),
        silent_hosts: Mutex::default(),
        link,
        stop: StopProgress::default(),
        startup,
        logger,
    });
    Ok(HostParts {
        state,
        store,
        receiver: PeerReceiver::new(keys.clone(), peer_counters),
        keys,
        cell,
        registry,
    })
}

/// Task of the coordinator election. Cancelling the token makes it release the lease and end.
struct ElectionTask {
    token: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// Starts the background tasks: store follower, reporter, sender of orders, and coordinator election.
fn start_controllers(
    settings: &HostSettings,
    parts: &HostParts,
    token: &CancellationToken,
) -> ElectionTask {
    let HostParts {
        state,
        store,
        keys,
        cell,
        ..
    } = parts;
    let changes = ChangeApplier {
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
            is_completing: Arc::default(),
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
    let coordinator_election = CoordinatorElection {
        state: state.clone(),
        store: store.clone(),
        cell: cell.clone(),
    };
    let election_token = token.child_token();
    let task = tokio::spawn(coordinator_election.run(election_token.clone()));
    ElectionTask {
        token: election_token,
        task,
    }
}

/// Starts the servers for readiness checks, metrics and messages of other hosts.
async fn start_side_servers(parts: &HostParts, token: &CancellationToken) -> Result<()> {
    let HostParts {
        state,
        receiver,
        cell,
        registry,
        ..
    } = parts;
    let startup = &state.startup;
    let ready_state = state.clone();
    let ready = side_server(startup.readiness, token).await?;
    tokio::spawn(ready.run(
        || SIDE_SERVER_LIMITS,
        move |_request| readiness(ready_state.clone()),
    ));
    let registry = registry.clone();
    let metric = side_server(startup.metrics, token).await?;
    tokio::spawn(metric.run(
        || SIDE_SERVER_LIMITS,
        move |request| metrics(registry.clone(), request),
    ));
    let routes = PeerRoutes {
        state: state.clone(),
        cell: cell.clone(),
        receiver: receiver.clone(),
    };
    let peers = side_server(startup.peers, token).await?;
    tokio::spawn(peers.run(
        || SIDE_SERVER_LIMITS,
        move |request| routes.clone().serve(request),
    ));
    Ok(())
}

/// Binds a server that closes gracefully when `token` is cancelled.
async fn side_server(address: SocketAddr, token: &CancellationToken) -> Result<ConnectionServer> {
    Ok(ConnectionServer {
        listener: bind(address).await?,
        stop_accepting: token.clone(),
        close_gracefully: token.clone(),
        open: Arc::default(),
    })
}

/// Returns the limits on callers' connections from the configuration in force, or default ones before the first.
fn caller_limits(state: &HostState) -> ServerLimits {
    let table = state.table.load();
    let limits = table.config.as_ref().map(|config| config.limits);
    let limits = limits.unwrap_or_default();
    ServerLimits {
        header_bytes: limits.header_bytes,
        idle_timeout: limits.idle_timeout.max(limits.read_timeout),
    }
}

/// Reads the settings file again at each SIGHUP and logs whether it is valid. A running process keeps its settings; changes
/// take effect at the next start.
async fn check_settings_on_hangup(
    settings: HostSettings,
    logger: Logger,
    token: CancellationToken,
) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        warn!(
            logger,
            "cannot install the handler for SIGHUP, changed settings are not checked"
        );
        return;
    };
    while token.run_until_cancelled(hangups.recv()).await.is_some() {
        match read_settings_file(&settings.platform_settings) {
            Ok(startup) => {
                info!(logger, "platform settings are valid, changes take effect at the next start";
                    "host" => &*startup.host)
            }
            Err(error) => {
                warn!(logger, "platform settings are invalid, the next start would fail"; "error" => %error)
            }
        }
    }
}

/// Binds a listening address; fails with [`HostError::Listen`].
async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| HostError::Listen { address, source })
}
