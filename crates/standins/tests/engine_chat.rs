//! Answers of the model engine, whole, cut and crossed.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use serde_json::json;
use zinniahinge_standins::EngineSettings;
use zinniahinge_standins::FaultKind;
use zinniahinge_standins::FaultRequest;
use zinniahinge_standins::expected_answer;
use zinniahinge_standins::hex_digest;

use crate::common::Answer;
use crate::common::TestServer;
use crate::common::start_engine;

const PATH: &str = "/v1/chat/completions";

async fn start_loaded(settings: EngineSettings) -> TestServer {
    let engine = start_engine(settings).await;
    let order = json!({ "model": "m", "bytes": 1, "order_id": "o" });
    engine.post("/v1/load_model", order).await;
    engine
}

fn quick_settings() -> EngineSettings {
    EngineSettings {
        remote_load_time: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn chat(text: &str, stream: bool) -> Value {
    json!({
        "model": "m",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 8,
        "stream": stream,
        "stream_options": { "include_usage": true },
    })
}

fn read_events(answer: &Answer) -> Vec<String> {
    let text = answer.text();
    let events = text.split("\n\n").filter(|event| !event.is_empty());
    events
        .map(|e| e.trim_start_matches("data: ").to_owned())
        .collect()
}

fn streamed_text(events: &[String]) -> String {
    let parsed = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(event).ok());
    parsed
        .filter_map(|event| {
            let content = &event["choices"][0]["delta"]["content"];
            content.as_str().map(str::to_owned)
        })
        .collect()
}

/// Guards against answers that a caller cannot check, streamed or not.
#[tokio::test]
async fn answer_follows_from_the_request() {
    let engine = start_loaded(quick_settings()).await;
    let expected = expected_answer("red green blue", 8);
    let whole = engine
        .post(PATH, chat("red green blue", false))
        .await
        .json();
    let content = &whole["choices"][0]["message"]["content"];
    assert_that!(content, eq(&json!(expected)));
    assert_that!(whole["usage"]["total_tokens"], eq(&json!(11)));

    let streamed = engine.post(PATH, chat("red green blue", true)).await;
    let events = read_events(&streamed);
    assert_that!(streamed_text(&events), eq(&expected));
    assert_that!(events.last().map(String::as_str), some(eq("[DONE]")));
    let usage: Value = serde_json::from_str(&events[events.len() - 2]).unwrap();
    assert_that!(usage["usage"]["completion_tokens"], eq(&json!(8)));

    // A continued answer goes on with the next number.
    let mut rest = chat("red green blue", false);
    rest["max_tokens"] = json!(5);
    rest["continue_final_message"] = json!(true);
    let begun = json!({ "role": "assistant", "content": expected_answer("red green blue", 3) });
    rest["messages"].as_array_mut().unwrap().push(begun);
    let rest = engine.post(PATH, rest).await.json();
    let rest = rest["choices"][0]["message"]["content"].as_str().unwrap();
    let joined = expected_answer("red green blue", 3) + rest;
    assert_that!(joined, eq(&expected));
}

struct CutCase {
    name: &'static str,
    stream: bool,
    clean: bool,
    is_whole: bool,
}

/// Guards against cuts that are gentler than announced: neither kind may deliver all tokens.
#[tokio::test]
async fn cut_answers_are_cut() {
    let cases = [
        CutCase {
            name: "stream breaks",
            stream: true,
            clean: false,
            is_whole: false,
        },
        CutCase {
            name: "stream ends regularly",
            stream: true,
            clean: true,
            is_whole: true,
        },
        CutCase {
            name: "body breaks",
            stream: false,
            clean: false,
            is_whole: false,
        },
        CutCase {
            name: "body ends regularly",
            stream: false,
            clean: true,
            is_whole: true,
        },
    ];
    for case in cases {
        let engine = start_loaded(quick_settings()).await;
        let mut fault = FaultRequest::new(FaultKind::CloseEarly);
        fault.count = Some(1);
        fault.clean = case.clean;
        engine.add(fault);
        let cut = engine.post(PATH, chat("a b c", case.stream)).await;
        assert_that!(cut.status.as_u16(), eq(200), "{}", case.name);
        assert_that!(cut.is_whole, eq(case.is_whole), "{}", case.name);
        assert_that!(cut.body.is_empty(), eq(false), "{}", case.name);
        if case.stream {
            assert_that!(cut.text().contains("7:b"), eq(false), "{}", case.name);
            assert_that!(cut.text().contains("[DONE]"), eq(false), "{}", case.name);
        } else {
            // Half of the JSON may contain the text, but cannot be read.
            assert_that!(cut.json(), eq(&Value::Null), "{}", case.name);
        }
        let next = engine.post(PATH, chat("a b c", case.stream)).await;
        assert_that!(next.text().contains("7:b"), eq(true), "{}", case.name);
    }
}

/// Guards against a crossed answer that looks like the caller's own.
#[tokio::test]
async fn crossed_answer_belongs_to_the_other_request() {
    let engine = start_loaded(quick_settings()).await;
    let send = async |text: &str, id: &str| {
        let headers = [("x-request-id", id)];
        let body = chat(text, true).to_string();
        engine
            .send(Method::POST, PATH, &headers, &body)
            .await
            .unwrap()
    };
    let own = send("mine", "id-1").await;
    assert_that!(own.headers["x-request-id"].to_str(), ok(eq(&"id-1")));
    engine.add_fault(FaultKind::Crossed);
    let crossed = send("yours", "id-2").await;
    assert_that!(crossed.headers["x-request-id"].to_str(), ok(eq(&"id-1")));
    let text = streamed_text(&read_events(&crossed));
    assert_that!(text, eq(&expected_answer("mine", 8)));
    let text = streamed_text(&read_events(&send("yours", "id-3").await));
    assert_that!(text, eq(&expected_answer("yours", 8)));
}

/// Guards against more requests at once than slots, and against slots that a caller who left keeps.
#[tokio::test]
async fn slots_bound_running_requests_and_are_freed() {
    let settings = EngineSettings {
        slots: 1,
        first_token_time: Duration::from_secs(30),
        cached_first_token_time: Duration::from_secs(30),
        ..quick_settings()
    };
    let engine = start_loaded(settings).await;
    for stream in [true, false] {
        let first = engine.post(PATH, chat("a", stream));
        let second = engine.post(PATH, chat("b", stream));
        let both = async { tokio::join!(first, second) };
        let left = tokio::time::timeout(Duration::from_millis(200), async {
            tokio::select! {
                _ = both => {}
                () = async {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    let state = engine.get("/v1/state").await.json();
                    assert_that!(state["running"], eq(&json!(1)));
                    assert_that!(state["waiting"], eq(&json!(1)));
                    std::future::pending().await
                } => {}
            }
        });
        assert_that!(left.await.is_err(), eq(true));
        tokio::time::sleep(Duration::from_millis(100)).await;
        let state = engine.get("/v1/state").await.json();
        assert_that!(state["running"], eq(&json!(0)));
        assert_that!(state["waiting"], eq(&json!(0)));
    }
}

/// Guards against a caller's key that reaches the engine unnoticed.
#[tokio::test]
async fn seen_digests_reveal_a_key_anywhere() {
    let engine = start_loaded(quick_settings()).await;
    let path = format!("{PATH}?api_key=key%2D1");
    let headers = [
        ("authorization", "Bearer key-2"),
        ("cookie", "a=1; k=key-3"),
    ];
    let body = chat("a", false).to_string();
    engine
        .send(Method::POST, &path, &headers, &body)
        .await
        .unwrap();
    let seen = engine.get("/seen").await.json();
    let digests = seen["digests"].as_array().unwrap();
    for key in ["key-1", "key-2", "key-3"] {
        let digest = json!(hex_digest(key.as_bytes()));
        assert_that!(digests.contains(&digest), eq(true), "{key}");
    }
    let absent = json!(hex_digest(b"key-4"));
    assert_that!(digests.contains(&absent), eq(false));
}

/// Guards against cache events that are neither late nor lost when they should be.
#[tokio::test]
async fn cache_events_come_late_or_never() {
    let engine = start_loaded(quick_settings()).await;
    let count = async || {
        let answer = engine.get("/v1/cache_events?after=0").await.json();
        answer["events"].as_array().map_or(0, Vec::len)
    };
    engine.add_fault(FaultKind::LateEvents);
    engine.post(PATH, chat("lost", false)).await;
    engine.post(PATH, chat("shown", false)).await;
    assert_that!(count().await, eq(1));
    let mut fault = FaultRequest::new(FaultKind::LateEvents);
    fault.delay_ms = 300;
    engine.add(fault);
    engine.post(PATH, chat("late", false)).await;
    assert_that!(count().await, eq(1));
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_that!(count().await, eq(2));
}
