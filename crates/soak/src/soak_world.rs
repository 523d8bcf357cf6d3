use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostFleet;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::PlatformStore;
use zinniahinge_platform_standins::ReportDelay;
use zinniahinge_platform_standins::RouteText;

use crate::LinkProxy;
use crate::Result;
use crate::SoakError;
use crate::SoakSettings;
use crate::flooded_servers::COLD_PER_S;
use crate::flooded_servers::COLD_S;
use crate::promise_check::Disturbance;

/// Plain backend servers; they come before the engines.
pub(crate) const PLAIN_SERVERS: usize = 3;

/// Models of each engine at the start. A third model is on none.
const ENGINES: [&[&str]; 3] = [&["m1", "m2"], &["m1"], &["m2"]];

/// Age of the engines' reports; the platform's protocol promises some hundred milliseconds.
pub(crate) const REPORT_DELAY: ReportDelay = ReportDelay {
    answer: Duration::ZERO,
    age: Duration::from_millis(200),
};

/// Pause between two events of a stream, so that a run lasts longer than two servers may work on one request.
const EVENT_PAUSE: Duration = Duration::from_millis(120);

/// The engine that closes the connections of streams that return to it.
const LOSING_ENGINE: usize = 1;

/// Data centre of the last server of each service; the others and the hosts are in the first one.
pub(crate) const SECOND_PLACE: &str = "b";

/// Key that is never withdrawn.
pub(crate) const KEPT_KEY: &str = "key-1";

/// Key that is withdrawn and given again.
pub(crate) const TURNED_KEY: &str = "key-2";

/// A backend server behind a proxy.
pub(crate) struct LinkedBackend {
    pub(crate) server: BackendServer,
    pub(crate) link: LinkProxy,
}

/// A host's place in the fleet: its processes come and go.
pub(crate) struct HostSlot {
    pub(crate) name: String,
    pub(crate) process: tokio::sync::Mutex<Option<HostProcess>>,
    /// Where callers connect to the present process.
    pub(crate) callers: Mutex<SocketAddr>,
    pub(crate) store_link: LinkProxy,
}

/// Everything that a run plays with.
pub(crate) struct SoakWorld {
    pub(crate) store: PlatformStore,
    pub(crate) backends: Mutex<Vec<LinkedBackend>>,
    /// Held while a server starts at the address of a former one.
    pub(crate) successions: tokio::sync::Mutex<()>,
    pub(crate) hosts: Vec<HostSlot>,
    pub(crate) fleet: tokio::sync::Mutex<HostFleet>,
    pub(crate) config: Mutex<ConfigText>,
    /// When the second key was withdrawn (false) or given again (true).
    pub(crate) key_turns: Mutex<Vec<(Instant, bool)>>,
    pub(crate) disturbances: Mutex<Vec<Disturbance>>,
    /// Servers in the second data centre.
    pub(crate) second_place: Vec<String>,
    /// Held while the second data centre is evacuated.
    pub(crate) evacuating: tokio::sync::Mutex<()>,
    /// Start and end of each evacuation of the second data centre.
    pub(crate) evacuations: Mutex<Vec<(Instant, Instant)>>,
    /// Logs of processes that have ended.
    pub(crate) ended_logs: Mutex<Vec<(String, String)>>,
}

