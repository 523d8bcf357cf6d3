//! Decisions of the pool planner in single situations.

mod common;

use std::time::Duration;

use common::GB;
use common::SERVICE;
use common::at;
use common::catalog;
use common::demand;
use common::in_flight;
use common::observation;
use common::planner;
use common::waiting;
use googletest::prelude::*;
use zinniahinge_scheduling::CacheLevel;
use zinniahinge_scheduling::KeepAliveRule;
use zinniahinge_scheduling::LifecycleStage;
use zinniahinge_scheduling::LoadOrder;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::MemoryReservation;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderId;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PermitScope;
use zinniahinge_scheduling::PlacementRule;
use zinniahinge_scheduling::PoolOrder;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_scheduling::PoolState;
use zinniahinge_types::AdapterDemand;
use zinniahinge_types::DemandReply;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::ReplicaPhase;

fn fast_settings() -> PoolSettings {
    PoolSettings {
        loads_per_second: 1000.0,
        ..PoolSettings::default()
    }
}

fn list(reply: DemandReply) -> (u64, Vec<ReplicaEntry>) {
    match reply {
        DemandReply::Replicas { version, replicas } => (version, replicas),
        DemandReply::NotOwner => panic!("the planner owns the pool"),
    }
}

/// Loads `model` on some server and returns that server's name.
fn load(planner: &mut PoolPlanner, model: &str, now: MonotonicTime) -> String {
    planner.apply_demand(demand(model, 0, vec![waiting(1)]), now);
    let orders = planner.plan(now);
    let order = orders
        .iter()
        .find(|order| &*order.model == model)
        .expect("a load is due");
    planner.confirm(order.order_id, OrderResult::Done, now);
    report(planner, model, 0, now);
    order.server.to_string()
}

/// Lets the model's dispatcher apply the newest list and report `running` requests on each server.
fn report(planner: &mut PoolPlanner, model: &str, running: u32, now: MonotonicTime) -> u64 {
    let (version, replicas) = list(planner.apply_demand(demand(model, 0, Vec::new()), now));
    settle(planner, now);
    let mut applied = demand(model, version, Vec::new());
    let servers = replicas.iter().map(|entry| &entry.server);
    applied.in_flight = servers.map(|server| in_flight(server, running)).collect();
    planner.apply_demand(applied, now);
    version
}

/// Observes every server as the planner knows it, with nothing running.
fn settle(planner: &mut PoolPlanner, now: MonotonicTime) {
    let servers: Vec<_> = planner.servers().collect();
    for server in servers {
        let mut seen = observation(&server.server, server.memory_bytes, now);
        for replica in planner.replicas().filter(|r| r.server == server.server) {
            if replica.stage != LifecycleStage::Loading {
                let loaded = LoadedModel {
                    bytes: 10 * GB,
                    adapters: replica.adapters.iter().map(|a| (a.clone(), GB)).collect(),
                    running: 0,
                };
                seen.loaded.insert(replica.model, loaded);
            }
        }
        planner.observe_server(seen, now);
    }
}

fn models(orders: &[PoolOrder], action: OrderAction) -> Vec<String> {
    let matching = orders.iter().filter(|order| order.action == action);
    matching.map(|order| order.model.to_string()).collect()
}

// -------------------------------------------------------------------------------------------------
// Loads

/// Guards against one load per asker: however many requests and reports, a cold model is loaded
/// once.
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

/// Guards against a second load right after the first: the requests that waited for the load were
/// reported before their dispatcher could use the new replica.
#[gtest]
fn finished_load_is_not_repeated_on_an_old_report() {
    let mut planner = planner(fast_settings(), &[40 * GB, 40 * GB], 1);
    planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
    let orders = planner.plan(at(0));
    planner.confirm(orders[0].order_id, OrderResult::Done, at(3000));
    expect_that!(planner.plan(at(3005)), is_empty());
}

/// Guards against loads faster than the weight store's rate or more than it carries at full speed.
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

