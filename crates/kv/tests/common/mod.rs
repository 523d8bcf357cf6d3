//! Starts a stand-in of the key-value service in the test's process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use zinniahinge_kv::KvClient;
use zinniahinge_kv::KvSettings;
use zinniahinge_standins::FaultKind;
use zinniahinge_standins::FaultRequest;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::KvService;
use zinniahinge_standins::KvServiceSettings;
use zinniahinge_standins::StandInServer;

pub struct TestService {
    pub client: KvClient,
    pub service: Arc<KvService>,
    pub server: StandInServer,
}

pub async fn start_service() -> TestService {
    let faults = Arc::new(FaultSet::new(KvService::FAULTS));
    let settings = KvServiceSettings {
        history_limit: 1_000,
        progress_interval: Duration::from_millis(50),
    };
    let service = KvService::new(settings, faults.clone());
    let handled = service.clone();
    let handler = move |request| handled.clone().handle(request);
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = StandInServer::start(listen, faults, handler).await;
    let server = server.expect("the stand-in cannot listen");
    let settings = KvSettings::new(vec![server.address])
        .with_request_timeout(Duration::from_millis(500))
        .with_watch_idle_timeout(Duration::from_millis(300));
    let client = KvClient::new(settings).expect("the settings are bad");
    TestService {
        client,
        service,
        server,
    }
}

impl TestService {
    /// Adds a fault that affects the next `count` requests, or all if `count` is `None`.
    #[allow(dead_code, reason = "not every test file adds faults")]
    pub fn add_fault(&self, kind: FaultKind, count: Option<u64>) {
        let mut request = FaultRequest::new(kind);
        request.count = count;
        request.delay_ms = 2_000;
        let added = self.server.faults.add(request);
        added.expect("the fault is unknown");
    }
}
