//! Unit tests of the dispatcher's queue order and replica selection.

mod common;

use std::collections::BTreeMap;

use common::at;
use common::dispatcher;
use common::granted;
use common::granted_ids;
use common::ready_dispatcher;
use common::refusals;
use common::release;
use common::replica;
use common::request;
use googletest::prelude::*;
use zinniahinge_scheduling::DispatcherSettings;
use zinniahinge_scheduling::EnqueueOutcome;
use zinniahinge_scheduling::QueueOrder;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReplicaPhase;
use zinniahinge_types::RequestId;

/// Guards against an account getting more than its share by sending more requests: tokens are
/// shared by weight, regardless of the number of requests.
#[gtest]
fn accounts_share_tokens_by_weight() {
    struct ShareCase {
        weight: u32,
        tokens: u64,
        expected: u32,
    }
    let cases = [
        ShareCase {
            weight: 1,
            tokens: 100,
            expected: 20,
        },
        ShareCase {
            weight: 3,
            tokens: 100,
            expected: 30,
        },
        ShareCase {
            weight: 1,
            tokens: 300,
            expected: 10,
        },
    ];
    for case in cases {
        let mut dispatcher = ready_dispatcher(1);
        dispatcher.set_weights(BTreeMap::from([("b".into(), case.weight)]));
        for id in 0..100 {
            dispatcher.enqueue(request(id, "a", 1_000_000), at(0));
            let mut other = request(1000 + id, "b", 1_000_000);
            other.tokens = case.tokens;
            dispatcher.enqueue(other, at(0));
        }
        let mut served = 0;
        for step in 0..40 {
            let grants = granted(&dispatcher.poll(at(step)));
            assert_that!(grants.len(), eq(1));
            served += u32::from(grants[0].0 >= 1000);
            let mut ended = release(&grants[0].1, ReleaseOutcome::Finished);
            ended.tokens = u64::MAX;
            dispatcher.release(&ended, at(step));
        }
        expect_that!(served, all![ge(case.expected - 1), le(case.expected + 1)]);
    }
}

/// Guards against starvation of a lower class, and against aged batch work delaying urgent work.
#[gtest]
fn aged_requests_get_a_share_of_the_grants() {
    let mut dispatcher = ready_dispatcher(1);
    for id in 0..100 {
        let mut batch = request(id, "a", 1_000_000);
        batch.class = PriorityClass::Batch;
        dispatcher.enqueue(batch, at(0));
        let mut urgent = request(1000 + id, "a", 1_000_000);
        urgent.class = PriorityClass::Urgent;
        dispatcher.enqueue(urgent, at(0));
    }
    let mut serve = |now: u64| {
        let mut batch = 0;
        for _ in 0..16 {
            let grants = granted(&dispatcher.poll(at(now)));
            batch += u32::from(grants[0].0 < 1000);
            dispatcher.release(&release(&grants[0].1, ReleaseOutcome::Finished), at(now));
        }
        batch
    };
    expect_that!(serve(0), eq(0));
    expect_that!(serve(20_000), eq(2));
}

/// Guards against one account's burst filling every slot, so that another waits for a whole run.
#[gtest]
fn reserve_keeps_slots_for_other_accounts() {
    let mut dispatcher = ready_dispatcher(10);
    dispatcher.enqueue(request(1000, "quiet", 1_000_000), at(0));
    let grants = granted(&dispatcher.poll(at(0)));
    dispatcher.release(&release(&grants[0].1, ReleaseOutcome::Finished), at(1));
    for id in 0..50 {
        dispatcher.enqueue(request(id, "flood", 1_000_000), at(1));
    }
    expect_that!(granted_ids(&dispatcher.poll(at(1))).len(), eq(8));
    dispatcher.enqueue(request(1001, "quiet", 1_000_000), at(2));
    let quiet = granted(&dispatcher.poll(at(2)));
    expect_that!(quiet.len(), eq(1));
    expect_that!(quiet[0].0, eq(1001));
    dispatcher.release(&release(&quiet[0].1, ReleaseOutcome::Finished), at(3));
    expect_that!(granted_ids(&dispatcher.poll(at(3))), is_empty());
    // The reserve opens once the other account is no longer active.
    let wakeup = dispatcher.next_wakeup(at(3)).unwrap();
    expect_that!(wakeup, le(at(30_002)));
    expect_that!(granted_ids(&dispatcher.poll(at(30_002))).len(), eq(2));
}

