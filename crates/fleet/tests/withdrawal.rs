//! Guards I6 and I11: a withdrawn key and a leaving backend server get no more work 3 s later.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use http::Method;
use zinniahinge_fleet::ChatAnswer;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::PARISH_KEY;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::TestAnswer;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;
use zinniahinge_fleet::chat_body;

const CHAT: &str = "/v1/chat/completions";
const STATUS: &str = "/r/demo-app/status/7";

/// Bound of I6 and I11.
const BOUND: Duration = Duration::from_secs(3);

/// Digest of the key of account `vendor`, as in both documents.
const VENDOR_DIGEST: &str = "\"46c3d160f6fd38c3241a82d0261ef7ede67bca62d8e8f56e04aed07efac83c47\"";

async fn start(engines: usize, services: usize, engine: &[&str]) -> Fleet {
    let builder = FleetBuilder::new()
        .with_hosts(2)
        .with_engines(engines)
        .with_services(services)
        .with_arguments(ProgramKind::Engine, engine);
    let fleet = builder.start_serving(&[DEMO_LLM, DEMO_APP]).await;
    fleet.expect("fleet serves")
}

fn caller(key: &str) -> TestClient {
    TestClient::new().expect("client").with_key(key)
}

async fn chat(fleet: &Fleet, entry: &str, key: &str, model: &str) -> TestAnswer {
    let url = fleet.url(entry, CHAT).expect("known");
    let body = chat_body(model, "hello", 2, false);
    caller(key).post(&url, body).await.expect("answered")
}

/// Puts both documents without the key of account `vendor` in force; returns the time of the last
/// acceptance.
fn withdraw(fleet: &Fleet) -> Instant {
    for document in [DEMO_APP, DEMO_LLM] {
        assert_that!(document, contains_substring(VENDOR_DIGEST));
        let without = document.replace(VENDOR_DIGEST, "");
        fleet.accept(&without).expect("accepted");
    }
    Instant::now()
}

