//! Checks over a real connection what monitoring and the timeline tool read from a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use googletest::prelude::*;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::BodyConversion;
use volo_http::client::ClientBuilder;
use volo_http::server::Server;
use volo_http::server::route::Router;
use zinniahinge_telemetry::AdminState;
use zinniahinge_telemetry::ClockReading;
use zinniahinge_telemetry::EventLog;
use zinniahinge_telemetry::LATENCY_BUCKETS_S;
use zinniahinge_telemetry::MetricsRegistry;
use zinniahinge_telemetry::Readiness;
use zinniahinge_telemetry::add_admin_routes;
use zinniahinge_types::EventKind;

async fn serve(state: AdminState) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let server = Server::new(add_admin_routes(Router::new(), state));
    tokio::spawn(async move { server.run(DefaultIncoming::from(listener)).await });
    address
}

async fn fetch(address: SocketAddr, path: &str) -> (u16, String) {
    let client = ClientBuilder::new().build().expect("client");
    let request = client.get(format!("http://{address}{path}"));
    let response = request.send().await.expect("response");
    let status = response.status().as_u16();
    (status, response.into_string().await.expect("body"))
}

struct RouteCase {
    guards: &'static str,
    path: &'static str,
    status: u16,
    body: &'static str,
}

#[tokio::test]
async fn routes_answer_with_status_and_body() {
    let events = Arc::new(EventLog::new("control/h-1".into(), 8));
    events.record(EventKind::ProcessReady, None, "h-1", "first");
    events.record(EventKind::ShardAcquired, None, "7", "second");
    let metrics = MetricsRegistry::new();
    metrics.counter("charges_total", "Charges.").unwrap().inc();
    let twice = metrics.counter("charges_total", "Charges.");
    assert!(twice.is_err(), "guards against two metrics of one name");
    let histogram = metrics.histogram("added_latency_seconds", "Latency.", LATENCY_BUCKETS_S);
    histogram.unwrap().observe(0.0002);
    let ready = Arc::new(AtomicBool::new(false));
    let readiness = {
        let ready = ready.clone();
        move || match ready.load(Ordering::Relaxed) {
            true => Readiness::Ready,
            false => Readiness::NotReady("no document".to_owned()),
        }
    };
    let address = serve(AdminState::new(events, metrics, readiness)).await;
    let case = |guards, path, status, body| RouteCase {
        guards,
        path,
        status,
        body,
    };
    let cases = [
        case("a live process restarted", "/healthz", 200, "ok"),
        case(
            "traffic to a process that is not ready",
            "/readyz",
            503,
            "no document",
        ),
        case(
            "renamed metrics",
            "/metrics",
            200,
            "zinniahinge_charges_total 1",
        ),
        case(
            "buckets lost",
            "/metrics",
            200,
            "added_latency_seconds_bucket{le=\"0.0002\"} 1",
        ),
        case("lost events", "/events", 200, "\"first\""),
        case(
            "events read twice",
            "/events?after=1&limit=5",
            200,
            "{\"sequence\":2",
        ),
        case("a bad position read as 0", "/events?after=x", 400, ""),
    ];
    for case in cases {
        let (status, body) = fetch(address, case.path).await;
        let guards = case.guards;
        assert_eq!(status, case.status, "guards against: {guards}");
        assert_that!(
            body,
            contains_substring(case.body),
            "guards against: {guards}"
        );
    }
    ready.store(true, Ordering::Relaxed);
    assert_eq!(fetch(address, "/readyz").await.0, 200);
    let clock: ClockReading = serde_json::from_str(&fetch(address, "/clock").await.1).unwrap();
    assert_eq!((&*clock.process, clock.last_sequence), ("control/h-1", 2));
}
