//! Starts, runs and stops a control process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use miette::Diagnostic;
use slog::Logger;
use slog::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use volo_http::server::Server;
use zinniahinge_kv::KvClient;
use zinniahinge_kv::KvError;
use zinniahinge_kv::KvSettings;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerCounters;
use zinniahinge_peer::PeerError;
use zinniahinge_peer::PeerReceiver;
use zinniahinge_peer::SharedKeyRing;
use zinniahinge_peer::StoppableListener;
use zinniahinge_telemetry::AdminState;
use zinniahinge_telemetry::BootClock;
use zinniahinge_telemetry::EventLog;
use zinniahinge_telemetry::MetricError;
use zinniahinge_telemetry::MetricsRegistry;
use zinniahinge_telemetry::Readiness;
use zinniahinge_telemetry::add_admin_routes;
use zinniahinge_telemetry::wall_clock_us;
use zinniahinge_types::EventKind;
use zinniahinge_types::HostAddress;

use crate::config_follower::ConfigFollower;
use crate::control_settings::ControlSettings;
use crate::copy_store::CopyStore;
use crate::dispatch_service::DispatchService;
use crate::engine_client::EngineClient;
use crate::gossip::GossipHandler;
use crate::host_list_follower::HostListFollower;
use crate::idempotency_service::IdempotencyService;
use crate::in_force::InForceCell;
use crate::kv_counters::export_kv_counts;
use crate::limit_service::LimitService;
use crate::member_controller::MemberController;
use crate::member_core::HostIdentity;
use crate::member_core::MemberCell;
use crate::peer_routes::PeerServices;
use crate::peer_routes::peer_router;
use crate::pool_controller::PoolController;
use crate::record_writer::RecordWriter;
use crate::shard_table::ShardTable;
use crate::work_signal::WorkSignal;

/// Time for one request to the key-value service. It is below the term, so that a renewal is tried again in time.
const KV_TIMEOUT: Duration = Duration::from_secs(1);

