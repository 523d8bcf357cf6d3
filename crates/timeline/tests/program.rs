//! Guards the program as a whole: it reads live processes and says what it could not read.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;

use googletest::prelude::*;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;
use volo_http::server::route::Router;
use zinniahinge_telemetry::AdminState;
use zinniahinge_telemetry::EventLog;
use zinniahinge_telemetry::MetricsRegistry;
use zinniahinge_telemetry::Readiness;
use zinniahinge_telemetry::add_admin_routes;
use zinniahinge_types::EventKind;
use zinniahinge_types::TraceId;

async fn serve(events: Arc<EventLog>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let source = AdminState::new(events, MetricsRegistry::new(), || Readiness::Ready);
    let server = Server::new(add_admin_routes(Router::new(), source));
    tokio::spawn(async move { server.run(DefaultIncoming::from(listener)).await });
    address
}

fn run(arguments: &[String]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_zinniahinge-timeline"));
    let output = command
        .args(arguments)
        .output()
        .expect("the program starts");
    let Output {
        status,
        stdout,
        stderr,
    } = output;
    let text = [stdout, stderr].concat();
    (status.code(), String::from_utf8(text).expect("UTF-8"))
}

fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

struct RunCase {
    guards: &'static str,
    arguments: String,
    code: i32,
    shown: &'static [&'static str],
}

#[tokio::test(flavor = "multi_thread")]
async fn live_processes_are_merged_and_missing_ones_are_named() {
    let entry = Arc::new(EventLog::new("entry/a".into(), 1024));
    let control = Arc::new(EventLog::new("control/a".into(), 4));
    let trace = TraceId(0xabc);
    entry.record(EventKind::RequestAdmitted, Some(trace), "model", "");
    // More events than one answer of `/events` holds.
    for index in 0..700 {
        entry.record(
            EventKind::LoadFinished,
            None,
            "model",
            format!("load-{index}"),
        );
    }
    for index in 0..5 {
        control.record(EventKind::LoadOrdered, None, index.to_string(), "");
    }
    control.record(EventKind::RequestQueued, Some(trace), "model", "");
    entry.record(EventKind::RequestFinished, Some(trace), "model", "");
    let both = format!(
        "--process {} --process {}",
        serve(entry).await,
        serve(control).await
    );
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let closed_address = closed.local_addr().expect("bound");
    drop(closed);
    let cases = [
        RunCase {
            guards: "overwritten events hidden",
            arguments: format!("{both} --trace {trace} --chart"),
            code: 0,
            shown: &[
                "request-queued",
                "control/a: events 1 to 2 are missing",
                "ms  ",
            ],
        },
        RunCase {
            guards: "events after the first answer lost",
            arguments: format!("{both} --since 1m"),
            code: 0,
            shown: &["load-699"],
        },
        RunCase {
            guards: "a missing process hidden",
            arguments: format!("{both} --process {closed_address} --format json"),
            code: 1,
            shown: &[
                "\"fault\":\"source-unreadable\"",
                "\"kind\":\"load-ordered\"",
            ],
        },
        RunCase {
            guards: "a missing file hidden",
            arguments: "--file no-such-file".to_owned(),
            code: 1,
            shown: &["no-such-file: cannot be read"],
        },
        RunCase {
            guards: "only the first bad setting reported",
            arguments: "--chart --since 5 --process x".to_owned(),
            code: 2,
            shown: &["--chart: needs --trace", "--since: `5`", "--process: `x`"],
        },
    ];
    for case in cases {
        let (code, text) = run(&words(&case.arguments));
        assert_eq!(
            code,
            Some(case.code),
            "guards against: {}\n{text}",
            case.guards
        );
        for shown in case.shown {
            assert_that!(
                text,
                contains_substring(*shown),
                "guards against: {}",
                case.guards
            );
        }
    }
}