/// Guards against cached loads waiting for the weight store when the settings say that only remote
/// loads do.
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

/// Guards against a load queue that ignores class, deadline or age. `m0` waits for 3 s with a
/// deadline in 60 s; `m1` differs by the change.
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

/// Guards against one account's cold models keeping all permits while another waits.
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

/// Guards against a load from the weight store beside a cached checkpoint, and against a baseline
/// that is not one.
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

/// Guards against a slow load elsewhere when a request comes while its model is being unloaded
/// beside a cached checkpoint: the unload takes less time than the difference.
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

/// Guards against a hot model that stays on one replica, and against more replicas than the
/// document allows.
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

/// Guards against a failed load being repeated at once on the same server, and its memory lost.
#[gtest]
fn failed_load_pauses_on_its_server() {
    let mut planner = planner(fast_settings(), &[10 * GB], 1);
    planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
    let order = planner.plan(at(0)).remove(0);
    planner.confirm(order.order_id, OrderResult::Failed, at(100));
    expect_that!(planner.plan(at(1000)), is_empty());
    expect_that!(planner.plan(at(1100)).len(), eq(1));
}

/// Guards against more adapter loads in flight than the fleet carries at full speed, and against
/// several loads of one adapter.
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

// -------------------------------------------------------------------------------------------------
// Evictions

/// Guards against an unload under a running request: the dispatcher must have applied the draining
/// list, and nothing may be in flight.
#[gtest]
fn eviction_waits_for_the_dispatcher() {
    let mut planner = planner(fast_settings(), &[10 * GB], 2);
    load(&mut planner, "m0", at(0));
    planner.apply_demand(demand("m1", 0, vec![waiting(1)]), at(5000));
    expect_that!(planner.plan(at(5000)), is_empty());
    let before = 1 << 24;
    let (version, replicas) = list(planner.apply_demand(demand("m0", before, vec![]), at(5010)));
    expect_that!(replicas[0].phase, eq(ReplicaPhase::Draining));
    settle(&mut planner, at(5010));
    expect_that!(planner.plan(at(5010)), is_empty());
    let mut busy = demand("m0", version, vec![]);
    busy.in_flight = vec![in_flight("s0", 1)];
    planner.apply_demand(busy, at(5020));
    expect_that!(planner.plan(at(5020)), is_empty());
    planner.apply_demand(demand("m0", version, vec![]), at(5030));
    let unloads = planner.plan(at(5030));
    expect_that!(
        models(&unloads, OrderAction::UnloadModel),
        elements_are![eq("m0")]
    );
    expect_that!(planner.plan(at(5040)), is_empty());
    planner.confirm(unloads[0].order_id, OrderResult::Done, at(5050));
    expect_that!(
        models(&planner.plan(at(5050)), OrderAction::LoadModel),
        elements_are![eq("m1")]
    );
}

/// Guards against an unload under the requests of a dispatcher that applied the list, granted
/// tickets and died before it reported again: its successor reports nothing in flight.
#[gtest]
fn eviction_waits_for_requests_of_a_dead_dispatcher() {
    let mut planner = planner(fast_settings(), &[10 * GB], 2);
    load(&mut planner, "m0", at(0));
    planner.apply_demand(demand("m0", 0, vec![]), at(100));
    let mut seen = observation("s0", 10 * GB, at(200));
    let mut loaded = LoadedModel {
        running: 1,
        ..LoadedModel::default()
    };
    seen.loaded.insert("m0".into(), loaded.clone());
    planner.observe_server(seen.clone(), at(200));
    let mut cold = waiting(1);
    cold.waited = Duration::from_secs(3);
    planner.apply_demand(demand("m1", 0, vec![cold]), at(70_000));
    planner.plan(at(70_000));
    let drained = planner.replicas().next().map(|replica| replica.stage);
    expect_that!(drained, some(eq(LifecycleStage::Draining)));
    let (version, _) = list(planner.apply_demand(demand("m0", 0, vec![]), at(70_010)));
    planner.apply_demand(demand("m0", version, vec![]), at(70_020));
    expect_that!(planner.plan(at(70_020)), is_empty());
    loaded.running = 0;
    seen.loaded.insert("m0".into(), loaded);
    seen.asked_at = at(70_030);
    planner.observe_server(seen, at(70_030));
    let (version, _) = list(planner.apply_demand(demand("m0", version, vec![]), at(70_040)));
    planner.apply_demand(demand("m0", version, vec![]), at(70_050));
    let unloads = models(&planner.plan(at(70_050)), OrderAction::UnloadModel);
    expect_that!(unloads, elements_are![eq("m0")]);
}

