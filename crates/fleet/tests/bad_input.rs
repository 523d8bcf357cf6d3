//! Guards the entry process against callers and backend servers that do not keep to the protocol:
//! each gets a clear problem, nothing stays claimed, and the process goes on serving.

use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use serde_json::json;
use zinniahinge_fleet::ChatAnswer;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::ProgramKind;
use zinniahinge_fleet::RawExchange;
use zinniahinge_fleet::TestAnswer;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;
use zinniahinge_fleet::chat_body;
use zinniahinge_fleet::wait_until;
use zinniahinge_standins::expected_answer;

const CHAT: &str = "/v1/chat/completions";

/// Tickets and charges are returned by tasks of their own, which a busy machine delays.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// Body limit of the fleet under test, so that the test need not send 16 MB.
const BODY_LIMIT: usize = 65_536;

async fn start(engine: &[&str]) -> Fleet {
    let builder = FleetBuilder::new()
        .with_engines(1)
        .with_services(1)
        .with_arguments(ProgramKind::Engine, engine)
        .with_arguments(ProgramKind::Entry, &["--max-body-bytes", "65536"]);
    // A failed attempt is repeated at another replica only. There is none here, so that requests
    // wait for their deadline.
    let llm = DEMO_LLM.replace("deadline_ms = 60000", "deadline_ms = 4000");
    let fleet = builder.start_serving(&[&llm, DEMO_APP]).await;
    fleet.expect("fleet serves")
}

fn vendor() -> TestClient {
    TestClient::new().expect("client").with_key(VENDOR_KEY)
}

async fn chat(fleet: &Fleet, text: &str, tokens: u64) -> TestAnswer {
    let url = fleet.url("entry-1", CHAT).expect("known");
    let body = chat_body("small", text, tokens, false);
    vendor().post(&url, body).await.expect("answered")
}

async fn expect_serving(fleet: &Fleet, after: &str) {
    let answer = chat(fleet, "still there", 3).await;
    let chat = ChatAnswer::read(&answer);
    assert_that!(
        chat.text,
        eq(&expected_answer("still there", 3)),
        "after {after}"
    );
}

/// Requests that the engine runs or queues now, and those whose caller left.
async fn engine_counts(fleet: &Fleet) -> Value {
    let state = fleet.read_json("engine-1", "/v1/state").await;
    let state = state.expect("engine answers");
    json!({
        "open": state["running"].as_u64().unwrap_or(9) + state["waiting"].as_u64().unwrap_or(9),
        "cancelled": state["counts"]["small"]["cancelled"],
    })
}

// ----------------------------------------------------------------------------------------------

struct InputCase {
    guards: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    problem: &'static str,
}

fn bearer(key: &str) -> Vec<(&'static str, String)> {
    vec![("authorization", format!("Bearer {key}"))]
}

fn chat_case(
    guards: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    problem: &'static str,
) -> InputCase {
    InputCase {
        guards,
        method: Method::POST,
        path: CHAT,
        headers,
        body,
        status,
        problem,
    }
}

fn input_cases() -> Vec<InputCase> {
    let good = || chat_body("small", "hello", 4, false);
    let key = || bearer(VENDOR_KEY);
    let two_keys = [key(), vec![("x-api-key", "another".to_owned())]].concat();
    let flood = [key(), vec![("x-filler", "f".repeat(40_000))]].concat();
    vec![
        chat_case("service without a key", vec![], good(), 401, "missing-key"),
        chat_case(
            "service for a wrong key",
            bearer("zk-wrong"),
            good(),
            401,
            "invalid-key",
        ),
        chat_case(
            "a guess at which of two keys is meant",
            two_keys,
            good(),
            401,
            "invalid-key",
        ),
        chat_case(
            "another scheme taken for a key",
            vec![("authorization", format!("Basic {VENDOR_KEY}"))],
            good(),
            401,
            "invalid-key",
        ),
        InputCase {
            path: "/v1/chat/completions?api_key=zk-demo-vendor-key",
            ..chat_case(
                "keys in logs of queries",
                vec![],
                good(),
                400,
                "key-in-query",
            )
        },
        InputCase {
            path: "/r/demo-app/status/1?note=zk-demo-vendor-key",
            method: Method::GET,
            ..chat_case(
                "keys in a query under another name",
                key(),
                String::new(),
                400,
                "key-in-query",
            )
        },
        chat_case(
            "memory filled by one body",
            key(),
            "x".repeat(BODY_LIMIT + 1),
            413,
            "body-too-large",
        ),
        chat_case(
            "broken JSON passed on",
            key(),
            r#"{"model":"small","#.to_owned(),
            400,
            "invalid-body",
        ),
        chat_case(
            "a body without messages",
            key(),
            r#"{"model":"small"}"#.to_owned(),
            400,
            "invalid-body",
        ),
        chat_case(
            "a queue for an unknown model",
            key(),
            chat_body("none", "a", 1, false),
            404,
            "unknown-model",
        ),
        chat_case(
            "a queue for an unknown adapter",
            key(),
            chat_body("small:none", "a", 1, false),
            404,
            "unknown-model",
        ),
        chat_case(
            "memory filled by headers",
            flood,
            good(),
            431,
            "headers-too-large",
        ),
        InputCase {
            path: "/r/demo-app/none",
            ..chat_case(
                "paths beyond the document",
                key(),
                String::new(),
                404,
                "unknown-route",
            )
        },
        InputCase {
            path: "/r/demo-app/status/../bookings",
            ..chat_case(
                "one route's path that means another's",
                key(),
                String::new(),
                404,
                "unknown-route",
            )
        },
        chat_case(
            "output beyond the model's limit",
            key(),
            chat_body("small", "hello", 1_000_000_000, false),
            400,
            "invalid-body",
        ),
    ]
}

