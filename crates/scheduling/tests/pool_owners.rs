//! Unit tests of the pool planner's server changes, takeover and handover.

mod common;

use common::GB;
use common::SERVICE;
use common::at;
use common::catalog;
use common::demand;
use common::fast_settings;
use common::list;
use common::load;
use common::models;
use common::observation;
use common::planner;
use common::report;
use common::waiting;
use googletest::prelude::*;
use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::MemoryReservation;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderId;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_scheduling::PoolState;
use zinniahinge_types::ReplicaPhase;

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

/// Guards against reusing the memory of a predecessor's order while that order may still arrive; a
/// restart or the reported result frees it.
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

/// Guards against a lost answer blocking a replica forever: an observation confirms the order, but
/// one that was requested before the order does not.
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

/// Guards against never sending an order again whose answer is lost, and against a new id for it,
/// which the server could take for another order.
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

/// Guards against new loads and requests on a leaving server.
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
    planner.remove_server("s0");
    expect_that!(planner.replicas().count(), eq(0));
}

/// Guards against loads and empty replica lists after a takeover, before the servers have been
/// observed.
#[gtest]
fn recovery_holds_lists_and_loads_back() {
    let mut planner = PoolPlanner::new(SERVICE.into(), fast_settings(), 2, 1);
    planner.set_catalog(catalog(1));
    planner.begin_recovery(at(5000));
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

/// Guards against a planned handover that loses replicas, open orders or the load rate limit, or
/// that lowers the list version.
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