/// Guards against the eviction of a replica that is dearer to reload: with equal recency the one
/// with the near checkpoint gives way.
#[gtest]
fn eviction_takes_the_cheapest_to_reload() {
    let mut planner = planner(fast_settings(), &[20 * GB], 3);
    load(&mut planner, "m0", at(0));
    load(&mut planner, "m1", at(10));
    let mut server = observation("s0", 20 * GB, at(20));
    server.cached = [("m1".into(), CacheLevel::Memory)].into();
    for model in ["m0", "m1"] {
        let loaded = LoadedModel {
            bytes: 10 * GB,
            ..LoadedModel::default()
        };
        server.loaded.insert(model.into(), loaded);
    }
    planner.observe_server(server, at(20));
    planner.apply_demand(demand("m2", 0, vec![waiting(1)]), at(5000));
    planner.plan(at(5000));
    let draining = planner
        .replicas()
        .filter(|replica| replica.stage == LifecycleStage::Draining);
    let drained: Vec<_> = draining.map(|replica| replica.model.to_string()).collect();
    expect_that!(drained, elements_are![eq("m1")]);
}

/// Guards against a cold model that starves because every replica always has requests in flight.
#[gtest]
fn busy_replica_is_drained_for_a_long_waiting_request() {
    let mut planner = planner(fast_settings(), &[10 * GB], 2);
    load(&mut planner, "m0", at(0));
    report(&mut planner, "m0", 1, at(20_000));
    let mut cold = waiting(1);
    planner.apply_demand(demand("m1", 0, vec![cold.clone()]), at(20_000));
    planner.plan(at(20_000));
    let stage = |planner: &PoolPlanner| planner.replicas().next().map(|r| r.stage);
    expect_that!(stage(&planner), some(eq(LifecycleStage::Ready)));
    cold.waited = Duration::from_secs(3);
    planner.apply_demand(demand("m1", 0, vec![cold]), at(23_000));
    expect_that!(planner.plan(at(23_000)), is_empty());
    expect_that!(stage(&planner), some(eq(LifecycleStage::Draining)));
}

struct KeepAliveCase {
    name: &'static str,
    rule: KeepAliveRule,
    gap_s: u64,
    at_least_s: u64,
    at_most_s: u64,
}

/// Guards against a keep-alive that ignores the model's history: gaps that are worth bridging are
/// bridged, others are not.
#[gtest]
fn keep_alive_follows_the_history() {
    let fixed = KeepAliveRule::Fixed(Duration::from_secs(77));
    let cases = [
        KeepAliveCase {
            name: "short gaps",
            rule: KeepAliveRule::History,
            gap_s: 30,
            at_least_s: 30,
            at_most_s: 60,
        },
        KeepAliveCase {
            name: "long gaps",
            rule: KeepAliveRule::History,
            gap_s: 3000,
            at_least_s: 0,
            at_most_s: 2,
        },
        KeepAliveCase {
            name: "baseline",
            rule: fixed,
            gap_s: 30,
            at_least_s: 77,
            at_most_s: 77,
        },
    ];
    for case in cases {
        let settings = PoolSettings {
            keep_alive: case.rule,
            ..fast_settings()
        };
        let mut planner = planner(settings, &[10 * GB], 1);
        for step in 0..10 {
            planner.apply_demand(
                demand("m0", 0, vec![waiting(1)]),
                at(step * case.gap_s * 1000),
            );
        }
        let seconds = planner.keep_alive("m0").as_secs();
        expect_that!(
            seconds,
            all![ge(case.at_least_s), le(case.at_most_s)],
            "{}",
            case.name
        );
    }
}