/// Guards against a withdrawn key that goes on working: in a stream, in the queue of a model that
/// is being loaded, and for new requests at another host. Another account's key must go on working.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_withdrawn_key_stops_new_queued_and_open_requests() {
    // A load of 20 s keeps the queued request waiting well beyond the bound.
    let engine = [
        "--token-us",
        "100000",
        "--disk-load-ms",
        "300",
        "--cached",
        "small@=disk",
    ];
    let slow = [
        "--remote-load-ms",
        "20000",
        "--memory-capacity-bytes",
        "24000000000",
    ];
    let fleet = start(1, 1, &[&engine[..], &slow[..]].concat()).await;
    assert_that!(
        chat(&fleet, "entry-1", VENDOR_KEY, "small").await.status,
        eq(200)
    );

    let url = fleet.url("entry-1", CHAT).expect("known");
    let body = chat_body("small", "long text", 400, true);
    let stream = caller(VENDOR_KEY).open(Method::POST, &url, body).await;
    let mut stream = stream.expect("stream");
    assert_that!(stream.next().await, some(ok(anything())));
    let body = chat_body("small", "long text", 60, true);
    let other = caller(PARISH_KEY).open(Method::POST, &url, body).await;
    let other = other.expect("stream");
    let queue_url = fleet.url("entry-2", CHAT).expect("known");
    let queued = tokio::spawn(async move {
        let body = chat_body("large", "hello", 2, false);
        let answer = caller(VENDOR_KEY).post(&queue_url, body).await;
        (answer.expect("answered"), Instant::now())
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_that!(queued.is_finished(), eq(false));

    let accepted = withdraw(&fleet);
    let read = tokio::spawn(async move { (stream.read_whole().await, Instant::now()) });
    let (cut, cut_at) = read.await.expect("finished");
    let cut = ChatAnswer::read(&cut);
    assert_that!((cut.looks_whole, cut.has_error), eq((false, true)));
    assert_that!(cut_at.saturating_duration_since(accepted), le(BOUND));
    let (refused, refused_at) = queued.await.expect("finished");
    let got = (refused.status, refused.problem(), refused.ran());
    assert_that!(got, eq(&(401, "invalid-key".to_owned(), "no".to_owned())));
    assert_that!(refused_at.saturating_duration_since(accepted), le(BOUND));

    tokio::time::sleep(BOUND.saturating_sub(accepted.elapsed())).await;
    for entry in ["entry-1", "entry-2"] {
        let answer = chat(&fleet, entry, VENDOR_KEY, "small").await;
        assert_that!(answer.problem(), eq("invalid-key"), "{entry}");
        let url = fleet.url(entry, STATUS).expect("known");
        let answer = caller(VENDOR_KEY).get(&url).await.expect("answered");
        assert_that!(answer.problem(), eq("invalid-key"), "{entry}");
        assert_that!(
            chat(&fleet, entry, PARISH_KEY, "small").await.status,
            eq(200),
            "{entry}"
        );
    }
    let other = ChatAnswer::read(&other.read_whole().await);
    assert_that!(other.looks_whole, eq(true));
}

/// Requests that each backend server got: chat completions of an engine, lookups of a service.
async fn work_of(fleet: &Fleet, server: &str) -> u64 {
    if server.starts_with("service") {
        let seen = fleet.read_json(server, "/seen").await.expect("seen");
        let is_lookup = seen["header_names"].to_string().contains("x-request-id");
        return if is_lookup {
            seen["requests"].as_u64().expect("count")
        } else {
            0
        };
    }
    let state = fleet.read_json(server, "/v1/state").await.expect("state");
    let counts = &state["counts"]["small"];
    let finished = counts["finished"].as_u64().unwrap_or(0);
    let open = state["running"].as_u64().unwrap_or(0) + state["waiting"].as_u64().unwrap_or(0);
    finished + open + state["loads"].as_u64().unwrap_or(0)
}

/// Guards against work for a backend server that the platform takes away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_server_gets_no_new_work() {
    let fleet = start(2, 2, &["--remote-load-ms", "300"]).await;
    for _ in 0..3 {
        assert_that!(
            chat(&fleet, "entry-1", VENDOR_KEY, "small").await.status,
            eq(200)
        );
    }
    let loaded = [
        work_of(&fleet, "engine-1").await,
        work_of(&fleet, "engine-2").await,
    ];
    let leaving = if loaded[0] > 0 {
        "engine-1"
    } else {
        "engine-2"
    };
    fleet.mark_leaving(leaving).await.expect("marked");
    fleet.mark_leaving("service-1").await.expect("marked");
    let marked = Instant::now();
    // Traffic goes on in the meantime and must not fail, because another server of the group stays.
    let mut before = None;
    let mut count_after = 0;
    while marked.elapsed() < BOUND + Duration::from_secs(3) {
        if before.is_none() && marked.elapsed() >= BOUND {
            for server in ["service-1", "service-2"] {
                let url = fleet.url(server, "/seen").expect("known");
                let client = TestClient::new().expect("client");
                client
                    .send(Method::DELETE, &url, "")
                    .await
                    .expect("cleared");
            }
            before = Some(work_of(&fleet, leaving).await);
        }
        for entry in ["entry-1", "entry-2"] {
            let answer = chat(&fleet, entry, VENDOR_KEY, "small").await;
            assert_that!(answer.status, eq(200), "{}", answer.text());
            let url = fleet.url(entry, STATUS).expect("known");
            let answer = caller(VENDOR_KEY).get(&url).await.expect("answered");
            assert_that!(answer.status, eq(200), "{}", answer.text());
        }
        count_after += u32::from(before.is_some());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_that!(count_after, ge(10));
    assert_that!(
        work_of(&fleet, leaving).await,
        eq(before.expect("measured"))
    );
    assert_that!(work_of(&fleet, "service-1").await, eq(0));
    assert_that!(work_of(&fleet, "service-2").await, ge(10));
}
