//! Orders, memory and fencing of the model engine.

mod common;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use serde_json::json;
use zinniahinge_standins::EngineSettings;
use zinniahinge_standins::FaultKind;
use zinniahinge_standins::FaultRequest;
use zinniahinge_standins::FaultSet;
use zinniahinge_standins::FencingMode;
use zinniahinge_standins::StoreSettings;
use zinniahinge_standins::WeightStore;

use crate::common::TestServer;
use crate::common::start_engine;
use crate::common::start_server;

fn quick_settings() -> EngineSettings {
    EngineSettings {
        memory_capacity_bytes: 100,
        remote_load_time: Duration::from_millis(20),
        ..EngineSettings::default()
    }
}

fn load_order(model: &str, bytes: u64, order_id: &str, fence: u64) -> Value {
    json!({
        "model": model, "version": "1", "bytes": bytes, "order_id": order_id, "fence": fence,
    })
}

async fn load(engine: &TestServer, model: &str, bytes: u64, order_id: &str, fence: u64) -> u16 {
    let order = load_order(model, bytes, order_id, fence);
    engine.post("/v1/load_model", order).await.status.as_u16()
}

async fn state(engine: &TestServer) -> Value {
    engine.get("/v1/state").await.json()
}

struct FencingCase {
    name: &'static str,
    mode: FencingMode,
    old_status: u16,
    loaded: usize,
}

/// Guards against an engine that obeys an old owner although it is said to honour fencing, and
/// against one that helps a test to pass although it is said to ignore it.
#[tokio::test]
async fn old_fencing_number_is_refused_only_where_honoured() {
    let cases = [
        FencingCase {
            name: "honours",
            mode: FencingMode::Honour,
            old_status: 409,
            loaded: 1,
        },
        FencingCase {
            name: "ignores",
            mode: FencingMode::Ignore,
            old_status: 200,
            loaded: 2,
        },
    ];
    for case in cases {
        let settings = EngineSettings {
            fencing: case.mode,
            ..quick_settings()
        };
        let engine = start_engine(settings).await;
        assert_that!(load(&engine, "a", 10, "o1", 5).await, eq(200));
        let old = load(&engine, "b", 10, "o2", 4).await;
        assert_that!(old, eq(case.old_status), "{}", case.name);
        let unload = json!({ "model": "a", "order_id": "o3", "fence": 4 });
        let old = engine.post("/v1/unload_model", unload).await;
        assert_that!(old.status.as_u16(), eq(case.old_status), "{}", case.name);
        // A reader with a newer number shuts out all older owners.
        let newer = engine.get("/v1/state?fence=6").await.json();
        assert_that!(newer["highest_fence"], eq(&json!(6)), "{}", case.name);
        let late = load(&engine, "c", 10, "o4", 5).await;
        assert_that!(late, eq(case.old_status), "{}", case.name);
        let models = state(&engine).await["models"].as_array().map(Vec::len);
        assert_that!(models, some(eq(case.loaded)), "{}", case.name);
    }
}

/// Guards against an overcommit that no test can see.
#[tokio::test]
async fn overcommit_is_recorded_or_refused() {
    for memory_check in [false, true] {
        let settings = EngineSettings {
            memory_check,
            ..quick_settings()
        };
        let engine = start_engine(settings).await;
        assert_that!(load(&engine, "a", 70, "o1", 1).await, eq(200));
        let over = load(&engine, "b", 50, "o2", 1).await;
        assert_that!(over, eq(if memory_check { 507 } else { 200 }));
        let unload = json!({ "model": "a", "order_id": "o3", "fence": 1 });
        engine.post("/v1/unload_model", unload).await;
        let state = state(&engine).await;
        let peak = if memory_check { 0 } else { 20 };
        assert_that!(state["overcommit_peak_bytes"], eq(&json!(peak)));
        let used = if memory_check { 0 } else { 50 };
        assert_that!(state["memory_used_bytes"], eq(&json!(used)));
    }
}

/// Guards against a lost answer that makes a repeated order load twice, and against an order that
/// stops when its connection breaks.
#[tokio::test]
async fn repeated_order_is_carried_out_once() {
    let engine = start_engine(quick_settings()).await;
    engine.add_fault(FaultKind::LostAnswer);
    let order = load_order("a", 10, "o1", 1).to_string();
    let lost = engine.send(Method::POST, "/v1/load_model", &[], &order);
    assert_that!(lost.await.is_none(), eq(true));
    assert_that!(load(&engine, "a", 10, "o1", 1).await, eq(200));
    let state = state(&engine).await;
    assert_that!(state["loads"], eq(&json!(1)));
    assert_that!(state["memory_used_bytes"], eq(&json!(10)));
    assert_that!(state["applied_orders"], eq(&json!(["o1"])));
}

/// Guards against weights that are taken away under a running request.
#[tokio::test]
async fn model_with_requests_is_not_unloaded() {
    let settings = EngineSettings {
        first_token_time: Duration::from_millis(200),
        ..quick_settings()
    };
    let engine = start_engine(settings).await;
    load(&engine, "a", 10, "o1", 1).await;
    let chat = json!({ "model": "a", "messages": [{ "role": "user", "content": "x" }] });
    let unload_while_running = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let unload = json!({ "model": "a", "order_id": "o2", "fence": 1 });
        engine
            .post("/v1/unload_model", unload)
            .await
            .status
            .as_u16()
    };
    let (answer, refused) = tokio::join!(
        engine.post("/v1/chat/completions", chat),
        unload_while_running
    );
    assert_that!(answer.status.as_u16(), eq(200));
    assert_that!(refused, eq(409));
    let unload = json!({ "model": "a", "order_id": "o3", "fence": 1 });
    let done = engine.post("/v1/unload_model", unload).await;
    assert_that!(done.status.as_u16(), eq(200));
}

