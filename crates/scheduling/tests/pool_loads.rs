//! Unit tests of the pool planner's loads, rate limits, placement and scaling.

mod common;

use std::time::Duration;

use common::GB;
use common::at;
use common::demand;
use common::fast_settings;
use common::in_flight;
use common::list;
use common::load;
use common::models;
use common::observation;
use common::planner;
use common::waiting;
use googletest::prelude::*;
use zinniahinge_scheduling::CacheLevel;
use zinniahinge_scheduling::LoadOrder;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PermitScope;
use zinniahinge_scheduling::PlacementRule;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_types::AdapterDemand;
use zinniahinge_types::PriorityClass;

/// Guards against one load per request or report: an unloaded model is loaded once, however many
/// wait for it.
#[gtest]
fn cold_model_is_loaded_once() {
    let mut planner = planner(fast_settings(), &[40 * GB, 40 * GB, 40 * GB], 1);
    let mut loads = 0;
    for step in 0..20 {
        planner.apply_demand(demand("m0", 0, vec![waiting(500)]), at(step * 50));
        loads += planner.plan(at(step * 50)).len();
    }
    expect_that!(loads, eq(1));
}

/// Guards against a second load right after the first: the requests that waited for it were
/// reported before their dispatcher could use the new replica.
#[gtest]
fn finished_load_is_not_repeated_on_an_old_report() {
    let mut planner = planner(fast_settings(), &[40 * GB, 40 * GB], 1);
    planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
    let orders = planner.plan(at(0));
    planner.confirm(orders[0].order_id, OrderResult::Done, at(3000));
    expect_that!(planner.plan(at(3005)), is_empty());
}

/// Guards against exceeding the weight store's rate of load starts or its limit of concurrent
/// loads.
#[gtest]
fn permits_limit_rate_and_number_of_loads() {
    let settings = PoolSettings {
        loads_per_second: 2.0,
        ..PoolSettings::default()
    };
    let mut planner = planner(settings, &[200 * GB], 10);
    let mut orders = Vec::new();
    for step in 0..100 {
        for model in 0..10 {
            planner.apply_demand(
                demand(&format!("m{model}"), 0, vec![waiting(1)]),
                at(step * 50),
            );
        }
        orders.extend(
            planner
                .plan(at(step * 50))
                .into_iter()
                .map(|o| (step * 50, o)),
        );
    }
    let starts: Vec<_> = orders.iter().map(|order| order.0).collect();
    expect_that!(
        starts,
        elements_are![eq(&0), eq(&500), eq(&1000), eq(&1500)]
    );
    planner.confirm(orders[0].1.order_id, OrderResult::Done, at(5000));
    expect_that!(planner.plan(at(5000)).len(), eq(1));
}

/// Guards against cached loads waiting for the weight store when the settings limit only remote
/// loads.
#[gtest]
fn permit_scope_can_leave_cached_loads_out() {
    let settings = PoolSettings {
        permit_scope: PermitScope::RemoteLoads,
        ..PoolSettings::default()
    };
    let mut planner = planner(settings, &[], 4);
    let mut server = observation("s0", 100 * GB, at(0));
    server.cached = [("m0", CacheLevel::Disk), ("m1", CacheLevel::Memory)]
        .map(|(model, level)| (model.into(), level))
        .into();
    planner.observe_server(server, at(0));
    for model in 0..4 {
        planner.apply_demand(demand(&format!("m{model}"), 0, vec![waiting(1)]), at(0));
    }
    let loaded = models(&planner.plan(at(0)), OrderAction::LoadModel);
    expect_that!(loaded.len(), eq(3));
    expect_that!(loaded, all![contains(eq("m0")), contains(eq("m1"))]);
}

struct OrderCase {
    name: &'static str,
    rule: LoadOrder,
    change: fn(&mut AdapterDemand),
    first: &'static str,
}

