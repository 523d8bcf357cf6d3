//! Unit tests of the pool planner's evictions and keep-alive.

mod common;

use std::time::Duration;

use common::GB;
use common::at;
use common::catalog;
use common::demand;
use common::fast_settings;
use common::in_flight;
use common::list;
use common::load;
use common::models;
use common::observation;
use common::observe_idle_servers;
use common::planner;
use common::report;
use common::waiting;
use googletest::prelude::*;
use zinniahinge_scheduling::CacheLevel;
use zinniahinge_scheduling::KeepAliveRule;
use zinniahinge_scheduling::LifecycleStage;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_types::ReplicaPhase;

/// Guards against unloading under a running request: the dispatcher must have applied the draining
/// list and have nothing in flight.
#[gtest]
fn eviction_waits_for_the_dispatcher() {
    let mut planner = planner(fast_settings(), &[10 * GB], 2);
    load(&mut planner, "m0", at(0));
    planner.apply_demand(demand("m1", 0, vec![waiting(1)]), at(5000));
    expect_that!(planner.plan(at(5000)), is_empty());
    let before = 1 << 24;
    let (version, replicas) = list(planner.apply_demand(demand("m0", before, vec![]), at(5010)));
    expect_that!(replicas[0].phase, eq(ReplicaPhase::Draining));
    observe_idle_servers(&mut planner, at(5010));
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

/// Guards against unloading under the requests of a dispatcher that applied the list, granted
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

/// Guards against evicting a replica that costs more to reload: with equal last use, the one with
/// the nearer checkpoint is evicted.
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

/// Guards against starvation of an unloaded model when every replica always has requests in flight.
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

/// Guards against adapters that fill a server forever, against unloading an adapter under running
/// requests, and against requests that wait for an adapter whose drain does not end.
#[gtest]
fn unused_adapter_makes_room_unless_it_is_wanted_again() {
    for wanted_again in [false, true] {
        let mut planner = planner(fast_settings(), &[11 * GB], 2);
        let mut catalog = catalog(1);
        let spec = catalog.adapters["a0"].clone();
        catalog.adapters.insert("b0".into(), spec);
        planner.set_catalog(catalog);
        load(&mut planner, "m0", at(0));
        let mut want = |adapter: &str, running: u32, now: u64| {
            let mut wish = waiting(1);
            wish.adapter = Some(adapter.into());
            let mut report = demand("m0", u64::MAX >> 1, vec![wish]);
            report.in_flight = vec![in_flight("s0", running)];
            let (_, replicas) = list(planner.apply_demand(report, at(now)));
            let orders = planner.plan(at(now));
            for order in &orders {
                if order.action == OrderAction::LoadAdapter {
                    planner.confirm(order.order_id, OrderResult::Done, at(now));
                }
            }
            (orders, replicas[0].adapters.len())
        };
        expect_that!(want("a0", 0, 10).0.len(), eq(1));
        expect_that!(want("b0", 1, 10_000).0, is_empty());
        let wanted = if wanted_again { "a0" } else { "b0" };
        let (orders, adapters) = want(wanted, 1, 10_010);
        expect_that!(adapters, eq(0));
        expect_that!(orders, is_empty());
        let (orders, adapters) = want(wanted, 0, 10_020);
        expect_that!(adapters, eq(usize::from(wanted_again)));
        let unloaded = models(&orders, OrderAction::UnloadAdapter).len();
        expect_that!(unloaded, eq(usize::from(!wanted_again)));
    }
}

struct KeepAliveCase {
    name: &'static str,
    rule: KeepAliveRule,
    gap_s: u64,
    at_least_s: u64,
    at_most_s: u64,
}

/// Guards against a keep-alive that ignores the model's history: a replica stays loaded over a
/// typical idle gap only if that costs less than a cold start.
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

/// Guards against an idle replica that is never unloaded, and against unloading one although a
/// request arrived during the drain.
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