/// Guards against an idle replica that is never unloaded, and against one that is unloaded although
/// a request has come during the drain.
#[gtest]
fn expired_replica_is_drained_unless_a_request_comes() {
    for returns in [false, true] {
        let mut planner = planner(fast_settings(), &[10 * GB], 1);
        load(&mut planner, "m0", at(0));
        expect_that!(planner.plan(at(59_000)), is_empty());
        planner.plan(at(60_000));
        let drained = planner.replicas().next().map(|replica| replica.stage);
        expect_that!(drained, some(eq(LifecycleStage::Draining)));
        if returns {
            planner.apply_demand(demand("m0", 1 << 24, vec![waiting(1)]), at(60_010));
            planner.plan(at(60_010));
        }
        report(&mut planner, "m0", 0, at(60_020));
        let unloads = planner.plan(at(60_020)).len();
        expect_that!(unloads, eq(usize::from(!returns)));
    }
}

// -------------------------------------------------------------------------------------------------
// Servers, takeover and handover

fn reservation(action: OrderAction) -> MemoryReservation {
    MemoryReservation {
        order_id: OrderId(7),
        action,
        server: "s0".into(),
        boot_id: 1,
        model: "m0".into(),
        adapter: None,
        bytes: 10 * GB,
    }
}

/// Guards against memory of a predecessor's order being given out again while that order may still
/// arrive; a restart or the reported result frees it.
#[gtest]
fn unconfirmed_order_of_a_predecessor_keeps_its_memory() {
    let mut planner = planner(fast_settings(), &[], 2);
    planner.recover(vec![reservation(OrderAction::LoadModel)], at(0));
    planner.observe_server(observation("s0", 10 * GB, at(0)), at(0));
    planner.apply_demand(demand("m1", 0, vec![waiting(1)]), at(0));
    expect_that!(
        models(&planner.plan(at(2000)), OrderAction::LoadModel),
        is_empty()
    );
    let mut restarted = observation("s0", 10 * GB, at(3000));
    restarted.boot_id = 2;
    planner.observe_server(restarted, at(3000));
    expect_that!(
        models(&planner.plan(at(3000)), OrderAction::LoadModel),
        elements_are![eq("m1")]
    );
}

/// Guards against a lost answer blocking a replica for ever: an observation settles the order, but
/// one that was asked for earlier does not.
#[gtest]
fn observation_settles_a_lost_answer() {
    let mut planner = planner(fast_settings(), &[10 * GB], 1);
    planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
    planner.plan(at(0));
    planner.observe_server(observation("s0", 10 * GB, at(100)), at(100));
    expect_that!(planner.open_orders(), eq(1));
    let mut seen = observation("s0", 10 * GB, at(200));
    seen.loaded.insert("m0".into(), LoadedModel::default());
    planner.observe_server(seen, at(300));
    expect_that!(planner.open_orders(), eq(0));
    planner.observe_server(observation("s0", 10 * GB, at(250)), at(400));
    expect_that!(planner.replicas().count(), eq(1));
    planner.observe_server(observation("s0", 10 * GB, at(500)), at(500));
    expect_that!(planner.replicas().count(), eq(0));
}

/// Guards against an order whose answer is lost never being given again, and against a new id for
/// it, which the server could take for another order.
#[gtest]
fn order_without_a_result_is_repeated_with_its_id() {
    let mut planner = planner(fast_settings(), &[10 * GB], 1);
    planner.apply_demand(demand("m0", 0, vec![waiting(1)]), at(0));
    let first = planner.plan(at(0)).remove(0);
    expect_that!(planner.plan(at(29_000)), is_empty());
    let repeated = planner.plan(at(30_000)).remove(0);
    expect_that!(repeated.order_id, eq(first.order_id));
    expect_that!(repeated.repeated, eq(true));
    expect_that!(planner.reservations("s0").len(), eq(1));
}