/// Guards against a load order that ignores class, deadline or age. `m0` has waited 3 s with a
/// deadline in 60 s; `m1` differs by the case's change.
#[gtest]
fn load_queue_is_ordered() {
    let cases = [
        OrderCase {
            name: "longest wait",
            rule: LoadOrder::Weighted,
            change: |_| {},
            first: "m0",
        },
        OrderCase {
            name: "more urgent class",
            rule: LoadOrder::Weighted,
            change: |wish| wish.class = PriorityClass::Urgent,
            first: "m1",
        },
        OrderCase {
            name: "earlier deadline",
            rule: LoadOrder::Weighted,
            change: |wish| wish.deadline_in = Duration::from_secs(20),
            first: "m1",
        },
        OrderCase {
            name: "a deadline that cannot be met gives way",
            rule: LoadOrder::Weighted,
            change: |wish| wish.deadline_in = Duration::from_secs(5),
            first: "m0",
        },
        OrderCase {
            name: "batch that has aged",
            rule: LoadOrder::Weighted,
            change: |wish| {
                wish.class = PriorityClass::Batch;
                wish.waited = Duration::from_secs(70);
            },
            first: "m1",
        },
        OrderCase {
            name: "baseline ignores the class",
            rule: LoadOrder::FirstInFirstOut,
            change: |wish| wish.class = PriorityClass::Urgent,
            first: "m0",
        },
    ];
    for case in cases {
        let settings = PoolSettings {
            load_order: case.rule,
            ..PoolSettings::default()
        };
        let mut planner = planner(settings, &[100 * GB], 2);
        let mut early = waiting(1);
        early.waited = Duration::from_secs(3);
        let mut changed = waiting(1);
        (case.change)(&mut changed);
        planner.apply_demand(demand("m0", 0, vec![early]), at(0));
        planner.apply_demand(demand("m1", 0, vec![changed]), at(0));
        let orders = planner.plan(at(0));
        expect_that!(orders.len(), eq(1));
        expect_that!(&*orders[0].model, eq(case.first), "{}", case.name);
    }
}

/// Guards against one account's unloaded models using all load permits while another account waits.
#[gtest]
fn loads_are_fair_between_accounts() {
    let mut planner = planner(fast_settings(), &[100 * GB], 5);
    planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
    expect_that!(
        models(&planner.plan(at(0)), OrderAction::LoadModel),
        elements_are![eq("m0")]
    );
    let mut other = waiting(1);
    other.account = "account-2".into();
    planner.apply_demand(demand("m1", 0, vec![waiting(1)]), at(5));
    planner.apply_demand(demand("m2", 0, vec![other]), at(5));
    expect_that!(
        models(&planner.plan(at(5)), OrderAction::LoadModel),
        elements_are![eq("m2")]
    );
}

struct PlacementCase {
    rule: PlacementRule,
    expected: &'static str,
}

/// Guards against loading from the weight store while another server has the checkpoint cached, and
/// against a wrong baseline.
#[gtest]
fn placement_prefers_the_cached_checkpoint() {
    let cases = [
        PlacementCase {
            rule: PlacementRule::CacheAware,
            expected: "s1",
        },
        PlacementCase {
            rule: PlacementRule::LeastLoaded,
            expected: "s0",
        },
    ];
    for case in cases {
        let settings = PoolSettings {
            placement: case.rule,
            ..fast_settings()
        };
        let mut planner = planner(settings, &[80 * GB], 1);
        let mut cached = observation("s1", 40 * GB, at(0));
        cached.cached = [("m0".into(), CacheLevel::Disk)].into();
        planner.observe_server(cached, at(0));
        planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
        expect_that!(&*planner.plan(at(0))[0].server, eq(case.expected));
    }
}

