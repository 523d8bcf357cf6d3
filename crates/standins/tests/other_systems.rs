//! Weight store, plain service, host list and start as a program.

mod common;

use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use googletest::prelude::*;
use http::Method;
use serde_json::json;
use zinniahinge_standins::FaultKind;
use zinniahinge_standins::FaultRequest;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::HostList;
use zinniahinge_standins::PlainService;
use zinniahinge_standins::PlainSettings;
use zinniahinge_standins::StoreSettings;
use zinniahinge_standins::WeightStore;

use crate::common::TestServer;
use crate::common::start_server;

async fn start_store() -> TestServer {
    let faults = Arc::new(FaultSet::new(WeightStore::FAULTS));
    let settings = StoreSettings {
        // A load at full speed takes 200 ms.
        loads_per_second: 20.0,
        ..StoreSettings::default()
    };
    let store = WeightStore::new(settings, faults.clone());
    start_server(faults, move |request| store.clone().handle(request)).await
}

async fn start_service() -> TestServer {
    let faults = Arc::new(FaultSet::new(PlainService::FAULTS));
    let service = PlainService::new(PlainSettings::default());
    start_server(faults, move |request| service.clone().handle(request)).await
}

struct StoreCase {
    name: &'static str,
    path: &'static str,
    loads: usize,
    factor: f64,
    least_ms: u128,
    most_ms: u128,
}

/// Guards against a store that is faster than its limits, which would hide too many permits, or
/// that is slow where it should run at full speed.
#[tokio::test]
async fn loads_slow_down_beyond_the_limit() {
    let model = |name, loads, factor, least_ms| StoreCase {
        name,
        path: "/weights/a",
        loads,
        factor,
        least_ms,
        most_ms: least_ms * 3 / 2,
    };
    let cases = [
        model("one", 1, 1.0, 200),
        model("four at full speed", 4, 1.0, 200),
        model("eight take twice as long", 8, 1.0, 395),
        model("a slow store", 4, 3.0, 595),
        StoreCase {
            name: "adapters below their limit",
            path: "/adapters/a",
            loads: 30,
            factor: 1.0,
            least_ms: 5,
            most_ms: 60,
        },
        StoreCase {
            name: "adapters beyond their limit",
            path: "/adapters/a",
            loads: 300,
            factor: 1.0,
            least_ms: 50,
            most_ms: 400,
        },
    ];
    for case in cases {
        let store = start_store().await;
        if case.factor > 1.0 {
            let mut fault = FaultRequest::new(FaultKind::Slow);
            fault.factor = Some(case.factor);
            store.add(fault);
        }
        let started = Instant::now();
        let loads = (0..case.loads).map(|_| store.get(case.path));
        let answers = join_all(loads).await;
        let took = started.elapsed().as_millis();
        let all_ok = answers.iter().all(|a| a.status.is_success());
        assert_that!(all_ok, eq(true), "{}", case.name);
        assert_that!(took, ge(case.least_ms), "{}", case.name);
        assert_that!(took, le(case.most_ms), "{}", case.name);
    }
}

/// Guards against bookings that run without being counted: lost, crossed and cut ones ran, too.
#[tokio::test]
async fn every_booking_that_ran_is_counted() {
    let kinds = [
        FaultKind::LostAnswer,
        FaultKind::Garbage,
        FaultKind::CloseEarly,
        FaultKind::Crossed,
    ];
    for kind in kinds {
        let service = start_service().await;
        service.post("/bookings", json!("first")).await;
        service.add_fault(kind);
        let hit = service
            .send(Method::POST, "/bookings", &[], "\"second\"")
            .await;
        assert_that!(hit.is_none(), eq(kind == FaultKind::LostAnswer), "{kind:?}");
        let runs = service.get("/runs").await.json();
        let expected = json!({ "total": 2, "runs": { "\"first\"": 1, "\"second\"": 1 } });
        assert_that!(runs, eq(&expected), "{kind:?}");
    }
}

