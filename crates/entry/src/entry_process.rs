//! Starts, runs and stops an entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use miette::Diagnostic;
use slog::Logger;
use slog::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use volo_http::request::Request;
use volo_http::server::Server;
use volo_http::server::route::Router;
use volo_http::server::route::any;
use volo_http::server::route::get;
use zinniahinge_limits::RetryBudget;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerCounters;
use zinniahinge_peer::PeerError;
use zinniahinge_peer::SharedKeyRing;
use zinniahinge_peer::StoppableListener;
use zinniahinge_telemetry::AdminState;
use zinniahinge_telemetry::EventLog;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;
use zinniahinge_telemetry::Readiness;
use zinniahinge_telemetry::add_admin_routes;
use zinniahinge_types::EventKind;

use crate::backend_client::BackendClient;
use crate::caller_listener::CallerListener;
use crate::entry_counters::EntryCounters;
use crate::entry_settings::EntrySettings;
use crate::entry_snapshot::SnapshotCell;
use crate::entry_state::EntryState;
use crate::filters::standard_chain;
use crate::owner_client::OwnerClient;
use crate::plain_servers::PlainServers;
use crate::request_handler::handle;
use crate::request_handler::list_models;
use crate::snapshot_follower::SnapshotFollower;

/// Percentage of requests that may be retried.
const RETRY_PERCENT: u32 = 20;

/// Retries that may be saved up.
const MAX_RETRIES: u32 = 100;