/// A control process could not start or run.
#[derive(Debug, Error, Diagnostic)]
pub enum ControlError {
    /// The peer layer could not be set up.
    #[error("cannot set up messages to other processes")]
    Peer(#[from] PeerError),
    /// The client of the key-value service could not be set up.
    #[error("cannot set up the client of the key-value service")]
    Kv(#[from] KvError),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metric(#[from] MetricError),
    /// The address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The HTTP library failed.
    #[error("HTTP failed: {0}")]
    Http(String),
}

/// Result of running a control process.
pub type Result<T, E = ControlError> = std::result::Result<T, E>;

/// Parts of a running control process.
struct ControlParts {
    services: PeerServices,
    controller: MemberController,
    follower: ConfigFollower,
    hosts: HostListFollower,
    pools: PoolController,
    gossip: Arc<GossipHandler>,
}

/// Runs until a signal asks for a planned stop and the shards are handed over.
pub async fn run(settings: ControlSettings, logger: Logger) -> Result<()> {
    let address = settings.common.listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| ControlError::Listen { address, source })?;
    let token = CancellationToken::new();
    let registry = MetricsRegistry::new();
    let process = format!("control/{}", settings.common.host);
    let events = Arc::new(EventLog::new(process.into(), EventLog::DEFAULT_CAPACITY));
    let keys = SharedKeyRing::open(&settings.peer_keys)?;
    let counters = PeerCounters::register(&registry)?;
    let client = PeerClient::new(keys.clone(), counters.clone())?;
    let gate = PeerReceiver::new(keys.clone(), counters);
    let kv = KvClient::new(KvSettings::new(settings.kv.clone()).with_request_timeout(KV_TIMEOUT))?;
    tokio::spawn(keys.follow(logger.clone(), token.clone()));
    export_kv_counts(&registry, kv.clone(), token.clone())?;
    let parts = build_parts(&settings, kv, client, events.clone(), &logger, &token)?;
    let controller = parts.controller.clone();
    let services = parts.services.clone();
    start_tasks(parts, &logger, &token);

    let stopping = Arc::new(AtomicBool::new(false));
    let source = admin_source(&services, &registry, events, &stopping);
    let router = add_admin_routes(peer_router(&gate, &services), source);
    info!(logger, "listening"; "address" => %address);
    let stop_logger = logger.clone();
    let accepting = token.child_token();
    let listener = StoppableListener::new(listener, accepting.clone());
    let server = Server::new(router).register_shutdown_hook(move || {
        Box::pin(async move {
            info!(stop_logger, "stopping");
            stopping.store(true, Ordering::Release);
            controller.leave(settings.drain_limit).await;
            accepting.cancel();
        })
    });
    let served = server.run(listener).await;
    token.cancel();
    info!(logger, "stopped");
    served.map_err(|error| ControlError::Http(error.to_string()))
}

fn build_parts(
    settings: &ControlSettings,
    kv: KvClient,
    client: PeerClient,
    events: Arc<EventLog>,
    logger: &Logger,
    token: &CancellationToken,
) -> Result<ControlParts> {
    let member = Arc::new(MemberCell::new(
        identity(settings),
        wall_clock_ms(),
        BootClock::default(),
    ));
    let in_force = Arc::new(InForceCell::default());
    let shards = Arc::new(ShardTable::new(member.clone()));
    let copies = Arc::new(CopyStore::default());
    let engines = EngineClient::new().map_err(|error| ControlError::Http(error.to_string()))?;
    let (writer, writer_task) = RecordWriter::new(kv.clone(), member.clone(), in_force.clone());
    tokio::spawn(writer_task.run(token.clone()));
    let gossip = Arc::new(GossipHandler {
        member: member.clone(),
        in_force: in_force.clone(),
        client: client.clone(),
    });
    let waiting = Arc::new(WorkSignal::default());
    let plan = Arc::new(WorkSignal::default());
    let dispatch = DispatchService {
        shards: shards.clone(),
        member: member.clone(),
        in_force: in_force.clone(),
        client: client.clone(),
        events: events.clone(),
        waiting: waiting.clone(),
        demand: Arc::new(WorkSignal::default()),
        plan: plan.clone(),
    };
    let idempotency = IdempotencyService {
        shards: shards.clone(),
        member: member.clone(),
        writer: writer.clone(),
        kv: kv.clone(),
        client: client.clone(),
        backlog: Arc::new(Mutex::new(Vec::new())),
    };
    let services = PeerServices {
        member: member.clone(),
        in_force: in_force.clone(),
        limits: LimitService {
            shards: shards.clone(),
            in_force: in_force.clone(),
            waiting,
        },
        dispatch,
        idempotency,
        copies: copies.clone(),
        gossip: gossip.clone(),
    };
    let controller = MemberController {
        member: member.clone(),
        shards: shards.clone(),
        in_force: in_force.clone(),
        kv: kv.clone(),
        client,
        gossip: gossip.clone(),
        copies,
        events: events.clone(),
        logger: logger.clone(),
        stopped: Arc::new(Notify::new()),
    };
    let follower = ConfigFollower {
        kv: kv.clone(),
        member: member.clone(),
        in_force: in_force.clone(),
        events: events.clone(),
        logger: logger.clone(),
    };
    let hosts = HostListFollower {
        address: settings.hostlist.to_string().into(),
        in_force: in_force.clone(),
        logger: logger.clone(),
    };
    let pools = PoolController {
        shards,
        member,
        in_force,
        kv,
        writer,
        engines,
        wakeup: plan,
        events,
        logger: logger.clone(),
    };
    Ok(ControlParts {
        services,
        controller,
        follower,
        hosts,
        pools,
        gossip,
    })
}

fn start_tasks(parts: ControlParts, logger: &Logger, token: &CancellationToken) {
    let ControlParts {
        services,
        controller,
        follower,
        hosts,
        pools,
        gossip,
    } = parts;
    tokio::spawn(follower.run(token.clone()));
    let (hosts_logger, hosts_token) = (logger.clone(), token.clone());
    tokio::spawn(async move {
        if let Err(error) = hosts.run(hosts_token).await {
            slog::error!(hosts_logger, "host list is not followed"; "error" => %error);
        }
    });
    tokio::spawn(controller.run(token.clone()));
    tokio::spawn(gossip.run(token.clone()));
    tokio::spawn(pools.run(token.clone()));
    tokio::spawn(services.limits.clone().run(token.clone()));
    tokio::spawn(services.dispatch.clone().report_demand(token.clone()));
    tokio::spawn(services.dispatch.clone().apply_changes(token.clone()));
    tokio::spawn(services.idempotency.clone().run(token.clone()));
}

fn identity(settings: &ControlSettings) -> HostIdentity {
    let common = &settings.common;
    HostIdentity {
        host: common.host.clone(),
        address: HostAddress {
            control: common.listen.to_string().into(),
            place: common.place.clone(),
            region: common.region.clone(),
        },
        settings: settings.authority,
    }
}

fn admin_source(
    services: &PeerServices,
    registry: &MetricsRegistry,
    events: Arc<EventLog>,
    stopping: &Arc<AtomicBool>,
) -> AdminState {
    let (member, in_force) = (services.member.clone(), services.in_force.clone());
    let stopping = stopping.clone();
    events.record(
        EventKind::ProcessReady,
        None,
        member.identity.host.clone(),
        "",
    );
    let readiness = move || {
        if stopping.load(Ordering::Acquire) {
            return Readiness::NotReady("stopping".to_owned());
        }
        if in_force.load().documents.is_empty() {
            return Readiness::NotReady("no document is in force".to_owned());
        }
        if !member.gate.has_authority(member.now()) {
            return Readiness::NotReady("no authority".to_owned());
        }
        Readiness::Ready
    };
    AdminState::new(events, registry.clone(), readiness)
}

/// Start time as incarnation number: a later run gets a larger one without any state on the host. If a clock was set
/// back, the process finds the larger number in its record and joins again above it.
fn wall_clock_ms() -> u64 {
    wall_clock_us() / 1000
}