/// Guards against new work on a leaving server.
#[gtest]
fn leaving_server_is_drained_and_gets_no_load() {
    let mut planner = planner(fast_settings(), &[40 * GB], 2);
    load(&mut planner, "m0", at(0));
    let mut leaving = observation("s0", 40 * GB, at(100));
    leaving.leaving = true;
    let loaded = LoadedModel {
        bytes: 10 * GB,
        ..LoadedModel::default()
    };
    leaving.loaded.insert("m0".into(), loaded);
    planner.observe_server(leaving, at(100));
    let (_, replicas) = list(planner.apply_demand(demand("m0", 1 << 24, vec![]), at(100)));
    expect_that!(replicas[0].phase, eq(ReplicaPhase::Draining));
    planner.apply_demand(demand("m1", 0, vec![waiting(1)]), at(100));
    expect_that!(planner.plan(at(100)), is_empty());
    planner.server_gone("s0");
    expect_that!(planner.replicas().count(), eq(0));
}

/// Guards against loads and empty replica lists after a takeover, before the servers were asked
/// what they have.
#[gtest]
fn recovery_holds_lists_and_loads_back() {
    let mut planner = PoolPlanner::new(SERVICE.into(), fast_settings(), 2, 1);
    planner.set_catalog(catalog(1));
    planner.set_recovery(at(5000));
    planner.observe_server(observation("s0", 40 * GB, at(0)), at(0));
    let (version, _) = list(planner.apply_demand(demand("m0", 9, vec![waiting(1)]), at(0)));
    expect_that!(version, eq(0));
    expect_that!(planner.plan(at(0)), is_empty());
    let mut other = observation("s1", 40 * GB, at(10));
    other.loaded.insert("m0".into(), LoadedModel::default());
    planner.observe_server(other, at(10));
    planner.finish_recovery();
    let (version, replicas) = list(planner.apply_demand(demand("m0", 9, vec![waiting(1)]), at(20)));
    expect_that!(version, gt(2 << 24));
    expect_that!(replicas.len(), eq(1));
    expect_that!(planner.plan(at(20)), is_empty());
}

/// Guards against a planned handover that loses replicas, open orders or the permit rate, or that
/// lowers the list version.
#[gtest]
fn handover_keeps_replicas_and_orders() {
    let mut old = planner(PoolSettings::default(), &[40 * GB], 3);
    load(&mut old, "m0", at(1000));
    let version = report(&mut old, "m0", 0, at(1000));
    old.apply_demand(demand("m1", 0, vec![waiting(1)]), at(2000));
    let open = old.plan(at(2000)).remove(0);
    old.apply_demand(demand("m2", 0, vec![waiting(1)]), at(2000));
    let encoded = rmp_serde::to_vec_named(&old.export_state(at(2100))).unwrap();
    let state: PoolState = rmp_serde::from_slice(&encoded).unwrap();
    let settings = PoolSettings::default();
    let mut new = PoolPlanner::from_state(SERVICE.into(), settings, 2, 1, state, at(50));
    new.set_catalog(catalog(3));
    expect_that!(new.replicas().count(), eq(2));
    expect_that!(new.plan(at(50)), is_empty());
    expect_that!(
        new.confirm(open.order_id, OrderResult::Done, at(60)),
        eq(true)
    );
    let (newer, replicas) = list(new.apply_demand(demand("m1", 0, vec![]), at(60)));
    expect_that!(newer, gt(version));
    expect_that!(replicas.len(), eq(1));
    let next = new.plan(at(700));
    expect_that!(
        models(&next, OrderAction::LoadModel),
        elements_are![eq("m2")]
    );
    expect_that!(next[0].order_id, gt(open.order_id));
}
