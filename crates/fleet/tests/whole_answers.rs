//! Guards I8: a caller gets the whole answer to its own request, and a cut one never looks whole.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use zinniahinge_fleet::ChatAnswer;
use zinniahinge_fleet::DEMO_APP;
use zinniahinge_fleet::DEMO_LLM;
use zinniahinge_fleet::Fleet;
use zinniahinge_fleet::FleetBuilder;
use zinniahinge_fleet::TestClient;
use zinniahinge_fleet::VENDOR_KEY;
use zinniahinge_fleet::chat_body;
use zinniahinge_standins::expected_answer;
use zinniahinge_standins::hex_digest;

const CHAT: &str = "/v1/chat/completions";

/// Requests per case and how many of them are open at once.
const REQUESTS: usize = 120;
const AT_ONCE: usize = 12;

/// Tokens per answer, enough for a cut after the third event.
const TOKENS: u64 = 8;

async fn start() -> Fleet {
    let builder = FleetBuilder::new()
        .with_hosts(2)
        .with_engines(2)
        .with_services(1);
    let fleet = builder.start_serving(&[DEMO_LLM, DEMO_APP]).await;
    fleet.expect("fleet serves")
}

/// How the answers of one case ended.
#[derive(Debug, Default, PartialEq, Eq)]
struct AnswerCounts {
    whole: usize,
    cut: usize,
    refused: usize,
}

async fn send(fleet: &Fleet, index: usize) -> (String, zinniahinge_fleet::TestAnswer) {
    let entry = format!("entry-{}", index % 2 + 1);
    let url = fleet.url(&entry, CHAT).expect("known");
    let text = format!("request {index} has its own words w{index}");
    let body = chat_body("small", &text, TOKENS, !index.is_multiple_of(3));
    let client = TestClient::new().expect("client").with_key(VENDOR_KEY);
    let answer = client.post(&url, body).await;
    (text, answer.expect("answered"))
}

async fn send_all(fleet: &Fleet, guards: &str) -> AnswerCounts {
    let mut counts = AnswerCounts::default();
    for start in (0..REQUESTS).step_by(AT_ONCE) {
        let sends = (start..start + AT_ONCE).map(|index| send(fleet, index));
        for (text, answer) in futures::future::join_all(sends).await {
            let chat = ChatAnswer::read(&answer);
            if chat.looks_whole {
                let expected = expected_answer(&text, TOKENS);
                assert_that!(chat.text, eq(&expected), "guards against: {guards}");
                counts.whole += 1;
            } else if answer.status == 200 {
                let marks = (answer.is_complete, chat.has_error);
                assert_that!(marks, eq((false, true)), "guards against: {guards}");
                counts.cut += 1;
            } else {
                assert_that!(answer.problem(), not(eq("")), "guards against: {guards}");
                counts.refused += 1;
            }
        }
    }
    counts
}

struct AnswerCase {
    guards: &'static str,
    fault: Value,
    /// True if streams break after their first bytes went to the caller.
    cuts: bool,
}

/// Guards against answers that are mixed up, shortened or passed off as whole under concurrency.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_answer_that_looks_whole_is_the_callers_own() {
    let fleet = start().await;
    let none = send_all(&fleet, "mixed-up answers without a fault").await;
    assert_that!(none.whole, eq(REQUESTS));
    let fault = |kind: &str| json!({ "kind": kind, "path": CHAT, "probability": 0.3 });
    let clean = json!({ "kind": "close_early", "path": CHAT, "probability": 0.3, "clean": true });
    let slow = json!({ "kind": "slow", "path": CHAT, "probability": 0.3, "delay_ms": 150 });
    let cases = [
        AnswerCase {
            guards: "crossed answers",
            fault: fault("crossed"),
            cuts: false,
        },
        AnswerCase {
            guards: "cut answers",
            fault: fault("close_early"),
            cuts: true,
        },
        AnswerCase {
            guards: "cut answers with a regular end",
            fault: clean,
            cuts: true,
        },
        AnswerCase {
            guards: "garbage",
            fault: fault("garbage"),
            cuts: false,
        },
        AnswerCase {
            guards: "late answers that overtake others",
            fault: slow,
            cuts: false,
        },
    ];
    for case in cases {
        for engine in ["engine-1", "engine-2"] {
            fleet.add_fault(engine, &case.fault).await.expect("fault");
        }
        let counts = send_all(&fleet, case.guards).await;
        println!("{}: {counts:?}", case.guards);
        assert_that!(counts.whole, ge(1), "{}", case.guards);
        if case.cuts {
            assert_that!(counts.cut, ge(1), "{}", case.guards);
        } else {
            assert_that!(counts.cut, eq(0), "{}", case.guards);
        }
        for engine in ["engine-1", "engine-2"] {
            fleet.clear_faults(engine).await.expect("cleared");
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against crossed and cut answers of a plain service.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_lookup_that_looks_whole_is_the_callers_own() {
    let fleet = start().await;
    for kind in ["crossed", "close_early", "lost_answer"] {
        let fault = json!({ "kind": kind, "path": "/status", "probability": 0.3 });
        fleet.add_fault("service-1", &fault).await.expect("fault");
        let look_up = async |index: usize| {
            let entry = format!("entry-{}", index % 2 + 1);
            let path = format!("/r/demo-app/status/{kind}/{index}");
            let url = fleet.url(&entry, &path).expect("known");
            let client = TestClient::new().expect("client").with_key(VENDOR_KEY);
            client.get(&url).await.expect("answered")
        };
        let mut whole = 0;
        for start in (0..REQUESTS).step_by(AT_ONCE) {
            let answers = (start..start + AT_ONCE).map(look_up);
            let answers = futures::future::join_all(answers).await;
            for (index, answer) in (start..).zip(answers) {
                if !answer.is_success() {
                    assert_that!(answer.problem(), not(eq("")), "{kind} {index}");
                    continue;
                }
                let own = format!("/status/{kind}/{index}");
                let expected = &hex_digest(own.as_bytes())[..16];
                assert_that!(
                    answer.json()["status"].as_str(),
                    some(eq(expected)),
                    "{kind} {index}"
                );
                whole += 1;
            }
        }
        println!("{kind}: {whole} of {REQUESTS} whole");
        assert_that!(whole, ge(1), "{kind}");
        fleet.clear_faults("service-1").await.expect("cleared");
    }
}