/// Guards against an engine that comes back from a death during a load with its old state.
#[tokio::test]
async fn death_during_a_load_loses_everything_loaded() {
    let engine = start_engine(quick_settings()).await;
    load(&engine, "a", 10, "o1", 7).await;
    let before = state(&engine).await;
    let mut fault = FaultRequest::new(FaultKind::DieInLoad);
    fault.count = Some(1);
    fault.delay_ms = 200;
    engine.add(fault);
    let order = load_order("b", 10, "o2", 7).to_string();
    let lost = engine.send(Method::POST, "/v1/load_model", &[], &order);
    assert_that!(lost.await.is_none(), eq(true));
    let down = engine.send(Method::GET, "/v1/state", &[], "").await;
    assert_that!(down.is_none(), eq(true));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let after = state(&engine).await;
    assert_that!(after["boot_id"] == before["boot_id"], eq(false));
    assert_that!(after["models"], eq(&json!([])));
    assert_that!(after["memory_used_bytes"], eq(&json!(0)));
    assert_that!(after["cache"], eq(&json!({ "a@1": "disk" })));
}

/// Guards against loads that bypass the weight store, and against a failed load that keeps memory.
#[tokio::test]
async fn remote_load_goes_through_the_weight_store() {
    let faults = Arc::new(FaultSet::new(WeightStore::FAULTS));
    let store = WeightStore::new(
        StoreSettings {
            // A load at full speed takes 100 ms.
            loads_per_second: 40.0,
            ..StoreSettings::default()
        },
        faults.clone(),
    );
    let counted = store.clone();
    let server = start_server(faults, move |request| store.clone().handle(request)).await;
    let engine = start_engine(EngineSettings {
        store: Some(server.server.address),
        ..quick_settings()
    })
    .await;
    server.add_fault(FaultKind::Down);
    assert_that!(load(&engine, "a", 10, "o1", 1).await, eq(502));
    let failed = state(&engine).await;
    assert_that!(failed["memory_used_bytes"], eq(&json!(0)));
    assert_that!(failed["cache"], eq(&json!({})));
    for (order_id, source) in [("o2", "remote"), ("o4", "memory")] {
        let order = load_order("a", 10, order_id, 1);
        let loaded = engine.post("/v1/load_model", order).await.json();
        assert_that!(loaded["source"], eq(&json!(source)));
        let unload = json!({ "model": "a", "order_id": format!("{order_id}u"), "fence": 1 });
        engine.post("/v1/unload_model", unload).await;
    }
    assert_that!(counted.report().finished, eq(1));
}

/// Guards against adapters that are used before they are loaded or unloaded while in use.
#[tokio::test]
async fn adapter_needs_its_model_and_takes_memory() {
    let engine = start_engine(quick_settings()).await;
    let order = |id: &str| json!({ "model": "a", "adapter": "x", "bytes": 5, "order_id": id });
    let early = engine.post("/v1/load_lora_adapter", order("o1")).await;
    assert_that!(early.status.as_u16(), eq(404));
    load(&engine, "a", 10, "o2", 0).await;
    let chat = json!({ "model": "a:x", "messages": [{ "role": "user", "content": "x" }] });
    let early = engine.post("/v1/chat/completions", chat.clone()).await;
    assert_that!(early.status.as_u16(), eq(404));
    let loaded = engine.post("/v1/load_lora_adapter", order("o3")).await;
    assert_that!(loaded.json()["memory_used_bytes"], eq(&json!(15)));
    let answer = engine.post("/v1/chat/completions", chat).await;
    assert_that!(answer.status.as_u16(), eq(200));
    let unloaded = engine.post("/v1/unload_lora_adapter", order("o4")).await;
    assert_that!(unloaded.json()["memory_used_bytes"], eq(&json!(10)));
}

struct BootCase {
    name: &'static str,
    path: &'static str,
    order: Value,
}

/// Guards against an order that was on its way when the engine restarted: carried out, it would take memory that its
/// sender no longer counts.
#[tokio::test]
async fn order_for_an_earlier_run_is_refused() {
    let cases = [
        BootCase {
            name: "load",
            path: "/v1/load_model",
            order: load_order("b", 10, "o2", 1),
        },
        BootCase {
            name: "unload",
            path: "/v1/unload_model",
            order: json!({ "model": "a", "order_id": "o3", "fence": 1 }),
        },
        BootCase {
            name: "adapter",
            path: "/v1/load_lora_adapter",
            order: json!({ "model": "a", "adapter": "x", "bytes": 5, "order_id": "o4", "fence": 1 }),
        },
    ];
    for case in cases {
        let engine = start_engine(quick_settings()).await;
        assert_that!(load(&engine, "a", 10, "o1", 1).await, eq(200));
        let before = state(&engine).await;
        let mut order = case.order.clone();
        order["boot_id"] = json!("0123456789abcdef");
        let refused = engine.post(case.path, order.clone()).await;
        assert_that!(refused.status.as_u16(), eq(409), "{}", case.name);
        assert_that!(
            state(&engine).await["models"],
            eq(&before["models"]),
            "{}",
            case.name
        );
        order["boot_id"] = before["boot_id"].clone();
        let taken = engine.post(case.path, order).await;
        assert_that!(taken.status.as_u16(), eq(200), "{}", case.name);
    }
}
