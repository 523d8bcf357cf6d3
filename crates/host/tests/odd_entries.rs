//! Entries of other writers among those of the backend servers: they name no server, and stop no host from following the
//! others.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_platform_standins::BackendServer;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::CallerRequest;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::wait_until;

/// Time within which a change of the store must be in force, from the platform's settings.
const CHANGE_DEADLINE: Duration = Duration::from_secs(2);

struct EntryCase {
    /// Key below `servers/`.
    id: &'static str,
    value: Vec<u8>,
}

/// An entry of the service `app` with these values in place of those of a sound one.
fn entry(replaced: &[(&str, &str)]) -> Vec<u8> {
    let fields = [
        ("service", "\"app\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"a\""),
        ("version", "\"v1\""),
        ("slots", "8"),
        ("state", "\"ready\""),
        ("cold_left_ms", "0"),
        ("seq", "1"),
        ("born", "1700000000000"),
        ("models", "[]"),
    ];
    let texts = fields.map(|(name, value)| {
        let mut replaced = replaced.iter();
        let other = replaced.find(|(other, _)| *other == name);
        format!("\"{name}\":{}", other.map_or(value, |(_, value)| value))
    });
    format!("{{{}}}", texts.join(",")).into_bytes()
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn cases() -> Vec<EntryCase> {
    let case = |id, value| EntryCase { id, value };
    vec![
        case("nested", entry(&[("models", &nested(100_000))])),
        case("nested-state", entry(&[("state", &nested(300))])),
        case("nested-bytes", nested(500_000).into_bytes()),
        case("huge-float", entry(&[("cold_left_ms", "1e999")])),
        case("huge-slots", entry(&[("slots", "4294967296")])),
        case("huge-born", entry(&[("born", "36893488147419103232")])),
        case("huge-seq", entry(&[("seq", "1e400")])),
        case("negative", entry(&[("born", "-1")])),
        case("port", entry(&[("address", "\"127.0.0.1:70000\"")])),
        case("no-port", entry(&[("address", "\"127.0.0.1\"")])),
        case("port-zero", entry(&[("address", "\"127.0.0.1:0\"")])),
        case("anywhere", entry(&[("address", "\"0.0.0.0:80\"")])),
        case("bytes", vec![0xff, 0xfe, 0x00]),
        case("empty", Vec::new()),
        case("key with spaces & more=1#x", entry(&[("state", "7")])),
        case("key%20%zz", entry(&[("slots", "{}")])),
        case("sch\u{fc}ssel", entry(&[("state", "null")])),
    ]
}

/// Guards against a host that ends, or no longer follows the store, because of one entry; both when entries appear and when
/// a host lists them at its start, on pages that end with each of them.
#[tokio::test]
async fn odd_entries_stop_no_host() -> Outcome {
    let mut bed = TestBed::start().await?;
    for case in cases() {
        bed.store.put_entry(case.id, case.value);
    }
    bed.store.set_page_size(1);
    let mut second = bed.fleet.start("h2").await?;
    let added = BackendServer::start(&bed.store, "app-3", "app", &[]).await?;
    for server in &bed.plain {
        server.leave();
    }
    tokio::time::sleep(CHANGE_DEADLINE).await;
    for address in [bed.host.callers, second.callers] {
        for number in 0..20 {
            let id = format!("{address}-{number}");
            let request = CallerRequest::new(&id, "/app/x");
            let answer = Caller::once(address, &request).await?;
            assert_that!(answer.status, some(eq(200)), "{id}");
        }
    }
    let served = wait_until(CHANGE_DEADLINE, || added.requests().len() >= 40).await;
    assert_that!(
        served,
        eq(true),
        "all requests reach the server that came last"
    );
    let mut third = bed.fleet.start("h3").await?;
    for host in [&mut bed.host, &mut second, &mut third] {
        let ended = host.wait_end(Duration::from_millis(200)).await;
        assert_that!(ended.is_err(), eq(true), "{} ended", host.name);
    }
    let lines = bed.host.log_lines(&["backend entry ignored"]);
    assert_that!(lines.len(), ge(12), "each odd entry is logged");
    Ok(())
}
