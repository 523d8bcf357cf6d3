//! Guards I4 and I5: a request runs only for the account whose key came with it, and no key of a
//! caller leaves the entry process.

use googletest::prelude::*;
use http::Method;
use sha2::Digest;
use sha2::Sha256;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::PARISH_KEY;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;
use zinniahinge_fleet::chat_body;

const CHAT: &str = "/v1/chat/completions";
const STATUS: &str = "/r/demo-app/status/7";
const BOOKINGS: &str = "/r/demo-app/bookings";

async fn start(documents: &[&str]) -> Fleet {
    let builder = FleetBuilder::new()
        .with_engines(1)
        .with_services(1)
        .with_arguments(ProgramKind::Control, &["--log-level", "debug"])
        .with_arguments(ProgramKind::Entry, &["--log-level", "debug"]);
    builder
        .start_serving(documents)
        .await
        .expect("fleet serves")
}

fn caller() -> TestClient {
    TestClient::new().expect("client")
}

fn hex_digest(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

async fn was_seen(fleet: &Fleet, server: &str, value: &str) -> bool {
    let path = format!("/seen?digest={}", hex_digest(value));
    let answer = fleet
        .read_json(server, &path)
        .await
        .expect("stand-in answers");
    answer["seen"].as_bool().expect("a verdict")
}

// ----------------------------------------------------------------------------------------------

struct LeakCase {
    guards: &'static str,
    client: TestClient,
    query: &'static str,
}

fn leak_cases() -> Vec<LeakCase> {
    let keyed = || caller().with_key(VENDOR_KEY);
    let case = |guards, client| LeakCase {
        guards,
        client,
        query: "",
    };
    vec![
        case("Authorization passed on", keyed()),
        case(
            "x-api-key passed on",
            caller().with_header("x-api-key", VENDOR_KEY),
        ),
        case(
            "api-key passed on",
            caller().with_header("api-key", VENDOR_KEY),
        ),
        case(
            "cookies passed on",
            keyed().with_header("cookie", "session=zk-demo-vendor-key; a=b"),
        ),
        case(
            "unknown headers passed on",
            keyed().with_header("x-team-token", VENDOR_KEY),
        ),
        case(
            "keys in passed headers",
            keyed().with_header("user-agent", "tool zk-demo-vendor-key"),
        ),
        case(
            "keys in trace headers",
            keyed().with_header("tracestate", "a=zk-demo-vendor-key"),
        ),
        case(
            "keys in other authentication",
            keyed().with_header("proxy-authorization", VENDOR_KEY),
        ),
        LeakCase {
            query: "?api_key=zk-demo-vendor-key",
            ..case("queries passed on", keyed())
        },
        LeakCase {
            query: "?note=zk-demo-vendor-key",
            ..case("query values passed on", keyed())
        },
        LeakCase {
            query: "?note=zk%2Ddemo%2Dvendor%2Dkey",
            ..case("escaped keys passed on", keyed())
        },
    ]
}

/// Guards I5: the key is neither at an engine nor at a plain service, however it was sent, and in no
/// log, event or metric. A value that is meant for the backend server shows that the stand-ins look.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_key_leaves_the_entry_process() {
    let fleet = start(&[DEMO_LLM, DEMO_APP]).await;
    for case in leak_cases() {
        let client = case.client.with_header("accept-language", "de-AT");
        let chat = fleet
            .url("entry-1", &format!("{CHAT}{}", case.query))
            .expect("known");
        let body = chat_body("small", "hello", 2, false);
        client.post(&chat, body).await.expect("answered");
        let status = fleet
            .url("entry-1", &format!("{STATUS}{}", case.query))
            .expect("known");
        client.get(&status).await.expect("answered");
        for server in ["engine-1", "service-1"] {
            let leaked = was_seen(&fleet, server, VENDOR_KEY).await;
            assert_that!(
                leaked,
                eq(false),
                "guards against: {} ({server})",
                case.guards
            );
            assert_that!(
                was_seen(&fleet, server, "de-AT").await,
                eq(true),
                "{server}"
            );
        }
    }
    for path in ["status/zk-demo-vendor-key", "none/zk-demo-vendor-key"] {
        let url = fleet
            .url("entry-1", &format!("/r/demo-app/{path}"))
            .expect("known");
        let answer = caller()
            .with_key(VENDOR_KEY)
            .get(&url)
            .await
            .expect("answered");
        assert_that!(
            answer.problem(),
            eq("key-in-query"),
            "guards against: keys in paths"
        );
    }
    for process in fleet.all() {
        let name = &process.spec().name;
        assert_that!(
            process.log(),
            not(contains_substring(VENDOR_KEY)),
            "log of {name}"
        );
    }
    for name in ["entry-1", "control-1"] {
        for path in ["/events", "/metrics"] {
            let text = fleet.admin_text(name, path).await.expect("answered");
            assert_that!(text, not(eq("")), "{name} {path}");
            assert_that!(text, not(contains_substring(VENDOR_KEY)), "{name} {path}");
        }
    }
}

