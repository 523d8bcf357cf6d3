//! Unit tests of the dispatcher's deadlines and tickets.

mod common;

use std::time::Duration;

use common::at;
use common::dispatcher;
use common::granted;
use common::granted_ids;
use common::identity;
use common::ready_dispatcher;
use common::refusals;
use common::release;
use common::replica;
use common::request;
use googletest::prelude::*;
use zinniahinge_scheduling::DispatcherSettings;
use zinniahinge_scheduling::DispatcherState;
use zinniahinge_scheduling::EnqueueOutcome;
use zinniahinge_scheduling::ModelDispatcher;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::ReleaseOutcome;

/// Runs one request of `hold_ms` with its first token after `first_token_ms`, as a sample for the
/// estimates.
fn train(dispatcher: &mut ModelDispatcher, id: u128, hold_ms: u64, first_token_ms: u64) {
    dispatcher.enqueue(request(id, "trainer", 1_000_000), at(0));
    let grants = granted(&dispatcher.poll(at(0)));
    let mut ended = release(&grants[0].1, ReleaseOutcome::Finished);
    ended.first_token = Some(Duration::from_millis(first_token_ms));
    dispatcher.release(&ended, at(hold_ms));
}

/// Guards against requests that wait forever: each must be refused at its deadline, and
/// `next_wakeup` must return that time.
#[gtest]
fn waiting_request_is_refused_at_its_deadline() {
    for class in [
        PriorityClass::Urgent,
        PriorityClass::Normal,
        PriorityClass::Batch,
    ] {
        let mut dispatcher = dispatcher(DispatcherSettings::default());
        let mut waiting = request(1, "a", 500);
        waiting.class = class;
        dispatcher.enqueue(waiting, at(100));
        expect_that!(dispatcher.poll(at(599)), is_empty());
        expect_that!(dispatcher.next_wakeup(at(599)), some(eq(at(600))));
        let decisions = dispatcher.poll(at(600));
        expect_that!(
            refusals(&decisions),
            elements_are![eq(&(1, RefusalReason::DeadlinePassed))]
        );
    }
}

struct ArrivalCase {
    name: &'static str,
    class: PriorityClass,
    deadline_ms: u64,
    queued: bool,
}

/// Guards against queueing requests whose deadline cannot be met, and against refusing batch
/// requests early.
#[gtest]
fn unreachable_deadline_is_refused_on_arrival() {
    let cases = [
        ArrivalCase {
            name: "six requests of a second are ahead of one with half a second",
            class: PriorityClass::Normal,
            deadline_ms: 500,
            queued: false,
        },
        ArrivalCase {
            name: "time enough",
            class: PriorityClass::Normal,
            deadline_ms: 20_000,
            queued: true,
        },
        ArrivalCase {
            name: "urgent requests do not wait for normal ones",
            class: PriorityClass::Urgent,
            deadline_ms: 1_500,
            queued: true,
        },
        ArrivalCase {
            name: "batch waits until its own deadline",
            class: PriorityClass::Batch,
            deadline_ms: 500,
            queued: true,
        },
    ];
    for case in cases {
        let mut dispatcher = ready_dispatcher(1);
        train(&mut dispatcher, 100, 1000, 50);
        for id in 0..6 {
            dispatcher.enqueue(request(id, "a", 1_000_000), at(1000));
            let mut batch = request(10 + id, "a", 1_000_000);
            batch.class = PriorityClass::Batch;
            dispatcher.enqueue(batch, at(1000));
        }
        dispatcher.poll(at(1000));
        let mut arriving = request(50, "a", case.deadline_ms);
        arriving.class = case.class;
        let outcome = dispatcher.enqueue(arriving, at(1000));
        let queued = outcome == EnqueueOutcome::Queued;
        expect_that!(queued, eq(case.queued), "{}", case.name);
    }
}

/// Guards against a grant that comes too late for the first token.
#[gtest]
fn deadline_is_checked_again_before_dispatch() {
    let mut dispatcher = ready_dispatcher(2);
    train(&mut dispatcher, 100, 400, 400);
    dispatcher.enqueue(request(1, "a", 10_000), at(1000));
    dispatcher.enqueue(request(2, "b", 10_000), at(1000));
    let running = granted(&dispatcher.poll(at(1000)));
    assert_that!(running.len(), eq(2));
    dispatcher.enqueue(request(3, "a", 1000), at(1000));
    dispatcher.release(&release(&running[0].1, ReleaseOutcome::Cancelled), at(1700));
    let decisions = dispatcher.poll(at(1700));
    expect_that!(
        refusals(&decisions),
        elements_are![eq(&(3, RefusalReason::DeadlineUnreachable))]
    );
}

/// Guards against a model that refuses every request forever after one slow sample.
#[gtest]
fn idle_model_serves_in_spite_of_a_slow_sample() {
    let mut dispatcher = ready_dispatcher(1);
    train(&mut dispatcher, 100, 60_000, 60_000);
    dispatcher.enqueue(request(1, "a", 1000), at(60_000));
    expect_that!(
        granted_ids(&dispatcher.poll(at(60_000))),
        elements_are![eq(&1)]
    );
}