/// Guards against a full queue in which one account leaves no room for others, and against batch
/// requests being displaced.
#[gtest]
fn full_queue_displaces_the_longest_account_only() {
    let settings = DispatcherSettings {
        queue_limit: 4,
        batch_limit: 4,
        ..DispatcherSettings::default()
    };
    let mut dispatcher = dispatcher(settings);
    for id in 0..4 {
        dispatcher.enqueue(request(id, "flood", 5000), at(0));
    }
    let own = dispatcher.enqueue(request(4, "flood", 5000), at(0));
    expect_that!(matches!(own, EnqueueOutcome::Refused { .. }), eq(true));
    let other = dispatcher.enqueue(request(5, "quiet", 5000), at(0));
    expect_that!(other, eq(&EnqueueOutcome::Queued));
    let displaced = dispatcher.poll(at(0));
    expect_that!(
        refusals(&displaced),
        elements_are![eq(&(3, RefusalReason::QueueFull))]
    );
    let mut outcomes = Vec::new();
    for id in 10..16 {
        let mut batch = request(id, if id < 14 { "flood" } else { "quiet" }, 5000);
        batch.class = PriorityClass::Batch;
        outcomes.push(dispatcher.enqueue(batch, at(0)) == EnqueueOutcome::Queued);
    }
    expect_that!(
        outcomes,
        elements_are![
            eq(&true),
            eq(&true),
            eq(&false),
            eq(&false),
            eq(&true),
            eq(&true)
        ]
    );
    expect_that!(dispatcher.poll(at(0)), is_empty());
}

/// Guards against a wrong baseline: first in first out must ignore class and account.
#[gtest]
fn first_in_first_out_ignores_class_and_account() {
    let settings = DispatcherSettings {
        queue_order: QueueOrder::FirstInFirstOut,
        ..DispatcherSettings::default()
    };
    let mut dispatcher = dispatcher(settings);
    let classes = [
        PriorityClass::Batch,
        PriorityClass::Normal,
        PriorityClass::Urgent,
    ];
    for (id, class) in classes.into_iter().enumerate() {
        let mut queued = request(id as u128, "a", 5000);
        queued.class = class;
        dispatcher.enqueue(queued, at(0));
    }
    dispatcher.apply_replicas(1, vec![replica("s0", 2)]);
    expect_that!(
        granted_ids(&dispatcher.poll(at(0))),
        elements_are![eq(&0), eq(&1)]
    );
}

// -------------------------------------------------------------------------------------------------
// Replicas

/// Guards against an outdated list restoring a replica that is being unloaded.
#[gtest]
fn older_replica_list_is_ignored() {
    let mut dispatcher = ready_dispatcher(4);
    let mut draining = replica("s0", 4);
    draining.phase = ReplicaPhase::Draining;
    expect_that!(dispatcher.apply_replicas(3, vec![draining]), eq(true));
    for stale in [0, 2, 3] {
        expect_that!(
            dispatcher.apply_replicas(stale, vec![replica("s0", 4)]),
            eq(false)
        );
    }
    dispatcher.enqueue(request(1, "a", 1000), at(0));
    expect_that!(dispatcher.poll(at(0)), is_empty());
}

/// Guards against a request for an adapter running on the base model alone, and against such a
/// request blocking others behind it.
#[gtest]
fn request_waits_for_its_adapter_and_blocks_nobody() {
    let mut dispatcher = ready_dispatcher(4);
    let mut adapted = request(1, "a", 5000);
    adapted.adapter = Some("a0".into());
    dispatcher.enqueue(adapted, at(0));
    dispatcher.enqueue(request(2, "a", 5000), at(0));
    expect_that!(granted_ids(&dispatcher.poll(at(0))), elements_are![eq(&2)]);
    let report = dispatcher.demand(at(100));
    expect_that!(report.waiting.len(), eq(1));
    expect_that!(report.waiting[0].adapter, eq(&Some("a0".into())));
    expect_that!(dispatcher.waits_for_load(), eq(true));
    let mut loaded = replica("s0", 4);
    loaded.adapters = vec!["a0".into()];
    dispatcher.apply_replicas(2, vec![loaded]);
    let grants = granted(&dispatcher.poll(at(100)));
    expect_that!(grants[0].1.cold, eq(true));
}