/// Guards against a slow load elsewhere when a request arrives while its model is being unloaded
/// from a server with the checkpoint cached: waiting for the unload takes less time than the slower
/// load.
#[gtest]
fn load_waits_for_an_unload_beside_the_checkpoint() {
    let mut planner = planner(fast_settings(), &[], 1);
    let mut cached = observation("s0", 10 * GB, at(0));
    cached.cached = [("m0".into(), CacheLevel::Disk)].into();
    planner.observe_server(cached.clone(), at(0));
    planner.observe_server(observation("s1", 10 * GB, at(0)), at(0));
    expect_that!(load(&mut planner, "m0", at(0)), eq("s0"));
    planner.plan(at(60_000));
    let (version, _) = list(planner.apply_demand(demand("m0", 1 << 24, vec![]), at(60_010)));
    cached.loaded.insert("m0".into(), LoadedModel::default());
    cached.asked_at = at(60_020);
    planner.observe_server(cached, at(60_020));
    planner.apply_demand(demand("m0", version, vec![]), at(60_030));
    let unload = planner.plan(at(60_030)).remove(0);
    expect_that!(unload.action, eq(OrderAction::UnloadModel));
    planner.apply_demand(demand("m0", version, vec![waiting(1)]), at(60_040));
    expect_that!(planner.plan(at(60_040)), is_empty());
    planner.confirm(unload.order_id, OrderResult::Done, at(60_050));
    let order = planner.plan(at(60_060)).remove(0);
    expect_that!(&*order.server, eq("s0"));
}

/// Guards against an overloaded model that stays on one replica, and against more replicas than the
/// catalog allows.
#[gtest]
fn hot_model_gets_further_replicas_up_to_its_limit() {
    let mut planner = planner(fast_settings(), &[40 * GB, 40 * GB, 40 * GB], 1);
    load(&mut planner, "m0", at(0));
    let mut loads = 0;
    let mut version = 0;
    for step in 0..40 {
        let mut busy = demand("m0", version, vec![waiting(20)]);
        busy.in_flight = vec![in_flight("s0", 4)];
        busy.waiting[0].waited = Duration::from_millis(step * 100);
        (version, _) = list(planner.apply_demand(busy, at(step * 100)));
        for order in planner.plan(at(step * 100)) {
            loads += u32::from(order.action == OrderAction::LoadModel);
            planner.confirm(order.order_id, OrderResult::Done, at(step * 100));
        }
    }
    expect_that!(loads, eq(1));
    expect_that!(planner.replicas().count(), eq(2));
}

/// Guards against retrying a failed load immediately on the same server, and against leaking its
/// memory.
#[gtest]
fn failed_load_pauses_on_its_server() {
    let mut planner = planner(fast_settings(), &[10 * GB], 1);
    planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
    let order = planner.plan(at(0)).remove(0);
    planner.confirm(order.order_id, OrderResult::Failed, at(100));
    expect_that!(planner.plan(at(1000)), is_empty());
    expect_that!(planner.plan(at(1100)).len(), eq(1));
}

/// Guards against exceeding the limit of concurrent adapter loads, and against several loads of one
/// adapter.
#[gtest]
fn adapter_loads_are_limited_and_merged() {
    let settings = PoolSettings {
        adapter_limit: 2,
        ..fast_settings()
    };
    let mut planner = planner(settings, &[200 * GB], 3);
    for (index, model) in ["m0", "m1", "m2"].into_iter().enumerate() {
        load(&mut planner, model, at(index as u64 * 10));
    }
    let mut orders = Vec::new();
    for step in 0..5 {
        for index in 0..3 {
            let mut wish = waiting(7);
            wish.adapter = Some(format!("a{index}").into());
            planner.apply_demand(
                demand(&format!("m{index}"), 1 << 24, vec![wish]),
                at(100 + step),
            );
        }
        orders.extend(planner.plan(at(100 + step)));
    }
    expect_that!(models(&orders, OrderAction::LoadAdapter).len(), eq(2));
    planner.confirm(orders[0].order_id, OrderResult::Done, at(110));
    let (_, replicas) = list(planner.apply_demand(demand("m0", 1 << 24, Vec::new()), at(110)));
    expect_that!(replicas[0].adapters.len(), eq(1));
    expect_that!(
        models(&planner.plan(at(110)), OrderAction::LoadAdapter),
        elements_are![eq("m2")]
    );
}