impl SoakWorld {
    /// Starts the stand-ins, the proxies and the hosts.
    pub(crate) async fn start(settings: &SoakSettings) -> Result<Self> {
        let store = PlatformStore::start()
            .await
            .map_err(SoakError::of("start the store"))?;
        let config = first_config();
        store.put_config(config.to_text());
        let mut backends = Vec::new();
        for number in 0..PLAIN_SERVERS {
            backends.push(start_backend(&store, &format!("app-{number}"), &[]).await?);
        }
        for (number, models) in ENGINES.into_iter().enumerate() {
            let engine = start_backend(&store, &format!("llm-{number}"), models).await?;
            engine.server.set_report_delay(REPORT_DELAY);
            engine.server.set_event_pause(EVENT_PAUSE);
            if number == LOSING_ENGINE {
                engine.server.lose_repeats();
            }
            backends.push(engine);
        }
        let last = [PLAIN_SERVERS - 1, PLAIN_SERVERS + ENGINES.len() - 1];
        let last = last.map(|index| &backends[index].server);
        let second_place = last.map(|server| {
            server.relocate(SECOND_PLACE);
            server.id().to_owned()
        });
        let mut fleet = HostFleet::new(&settings.program, &store)
            .map_err(SoakError::of("make a folder for the hosts"))?;
        fleet.state_regions();
        let mut hosts = Vec::new();
        for number in 0..settings.hosts {
            let name = format!("h{number}");
            let link = LinkProxy::start(store.address())
                .await
                .map_err(SoakError::of("start a proxy"))?;
            fleet.route_store(&name, link.address());
            let process = fleet.spawn(&name, true);
            let process = process.map_err(SoakError::of("start a host"))?;
            hosts.push(HostSlot {
                name,
                callers: Mutex::new(process.callers),
                process: tokio::sync::Mutex::new(Some(process)),
                store_link: link,
            });
        }
        for slot in &hosts {
            if let Some(process) = &*slot.process.lock().await {
                let ready = process.wait_ready(true).await;
                ready.map_err(SoakError::of("see a host ready"))?;
            }
        }
        Ok(Self {
            store,
            backends: Mutex::new(backends),
            successions: tokio::sync::Mutex::default(),
            hosts,
            fleet: tokio::sync::Mutex::new(fleet),
            config: Mutex::new(config),
            key_turns: Mutex::default(),
            disturbances: Mutex::default(),
            second_place: second_place.to_vec(),
            evacuating: tokio::sync::Mutex::default(),
            evacuations: Mutex::default(),
            ended_logs: Mutex::default(),
        })
    }

    /// The backend servers in these places now.
    pub(crate) fn servers(&self, places: Range<usize>) -> Vec<BackendServer> {
        let backends = locked(&self.backends);
        let servers = backends[places].iter();
        servers.map(|backend| backend.server.clone()).collect()
    }

    /// Starts a host's next process, which does not wait until it is ready.
    pub(crate) async fn restart_host(&self, slot: &HostSlot) -> Result<HostProcess> {
        let started = self.fleet.lock().await.spawn(&slot.name, false);
        let process = started.map_err(SoakError::of("start a host again"))?;
        *locked(&slot.callers) = process.callers;
        Ok(process)
    }

    /// Keeps the log of a process that has ended.
    pub(crate) fn keep_log(&self, process: &HostProcess) {
        let name = process.name.clone();
        locked(&self.ended_logs).push((name, process.log_text()));
    }

    pub(crate) fn disturb(&self, host: &str, from: Instant, until: Instant) {
        let host = host.to_owned();
        locked(&self.disturbances).push(Disturbance { host, from, until });
    }
}

/// Starts a backend server behind a proxy; one without models is a plain one.
pub(crate) async fn start_backend(
    store: &PlatformStore,
    id: &str,
    models: &[&str],
) -> Result<LinkedBackend> {
    let service = if models.is_empty() { "app" } else { "llm" };
    let server = BackendServer::start(store, id, service, models)
        .await
        .map_err(SoakError::of("start a backend server"))?;
    let link = LinkProxy::start(server.address())
        .await
        .map_err(SoakError::of("start a proxy"))?;
    server.advertise(link.address());
    Ok(LinkedBackend { server, link })
}

fn first_config() -> ConfigText {
    let base = RouteText::default();
    let stream = RouteText {
        kind: "streaming",
        service: "llm",
        timeout_ms: 6000,
        ..base
    };
    ConfigText {
        routes: vec![
            base,
            RouteText {
                prefix: "/book/",
                kind: "non_idempotent",
                attempts: 1,
                ..base
            },
            RouteText {
                prefix: "/llm/",
                attempts: 1,
                ..stream
            },
            RouteText {
                prefix: "/resume/",
                attempts: 3,
                resume: true,
                ..stream
            },
        ],
        keys: vec![KEPT_KEY, TURNED_KEY],
        cold_start: Some((COLD_S, COLD_PER_S)),
        ..ConfigText::default()
    }
}

/// The value, also after a thread panicked with it: the run reports what it saw.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