/// Guards against bad input that gets no answer or an unclear one, and against input that reaches a
/// backend server although it is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_requests_get_a_clear_problem_and_reach_no_backend_server() {
    let fleet = start(&[]).await;
    expect_serving(&fleet, "the start").await;
    let seen = || async {
        let chats = fleet
            .read_json("engine-1", "/v1/state")
            .await
            .expect("state");
        let app = fleet.read_json("service-1", "/seen").await.expect("seen");
        let finished = chats["counts"]["small"]["finished"].clone();
        json!([
            finished,
            chats["counts"]["small"]["cancelled"],
            app["requests"]
        ])
    };
    let before = seen().await;
    for case in input_cases() {
        let client = case.headers.iter().fold(
            TestClient::new().expect("client"),
            |client, (name, value)| client.with_header(name, value),
        );
        let url = fleet.url("entry-1", case.path).expect("known");
        let answer = client.send(case.method, &url, case.body).await;
        let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.guards));
        let got = (answer.status, answer.problem(), answer.ran());
        let expected = (case.status, case.problem.to_owned(), "no".to_owned());
        assert_that!(got, eq(&expected), "guards against: {}", case.guards);
    }
    assert_that!(seen().await, eq(&before));
    expect_serving(&fleet, "bad requests").await;
}

/// Guards against a process that fails over a header section of too many fields or without an end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_of_headers_is_refused() {
    let fleet = start(&[]).await;
    let address = fleet.spec("entry-1").expect("known").address;
    let fields = |count: usize| "x-a: b\r\n".repeat(count);
    let head = format!("GET /v1/models HTTP/1.1\r\nhost: a\r\n{}", fields(5000));
    for end in ["\r\n", ""] {
        let mut caller = RawExchange::open(address).await.expect("connected");
        let flood = format!("{head}{}{end}", fields(20_000));
        // The process may close before it has read everything.
        let _ = caller.send(flood.as_bytes()).await;
        let answer = caller.read(Duration::from_secs(12)).await;
        let status = answer.map_or(431, |answer| answer.status);
        assert_that!(status, eq(431), "end of the section: {end:?}");
        expect_serving(&fleet, "a flood of headers").await;
    }
}

/// Guards against slots and tokens held for a caller that has gone: the engine is told to stop, the
/// ticket is returned, and the unused tokens are refunded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_in_mid_stream_holds_nothing() {
    let fleet = start(&["--token-us", "50000"]).await;
    expect_serving(&fleet, "the start").await;
    let url = fleet.url("entry-1", CHAT).expect("known");
    for round in 0..4 {
        let mut streams = Vec::new();
        for _ in 0..4 {
            let body = chat_body("small", "long text", 1000, true);
            let opened = vendor().open(Method::POST, &url, body).await;
            let mut stream = opened.expect("stream");
            assert_that!(stream.next().await, some(ok(anything())), "round {round}");
            streams.push(stream);
        }
        drop(streams);
        let is_free = async || engine_counts(&fleet).await["open"] == 0;
        let freed = wait_until("a free engine", SETTLE_LIMIT, is_free).await;
        freed.unwrap_or_else(|error| panic!("round {round}: {error}"));
    }
    let counts = engine_counts(&fleet).await;
    assert_that!(counts["cancelled"].as_u64(), some(eq(16)));
    let is_closed = async || {
        fleet
            .metric("entry-1", "open_streams")
            .await
            .is_ok_and(|n| n == 0.0)
    };
    let closed = wait_until("closed streams", SETTLE_LIMIT, is_closed).await;
    closed.expect("the entry process closes its side");
    let answer = chat(&fleet, "after all", 5).await;
    let left: u64 = answer
        .header("x-ratelimit-remaining-tokens")
        .parse()
        .unwrap_or(0);
    // 16 x 1000 tokens were charged and only a few were used.
    assert_that!(left, ge(36_000));
}