/// Guards against a failing replica that keeps getting requests, and against one that stays
/// ejected: after the ejection time it gets one request, and a success ends the ejection.
#[gtest]
fn failing_replica_is_ejected_and_tried_again() {
    let mut dispatcher = ready_dispatcher(4);
    for id in 0..3 {
        dispatcher.enqueue(request(id, "a", 60_000), at(0));
        let ticket = granted(&dispatcher.poll(at(0)))[0].1.clone();
        dispatcher.release(&release(&ticket, ReleaseOutcome::ConnectFailed), at(0));
    }
    dispatcher.enqueue(request(10, "a", 60_000), at(0));
    dispatcher.enqueue(request(11, "a", 60_000), at(0));
    expect_that!(dispatcher.poll(at(1999)), is_empty());
    expect_that!(dispatcher.next_wakeup(at(1999)), some(eq(at(2000))));
    let probe = granted(&dispatcher.poll(at(2000)));
    expect_that!(probe.len(), eq(1));
    dispatcher.release(&release(&probe[0].1, ReleaseOutcome::Finished), at(2100));
    expect_that!(
        granted_ids(&dispatcher.poll(at(2100))),
        elements_are![eq(&11)]
    );
}

struct ChoiceCase {
    name: &'static str,
    near_load: u32,
    prefix_on_far: bool,
    expected: &'static str,
}

/// Guards against requests that leave their data centre without need, stay there despite a busy
/// replica, or miss a cached prefix.
#[gtest]
fn replica_is_chosen_by_place_load_and_prefix() {
    let cases = [
        ChoiceCase {
            name: "near",
            near_load: 0,
            prefix_on_far: false,
            expected: "near",
        },
        ChoiceCase {
            name: "near is busy",
            near_load: 5,
            prefix_on_far: false,
            expected: "far",
        },
        ChoiceCase {
            name: "prefix",
            near_load: 0,
            prefix_on_far: true,
            expected: "far",
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(DispatcherSettings::default());
        let mut far = replica("far", 10);
        far.place = "place-2".into();
        let mut version = 1;
        dispatcher.apply_replicas(version, vec![far.clone()]);
        if case.prefix_on_far {
            dispatcher.enqueue(request(7, "a", 60_000), at(0));
            let ticket = granted(&dispatcher.poll(at(0)))[0].1.clone();
            dispatcher.release(&release(&ticket, ReleaseOutcome::Finished), at(0));
        }
        version += 1;
        dispatcher.apply_replicas(version, vec![replica("near", 10)]);
        for id in 0..case.near_load {
            dispatcher.enqueue(request(100 + u128::from(id), "a", 60_000), at(0));
        }
        dispatcher.poll(at(0));
        version += 1;
        dispatcher.apply_replicas(version, vec![far, replica("near", 10)]);
        dispatcher.enqueue(request(7, "a", 60_000), at(0));
        let grants = granted(&dispatcher.poll(at(0)));
        expect_that!(&*grants[0].1.server, eq(case.expected), "{}", case.name);
    }
}

/// Guards against overload after a takeover without state, when the predecessor's tickets are
/// unknown and only the servers' load reports show its requests.
#[gtest]
fn load_reports_count_during_recovery() {
    let mut dispatcher = dispatcher(DispatcherSettings::default());
    dispatcher.begin_recovery(at(10_000));
    let mut busy = replica("s0", 2);
    busy.reported_load = 2;
    dispatcher.apply_replicas(1, vec![busy]);
    dispatcher.enqueue(request(1, "a", 60_000), at(0));
    expect_that!(dispatcher.poll(at(0)), is_empty());
    expect_that!(dispatcher.next_wakeup(at(0)), some(eq(at(10_000))));
    expect_that!(
        granted_ids(&dispatcher.poll(at(10_000))),
        elements_are![eq(&1)]
    );
    expect_that!(dispatcher.cancel(RequestId(1)), eq(false));
}