/// Guards against a model that is never loaded because every caller's deadline is shorter than its
/// load time: the refused request must still be reported as demand.
#[gtest]
fn refused_cold_request_counts_as_demand() {
    let mut dispatcher = dispatcher(DispatcherSettings::default());
    dispatcher.set_load_estimate(Some(Duration::from_secs(10)));
    let outcome = dispatcher.enqueue(request(1, "a", 2000), at(0));
    let reason = match outcome {
        EnqueueOutcome::Refused { reason, .. } => Some(reason),
        _ => None,
    };
    expect_that!(reason, some(eq(RefusalReason::DeadlineUnreachable)));
    let report = dispatcher.demand(at(0));
    expect_that!(report.waiting.len(), eq(1));
    dispatcher.poll(at(10_000));
    expect_that!(dispatcher.demand(at(10_000)).waiting, is_empty());
}

// -------------------------------------------------------------------------------------------------
// Tickets

/// Guards against running a request twice when its dispatch message is repeated.
#[gtest]
fn repeated_request_gets_the_same_ticket() {
    let mut dispatcher = ready_dispatcher(4);
    expect_that!(
        dispatcher.enqueue(request(1, "a", 1000), at(0)),
        eq(&EnqueueOutcome::Queued)
    );
    expect_that!(
        dispatcher.enqueue(request(1, "a", 1000), at(0)),
        eq(&EnqueueOutcome::AlreadyQueued)
    );
    let grants = granted(&dispatcher.poll(at(0)));
    let repeated = dispatcher.enqueue(request(1, "a", 1000), at(10));
    expect_that!(repeated, eq(&EnqueueOutcome::Granted(grants[0].1.clone())));
    expect_that!(dispatcher.in_flight(), eq(1));
}

/// Guards against sending a retry back to the server that failed it, and against losing the slot of
/// the first attempt.
#[gtest]
fn retry_that_excludes_the_server_gives_up_the_ticket() {
    let mut dispatcher = ready_dispatcher(4);
    dispatcher.apply_replicas(2, vec![replica("s0", 4), replica("s1", 4)]);
    dispatcher.enqueue(request(1, "a", 1000), at(0));
    let first = granted(&dispatcher.poll(at(0)))[0].1.clone();
    let mut retry = request(1, "a", 900);
    retry.excluded = vec![first.server.clone()];
    expect_that!(
        dispatcher.enqueue(retry, at(100)),
        eq(&EnqueueOutcome::Queued)
    );
    let second = granted(&dispatcher.poll(at(100)))[0].1.clone();
    expect_that!(second.server, not(eq(&first.server)));
    expect_that!(dispatcher.in_flight(), eq(1));
    let late = release(&first, ReleaseOutcome::ServerFailed);
    expect_that!(dispatcher.release(&late, at(110)), eq(false));
}

/// Guards against slots that stay occupied after the host that held their tickets died.
#[gtest]
fn ticket_ends_at_the_deadline_or_with_its_host() {
    let mut dispatcher = ready_dispatcher(1);
    dispatcher.enqueue(request(1, "a", 1000), at(0));
    dispatcher.enqueue(request(2, "a", 5000), at(0));
    expect_that!(granted_ids(&dispatcher.poll(at(0))), elements_are![eq(&1)]);
    expect_that!(dispatcher.poll(at(999)), is_empty());
    expect_that!(
        granted_ids(&dispatcher.poll(at(1000))),
        elements_are![eq(&2)]
    );
    let mut other = request(3, "a", 5000);
    other.host = "host-2".into();
    dispatcher.enqueue(other, at(1000));
    expect_that!(dispatcher.reclaim_host("host-1"), eq(1));
    expect_that!(
        granted_ids(&dispatcher.poll(at(1000))),
        elements_are![eq(&3)]
    );
}

/// Guards against requests of an account with revoked keys running, or waiting without an answer.
#[gtest]
fn withdrawn_account_is_refused() {
    let mut dispatcher = ready_dispatcher(1);
    for (id, account) in [(1, "a"), (2, "b"), (3, "a")] {
        dispatcher.enqueue(request(id, account, 5000), at(0));
    }
    expect_that!(dispatcher.withdraw_account("a"), eq(2));
    let decisions = dispatcher.poll(at(0));
    expect_that!(granted_ids(&decisions), elements_are![eq(&2)]);
    expect_that!(
        refusals(&decisions),
        unordered_elements_are![
            eq(&(1, RefusalReason::AccountWithdrawn)),
            eq(&(3, RefusalReason::AccountWithdrawn))
        ]
    );
}

/// Guards against a planned handover that loses waiting requests, tickets or their deadlines.
#[gtest]
fn handover_keeps_queue_and_tickets() {
    let mut old = ready_dispatcher(1);
    old.enqueue(request(1, "a", 5000), at(1000));
    let ticket = granted(&old.poll(at(1000)))[0].1.clone();
    old.enqueue(request(2, "b", 7000), at(1500));
    let encoded = rmp_serde::to_vec_named(&old.export_state(at(2000))).unwrap();
    let state: DispatcherState = rmp_serde::from_slice(&encoded).unwrap();
    let settings = DispatcherSettings::default();
    let mut new = ModelDispatcher::from_state(identity(2), settings, 1, state, at(100));
    let repeated = new.enqueue(request(1, "a", 4000), at(100));
    expect_that!(repeated, eq(&EnqueueOutcome::Granted(ticket)));
    expect_that!(new.poll(at(4099)), is_empty());
    expect_that!(granted_ids(&new.poll(at(4100))), elements_are![eq(&2)]);
    expect_that!(new.replica_version(), eq(1));
}