/// Guards against connections held by callers that send a byte a second: the header section and the
/// body have 10 s each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_sends_a_byte_a_second_is_turned_away() {
    let fleet = start(&[]).await;
    let address = fleet.spec("entry-1").expect("known").address;
    let limit = Duration::from_secs(14);
    let second = Duration::from_secs(1);
    let slow_header = async {
        let mut caller = RawExchange::open(address).await.expect("connected");
        caller
            .trickle(b"GET /v1/models HTTP/1.1\r\nhost: a\r\n", second, limit)
            .await
    };
    let slow_body = async {
        let mut caller = RawExchange::open(address).await.expect("connected");
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {VENDOR_KEY}\r\n\
             content-length: 1000\r\n\r\n"
        );
        caller.send(head.as_bytes()).await.expect("sent");
        caller.trickle(&[b' '; 20], second, limit).await;
        caller.read(second).await
    };
    let serving = async {
        for _ in 0..10 {
            expect_serving(&fleet, "slow callers").await;
            tokio::time::sleep(second).await;
        }
    };
    let (header_closed, body_answer, ()) = tokio::join!(slow_header, slow_body, serving);
    assert_that!(header_closed, eq(true));
    let answer = body_answer.expect("an answer");
    assert_that!(
        (answer.status, answer.problem()),
        eq(&(408, "body-too-slow".to_owned()))
    );
    expect_serving(&fleet, "slow callers").await;
}

// ----------------------------------------------------------------------------------------------

struct ServerCase {
    guards: &'static str,
    fault: Value,
    stream: bool,
    /// True if the fault shows only after the first bytes went to the caller.
    is_cut: bool,
}

/// Guards against broken answers that look whole, and against a claim that the request did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_answers_of_an_engine_never_look_whole() {
    let fleet = start(&[]).await;
    expect_serving(&fleet, "the start").await;
    let fault = |kind: &str| json!({ "kind": kind, "path": CHAT });
    let clean = json!({ "kind": "close_early", "path": CHAT, "clean": true });
    let cases = [
        ServerCase {
            guards: "garbage",
            fault: fault("garbage"),
            stream: false,
            is_cut: false,
        },
        ServerCase {
            guards: "a garbled stream",
            fault: fault("garbage"),
            stream: true,
            is_cut: false,
        },
        ServerCase {
            guards: "a cut answer",
            fault: fault("close_early"),
            stream: false,
            is_cut: false,
        },
        ServerCase {
            guards: "a cut stream",
            fault: fault("close_early"),
            stream: true,
            is_cut: true,
        },
        ServerCase {
            guards: "half an answer",
            fault: clean.clone(),
            stream: false,
            is_cut: false,
        },
        ServerCase {
            guards: "half a stream",
            fault: clean,
            stream: true,
            is_cut: true,
        },
        ServerCase {
            guards: "a foreign answer",
            fault: fault("crossed"),
            stream: false,
            is_cut: false,
        },
        ServerCase {
            guards: "a foreign stream",
            fault: fault("crossed"),
            stream: true,
            is_cut: false,
        },
        ServerCase {
            guards: "a lost answer",
            fault: fault("lost_answer"),
            stream: false,
            is_cut: false,
        },
    ];
    for case in cases {
        fleet
            .add_fault("engine-1", &case.fault)
            .await
            .expect("fault");
        let url = fleet.url("entry-1", CHAT).expect("known");
        let body = chat_body("small", case.guards, 12, case.stream);
        let answer = vendor().post(&url, body).await.expect("answered");
        let chat = ChatAnswer::read(&answer);
        if case.fault["kind"] == "crossed" && chat.looks_whole {
            // The second attempt can get the answer to the first one, which is the caller's own.
            let own = expected_answer(case.guards, 12);
            assert_that!(chat.text, eq(&own), "guards against: {}", case.guards);
            fleet.clear_faults("engine-1").await.expect("cleared");
            continue;
        }
        assert_that!(
            chat.looks_whole,
            eq(false),
            "guards against: {}",
            case.guards
        );
        if case.is_cut {
            let marks = (answer.status, answer.is_complete, chat.has_error);
            assert_that!(marks, eq((200, false, true)), "{}", case.guards);
        } else {
            assert_that!(
                answer.problem(),
                not(eq("")),
                "{}: {}",
                case.guards,
                answer.text()
            );
            assert_that!(answer.status, ge(500), "{}", case.guards);
            // The engine got the request, whatever became of later attempts (I9).
            assert_that!(
                answer.ran(),
                not(eq("no")),
                "{}: {}",
                case.guards,
                answer.text()
            );
        }
        fleet.clear_faults("engine-1").await.expect("cleared");
        let is_free = async || engine_counts(&fleet).await["open"] == 0;
        let freed = wait_until("a free engine", SETTLE_LIMIT, is_free).await;
        freed.unwrap_or_else(|error| panic!("{}: {error}", case.guards));
        expect_serving(&fleet, case.guards).await;
    }
}
