//! Test bed: real host processes against stand-ins of the platform.

#![allow(dead_code, reason = "each test program uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::ConfigText;
use zinniahinge_platform_standins::HostFleet;
use zinniahinge_platform_standins::HostProcess;
use zinniahinge_platform_standins::PlatformStore;
use zinniahinge_platform_standins::RouteText;

pub type Outcome<T = ()> = Result<T, Box<dyn std::error::Error>>;

/// The service `app` on two plain backend servers, the service `llm` on two engines with the models m1 and m2, and the
/// host h1.
pub struct TestBed {
    pub store: PlatformStore,
    pub plain: Vec<BackendServer>,
    pub engines: Vec<BackendServer>,
    pub fleet: HostFleet,
    pub host: HostProcess,
}

/// Returns routes of every kind, with and without models, resumption and latency goals.
pub fn all_routes() -> Vec<RouteText> {
    let base = RouteText::default();
    vec![
        base,
        RouteText {
            prefix: "/book/",
            kind: "non_idempotent",
            attempts: 1,
            ..base
        },
        RouteText {
            prefix: "/open/",
            open: true,
            ..base
        },
        RouteText {
            prefix: "/llm/",
            kind: "streaming",
            service: "llm",
            attempts: 1,
            timeout_ms: 8000,
            ..base
        },
        RouteText {
            prefix: "/resume/",
            kind: "streaming",
            service: "llm",
            attempts: 3,
            timeout_ms: 8000,
            resume: true,
            ..base
        },
        RouteText {
            prefix: "/patient/",
            kind: "streaming",
            service: "llm",
            attempts: 1,
            timeout_ms: 17_000,
            goal_ms: 3000,
            ..base
        },
        RouteText {
            prefix: "/quick/",
            timeout_ms: 600,
            kind: "non_idempotent",
            attempts: 1,
            ..base
        },
    ]
}

/// Returns a valid configuration, version 1, with all routes.
pub fn all_config() -> ConfigText {
    ConfigText {
        routes: all_routes(),
        ..ConfigText::default()
    }
}

impl TestBed {
    pub async fn start() -> Outcome<Self> {
        Self::with_config(&all_config()).await
    }

    pub async fn with_config(config: &ConfigText) -> Outcome<Self> {
        Self::in_places(config, false).await
    }

    /// Places the second server of each service in the data centre b, region west; the others and the host are in a, east.
    pub async fn in_two_places(config: &ConfigText) -> Outcome<Self> {
        Self::in_places(config, true).await
    }

    async fn in_places(config: &ConfigText, is_divided: bool) -> Outcome<Self> {
        let store = PlatformStore::start().await?;
        store.put_config(config.to_text());
        let plain = vec![
            BackendServer::start(&store, "app-1", "app", &[]).await?,
            BackendServer::start(&store, "app-2", "app", &[]).await?,
        ];
        let engines = vec![
            BackendServer::start(&store, "llm-1", "llm", &["m1", "m2"]).await?,
            BackendServer::start(&store, "llm-2", "llm", &["m1"]).await?,
        ];
        let program = env!("CARGO_BIN_EXE_zinniahinge-host");
        let mut fleet = HostFleet::new(program, &store)?;
        if is_divided {
            plain[1].relocate("b");
            engines[1].relocate("b");
            fleet.state_regions();
        }
        let host = fleet.start("h1").await?;
        Ok(Self {
            store,
            plain,
            engines,
            fleet,
            host,
        })
    }

    pub async fn ask(&self, request: &CallerRequest) -> Outcome<CallerAnswer> {
        Ok(Caller::once(self.host.callers, request).await?)
    }

    /// Number of times that the request ran, over all backend servers.
    pub fn runs(&self, id: &str) -> usize {
        let servers = self.plain.iter().chain(&self.engines);
        let requests = servers.flat_map(BackendServer::requests);
        requests.filter(|seen| seen.ran && seen.id == id).count()
    }

    /// Number of requests that arrived at all backend servers together.
    pub fn arrivals(&self) -> usize {
        let servers = self.plain.iter().chain(&self.engines);
        servers.map(|server| server.requests().len()).sum()
    }
}

/// Polls `check` until it returns true or `limit` has passed; returns whether it did.
pub async fn wait_until(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let started = std::time::Instant::now();
    while started.elapsed() < limit {
        if check() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// True if the host acquires the coordinator lease within `limit`.
pub async fn acquires_lease(host: &HostProcess, limit: Duration) -> bool {
    wait_until(limit, || {
        !host.log_lines(&["coordinator lease acquired"]).is_empty()
    })
    .await
}

/// Returns a request for a model, with a deadline of 8 s.
pub fn model_request(id: &str, path: &str, model: &'static str) -> CallerRequest {
    CallerRequest {
        model: Some(model),
        deadline_ms: 8000,
        ..CallerRequest::new(id, path)
    }
}

/// Starts a proxy to the store that closes all its connections once `is_open` is false; returns its address.
pub async fn start_gate(store: SocketAddr, is_open: Arc<AtomicBool>) -> Outcome<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let is_open = is_open.clone();
            tokio::spawn(async move {
                let is_closed = async {
                    while is_open.load(Ordering::Relaxed) {
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                };
                let pass = async {
                    let mut far = TcpStream::connect(store).await?;
                    tokio::io::copy_bidirectional(&mut near, &mut far).await
                };
                tokio::select! {
                    () = is_closed => {}
                    // When either side closes, both are closed.
                    _ = pass => {}
                }
            });
        }
    });
    Ok(address)
}