// ----------------------------------------------------------------------------------------------

/// Key of an account that only the plain service knows.
const APP_ONLY_KEY: &str = "zk-test-app-only-key";

struct AccessCase {
    guards: &'static str,
    key: Option<&'static str>,
    method: Method,
    path: &'static str,
    model: &'static str,
    status: u16,
    problem: &'static str,
}

fn access_cases() -> Vec<AccessCase> {
    let chat = |guards, key, model, status, problem| AccessCase {
        guards,
        key,
        method: Method::POST,
        path: CHAT,
        model,
        status,
        problem,
    };
    let plain = |guards, key, method, path, status, problem| AccessCase {
        guards,
        key,
        method,
        path,
        model: "",
        status,
        problem,
    };
    let (vendor, parish, app_only) = (Some(VENDOR_KEY), Some(PARISH_KEY), Some(APP_ONLY_KEY));
    vec![
        chat("an account kept from its model", vendor, "small", 200, ""),
        chat(
            "an account kept from its model",
            parish,
            "small:reports",
            200,
            "",
        ),
        chat(
            "a model beyond the account",
            parish,
            "large",
            403,
            "forbidden",
        ),
        chat(
            "a key of another service",
            app_only,
            "small",
            403,
            "forbidden",
        ),
        plain(
            "an account kept from its route",
            app_only,
            Method::GET,
            STATUS,
            200,
            "",
        ),
        plain(
            "a route beyond the account",
            app_only,
            Method::POST,
            BOOKINGS,
            403,
            "forbidden",
        ),
        plain(
            "a keyed route without a key",
            None,
            Method::GET,
            STATUS,
            401,
            "missing-key",
        ),
        plain(
            "a booking without a key",
            None,
            Method::POST,
            BOOKINGS,
            401,
            "missing-key",
        ),
        plain(
            "an open route with need of a key",
            None,
            Method::GET,
            "/r/demo-app/about",
            200,
            "",
        ),
        plain(
            "an open route by another method",
            None,
            Method::POST,
            "/r/demo-app/about",
            404,
            "unknown-route",
        ),
    ]
}

/// Guards I4: a request runs with exactly the rights of its key's account, and without a key only on
/// open routes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_has_the_rights_of_its_key_only() {
    let app = format!(
        "{DEMO_APP}\n[[accounts]]\nname = \"app-only\"\nkey_digests = [\"{}\"]\n\
         tokens_per_second = 50\nburst = 200\nclass_ceiling = \"urgent\"\n\
         routes = [\"/r/demo-app/status\"]\n",
        hex_digest(APP_ONLY_KEY)
    );
    let fleet = start(&[DEMO_LLM, &app]).await;
    for case in access_cases() {
        let client = match case.key {
            Some(key) => caller().with_key(key),
            None => caller(),
        };
        let url = fleet.url("entry-1", case.path).expect("known");
        let body = match case.method {
            Method::POST => chat_body(case.model, "hello", 2, false),
            _ => String::new(),
        };
        let answer = client
            .send(case.method, &url, body)
            .await
            .expect("answered");
        let got = (answer.status, answer.problem());
        let expected = (case.status, case.problem.to_owned());
        assert_that!(got, eq(&expected), "guards against: {}", case.guards);
    }
    let runs = fleet.read_json("service-1", "/runs").await.expect("runs");
    assert_that!(runs["total"].as_u64(), some(eq(0)));
}

/// Guards I4 under concurrency: requests of two accounts at the same process are charged to, and
/// queued for, their own account only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_requests_run_for_their_own_account() {
    let fleet = start(&[DEMO_LLM, DEMO_APP]).await;
    let url = fleet.url("entry-1", CHAT).expect("known");
    let send = |index: usize| {
        let key = [VENDOR_KEY, PARISH_KEY][index % 2];
        let trace = format!("00-{:032x}-{:016x}-01", index + 1, index + 1);
        let client = caller().with_key(key).with_header("traceparent", &trace);
        let (url, body) = (url.clone(), chat_body("small", "hello", 2, false));
        async move { client.post(&url, body).await }
    };
    for start in (0..80).step_by(16) {
        let answers = futures::future::join_all((start..start + 16).map(send)).await;
        for answer in answers {
            assert_that!(answer.expect("answered").status, eq(200));
        }
    }
    let events = fleet
        .admin_text("entry-1", "/events")
        .await
        .expect("events");
    let events: Vec<serde_json::Value> = events
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .filter(|event: &serde_json::Value| event["kind"] == "request-admitted")
        .collect();
    assert_that!(events.len(), eq(80));
    for event in events {
        let trace = event["trace_id"].as_str().expect("a trace id");
        let index = usize::from_str_radix(trace, 16).expect("hexadecimal") - 1;
        let account = ["vendor", "parish"][index % 2];
        assert_that!(
            event["detail"].as_str(),
            some(eq(account)),
            "request {index}"
        );
    }
}