/// Pause between two looks at the number of open requests during a stop.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// An entry process could not start or run.
#[derive(Debug, Error, Diagnostic)]
pub enum EntryError {
    /// The peer layer could not be set up.
    #[error("cannot set up messages to other processes")]
    Peer(#[from] PeerError),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metric(#[from] MetricError),
    /// An address could not be bound, or the certificate could not be read.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The HTTP library failed.
    #[error("HTTP server failed: {0}")]
    Http(String),
}

/// Result of running an entry process.
pub type Result<T, E = EntryError> = std::result::Result<T, E>;

/// Runs until a signal asks for a planned stop and all open requests are done.
pub async fn run(settings: EntrySettings, logger: Logger) -> Result<()> {
    let token = CancellationToken::new();
    let registry = MetricsRegistry::new();
    let process = format!("entry/{}", settings.common.host);
    let events = Arc::new(EventLog::new(process.into(), EventLog::DEFAULT_CAPACITY));
    let keys = SharedKeyRing::open(&settings.peer_keys)?;
    let client = PeerClient::new(keys.clone(), PeerCounters::register(&registry)?)?;
    tokio::spawn(keys.follow(logger.clone(), token.clone()));
    let state = Arc::new(build_state(
        &settings,
        &registry,
        events.clone(),
        client.clone(),
    )?);
    let follower = SnapshotFollower {
        own_control: settings.control.to_string().into(),
        client,
        cell: state.snapshot.clone(),
        plain_servers: state.plain_servers.clone(),
        events: events.clone(),
        logger: logger.clone(),
    };
    tokio::spawn(follower.run(token.clone()));

    let stopping = Arc::new(AtomicBool::new(false));
    let source = admin_source(&state, &registry, &stopping);
    let admin = serve_admin(settings.admin, source, token.clone()).await?;
    serve_callers(&settings, state, stopping, logger.clone(), token.clone()).await?;
    token.cancel();
    let _ = admin.await;
    info!(logger, "stopped");
    Ok(())
}

fn build_state(
    settings: &EntrySettings,
    registry: &MetricsRegistry,
    events: Arc<EventLog>,
    client: PeerClient,
) -> Result<EntryState> {
    let snapshot = Arc::new(SnapshotCell::default());
    let backends = BackendClient::new().map_err(|error| EntryError::Http(error.to_string()))?;
    Ok(EntryState {
        host: settings.common.host.clone(),
        place: settings.common.place.clone(),
        limits: settings.limits.clone(),
        plain_servers: Arc::new(PlainServers::new(settings.common.place.clone())),
        owners: OwnerClient::new(client, snapshot.clone()),
        snapshot,
        backends,
        retries: RetryBudget::new(RETRY_PERCENT, MAX_RETRIES),
        chain: standard_chain(),
        events,
        counters: EntryCounters::register(registry)?,
    })
}

fn admin_source(
    state: &Arc<EntryState>,
    registry: &MetricsRegistry,
    stopping: &Arc<AtomicBool>,
) -> AdminState {
    let (ready_state, stopping) = (state.clone(), stopping.clone());
    let readiness = move || {
        if stopping.load(Ordering::Acquire) {
            return Readiness::NotReady("stopping".to_owned());
        }
        let snapshot = ready_state.snapshot.load();
        if snapshot.services.is_empty() {
            return Readiness::NotReady("no document is in force".to_owned());
        }
        if snapshot.assignment.owners.is_empty() {
            return Readiness::NotReady("the assignment of shards is not known".to_owned());
        }
        if !snapshot.servers_known {
            return Readiness::NotReady("the host list is not known".to_owned());
        }
        Readiness::Ready
    };
    AdminState::new(state.events.clone(), registry.clone(), readiness)
}

/// Serves the admin routes until `token` is cancelled, so that the drain can be watched.
async fn serve_admin(
    address: SocketAddr,
    source: AdminState,
    token: CancellationToken,
) -> Result<tokio::task::JoinHandle<()>> {
    let listener = bind(address).await?;
    let router: Router = add_admin_routes(Router::new(), source);
    let listener = StoppableListener::new(listener, token.clone());
    let server = Server::new(router)
        .register_shutdown_hook(move || Box::pin(async move { token.cancelled().await }));
    Ok(tokio::spawn(async move {
        let _ = server.run(listener).await;
    }))
}

async fn serve_callers(
    settings: &EntrySettings,
    state: Arc<EntryState>,
    stopping: Arc<AtomicBool>,
    logger: Logger,
    token: CancellationToken,
) -> Result<()> {
    let address = settings.common.listen;
    let listener = bind(address).await?;
    let accepting = token.child_token();
    let incoming = CallerListener::start(
        listener,
        settings.certificate.clone(),
        logger.clone(),
        accepting.clone(),
    )
    .map_err(|source| EntryError::Listen { address, source })?;
    info!(logger, "listening"; "callers" => %address, "admin" => %settings.admin);
    state
        .events
        .record(EventKind::ProcessReady, None, state.host.clone(), "");
    let drain = drain(settings.clone(), state.clone(), stopping, accepting, logger);
    let server = Server::new(caller_router(state)).register_shutdown_hook(move || Box::pin(drain));
    server
        .run(incoming)
        .await
        .map_err(|error| EntryError::Http(error.to_string()))
}

fn caller_router(state: Arc<EntryState>) -> Router {
    let models = state.clone();
    Router::new()
        .route(
            "/v1/models",
            get(move |request: Request| {
                let state = models.clone();
                async move { list_models(state, request).await }
            }),
        )
        .fallback_service(any(move |request: Request| {
            let state = state.clone();
            async move { handle(state, request).await }
        }))
}

/// Planned stop: not ready, then no new connections, then wait for open requests.
async fn drain(
    settings: EntrySettings,
    state: Arc<EntryState>,
    stopping: Arc<AtomicBool>,
    accepting: CancellationToken,
    logger: Logger,
) {
    info!(logger, "stopping"; "open" => state.counters.active());
    state
        .events
        .record(EventKind::ProcessStopping, None, state.host.clone(), "");
    stopping.store(true, Ordering::Release);
    tokio::time::sleep(settings.drain_lead).await;
    accepting.cancel();
    let idle = async {
        while state.counters.active() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    let in_time = tokio::time::timeout(settings.drain_limit, idle)
        .await
        .is_ok();
    info!(logger, "drained"; "complete" => in_time);
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| EntryError::Listen { address, source })
}