/// Guards against an answer to a lookup that passes for the caller's own after a crossing.
#[tokio::test]
async fn crossed_lookup_names_the_other_path() {
    let service = start_service().await;
    let own = service.get("/status/1").await.json();
    assert_that!(own["path"], eq(&json!("/status/1")));
    service.add_fault(FaultKind::Crossed);
    let crossed = service.get("/status/2").await.json();
    assert_that!(crossed, eq(&own));
    let own = service.get("/status/2").await.json();
    assert_that!(own["path"], eq(&json!("/status/2")));
}

/// Guards against a host list that shows changes at once, and against a reader that cannot tell
/// an unchanged list.
#[tokio::test]
async fn host_list_lags_and_is_tagged() {
    let faults = Arc::new(FaultSet::new(HostList::FAULTS));
    let list = HostList::new(Duration::from_millis(200));
    let list = start_server(faults, move |request| list.clone().handle(request)).await;
    let entry = json!({ "group": "g", "address": "127.0.0.1:1", "place": "p" }).to_string();
    list.send(Method::PUT, "/hosts/s", &[], &entry)
        .await
        .unwrap();
    assert_that!(list.get("/hosts").await.json(), eq(&json!([])));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let shown = list.get("/hosts").await;
    assert_that!(shown.json()[0]["state"], eq(&json!("live")));

    let tag = shown.headers["etag"].to_str().unwrap();
    let headers = [("if-none-match", tag)];
    list.post("/hosts/s/leaving", json!({})).await;
    let same = list
        .send(Method::GET, "/hosts", &headers, "")
        .await
        .unwrap();
    assert_that!(same.status.as_u16(), eq(304));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let changed = list
        .send(Method::GET, "/hosts", &headers, "")
        .await
        .unwrap();
    assert_that!(changed.json()[0]["state"], eq(&json!("leaving")));
}

/// Guards against faults that a test believes to be in force, and against faults that cannot end.
#[tokio::test]
async fn unknown_faults_are_rejected_and_all_can_be_ended() {
    let service = start_service().await;
    let rejected = [
        json!({ "kind": "watch_gap" }),
        json!({ "kind": "no_such_kind" }),
        json!({ "kind": "down", "probability": 2.0 }),
        json!({ "kind": "down", "refuse": true }),
        json!({ "kind": "down", "unknown_field": 1 }),
    ];
    for fault in rejected {
        let answer = service.post("/faults", fault.clone()).await;
        assert_that!(answer.status.as_u16(), eq(400), "{fault}");
    }
    let down = service.post("/faults", json!({ "kind": "down" })).await;
    assert_that!(down.status.as_u16(), eq(200));
    let closed = service.send(Method::GET, "/status", &[], "").await;
    assert_that!(closed.is_none(), eq(true));
    service
        .send(Method::DELETE, "/faults", &[], "")
        .await
        .unwrap();
    assert_that!(service.get("/status").await.status.as_u16(), eq(200));
}

/// Guards against programs that do not start or do not say where they listen.
#[test]
fn programs_print_their_address() {
    use std::io::BufRead;
    let programs = [
        env!("CARGO_BIN_EXE_standin-kv"),
        env!("CARGO_BIN_EXE_standin-engine"),
        env!("CARGO_BIN_EXE_standin-store"),
        env!("CARGO_BIN_EXE_standin-service"),
        env!("CARGO_BIN_EXE_standin-hostlist"),
    ];
    for program in programs {
        let mut command = std::process::Command::new(program);
        command.args(["--listen", "127.0.0.1:0"]);
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        std::io::BufReader::new(stdout)
            .read_line(&mut line)
            .unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap_or(&line);
        let connected = std::net::TcpStream::connect(address);
        child.kill().unwrap();
        child.wait().unwrap();
        assert_that!(connected.is_ok(), eq(true), "{program}: {line}");
    }
}
