//! Reads, writes, leases and faults of [`KvClient`] against a stand-in of the key-value service.

mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use zinniahinge_kv::BatchOutcome;
use zinniahinge_kv::CasOutcome;
use zinniahinge_kv::KvClient;
use zinniahinge_kv::KvError;
use zinniahinge_kv::KvSettings;
use zinniahinge_kv::WriteOperation;
use zinniahinge_standins::FaultKind;

use crate::common::start_service;

/// Guards against two writers that are both told that their compare-and-swap succeeded.
#[tokio::test]
async fn concurrent_swaps_have_one_winner_per_revision() {
    const WRITERS: usize = 16;
    const ROUNDS: u64 = 20;
    let test = start_service().await;
    let mut expected = 0;
    for _ in 0..ROUNDS {
        let mut writers = JoinSet::new();
        for writer in 0..WRITERS {
            let client = test.client.clone();
            writers.spawn(async move {
                let value = writer.to_string();
                client.compare_and_swap("/race", expected, value).await
            });
        }
        let outcomes = writers.join_all().await;
        let winners: Vec<u64> = outcomes
            .iter()
            .filter_map(|outcome| match outcome {
                Ok(CasOutcome::Swapped { revision }) => Some(*revision),
                _ => None,
            })
            .collect();
        assert_that!(winners.len(), eq(1));
        let entry = test.client.get("/race").await.unwrap().unwrap();
        assert_that!(entry.mod_revision, eq(winners[0]));
        for outcome in outcomes {
            if let CasOutcome::Conflict { current } = outcome.unwrap() {
                assert_that!(current, some(eq(&entry)));
            }
        }
        expected = entry.mod_revision;
    }
    assert_that!(test.client.counts().writes, eq(WRITERS as u64 * ROUNDS));
    assert_that!(test.service.counts().writes, eq(WRITERS as u64 * ROUNDS));
}

/// Guards against a batch that is applied in part, and against a listing with keys of other
/// prefixes.
#[tokio::test]
async fn batch_is_applied_whole_or_not_at_all() {
    let test = start_service().await;
    let operations = [
        WriteOperation::put("/a/1", "x").with_expected(0),
        WriteOperation::put("/a/2", "y"),
        WriteOperation::put("/b", "z"),
    ];
    let first = test.client.write_batch(&operations).await.unwrap();
    let BatchOutcome::Swapped { revision } = first else {
        panic!("first batch conflicts: {first:?}");
    };
    let second = test.client.write_batch(&operations).await.unwrap();
    let BatchOutcome::Conflict { current } = second else {
        panic!("second batch is applied: {second:?}");
    };
    assert_that!(current.len(), eq(1));
    let listing = test.client.range_prefix("/a/").await.unwrap();
    let keys: Vec<&str> = listing.entries.iter().map(|e| &*e.key).collect();
    assert_that!(keys, elements_are![eq(&"/a/1"), eq(&"/a/2")]);
    assert_that!(listing.revision, eq(revision));
    test.client.delete("/a/1").await.unwrap();
    assert_that!(test.client.get("/a/1").await, ok(none()));
}

struct FaultCase {
    name: &'static str,
    kind: FaultKind,
    written: bool,
}

/// Guards against a lost or unreadable answer that is reported as a failed write.
#[tokio::test]
async fn write_without_usable_answer_is_unknown() {
    let cases = [
        FaultCase {
            name: "answer lost after the effect",
            kind: FaultKind::LostAnswer,
            written: true,
        },
        FaultCase {
            name: "answer is garbage",
            kind: FaultKind::Garbage,
            written: true,
        },
        FaultCase {
            name: "answer is cut",
            kind: FaultKind::CloseEarly,
            written: true,
        },
        FaultCase {
            name: "connection closed before the effect",
            kind: FaultKind::Down,
            written: false,
        },
        FaultCase {
            name: "answer after the timeout",
            kind: FaultKind::Slow,
            written: false,
        },
    ];
    for case in cases {
        let test = start_service().await;
        test.add_fault(case.kind, Some(1));
        let outcome = test.client.compare_and_swap("/k", 0, "v").await;
        let unknown = matches!(outcome, Err(KvError::OutcomeUnknown { .. }));
        assert_that!(unknown, eq(true), "{}: {outcome:?}", case.name);
        let entry = test.client.get("/k").await.unwrap();
        assert_that!(entry.is_some(), eq(case.written), "{}", case.name);
        assert_that!(test.client.counts().unknown, eq(1), "{}", case.name);
    }
}

/// Guards against an unreachable service that is reported as an unknown outcome, which would stop
/// a caller from trying again, and against not using the other endpoint.
#[tokio::test]
async fn refused_connect_is_not_sent() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let closed_address = closed.local_addr().unwrap();
    drop(closed);
    let client = KvClient::new(KvSettings::new(vec![closed_address])).unwrap();
    let outcome = client.compare_and_swap("/k", 0, "v").await;
    let not_sent = matches!(outcome, Err(KvError::NotSent { .. }));
    assert_that!(not_sent, eq(true), "{outcome:?}");

    let test = start_service().await;
    let endpoints: Vec<SocketAddr> = vec![closed_address, test.server.address];
    let client = KvClient::new(KvSettings::new(endpoints)).unwrap();
    for _ in 0..3 {
        let swapped = client.compare_and_swap("/k", 0, "v").await;
        assert_that!(swapped.is_ok(), eq(true), "{swapped:?}");
    }
    assert_that!(client.counts().not_sent, eq(1));
}

/// Guards against a request that the service refused and that is reported as an unknown outcome.
#[tokio::test]
async fn oversized_value_is_rejected() {
    let test = start_service().await;
    let value = vec![0_u8; 2 * 1024 * 1024];
    let outcome = test.client.compare_and_swap("/k", 0, value).await;
    let rejected = matches!(outcome, Err(KvError::Rejected { code: 3, .. }));
    assert_that!(rejected, eq(true), "{outcome:?}");
}

/// Guards against a lease that is reported as held after it lapsed.
#[tokio::test]
async fn lapsed_lease_removes_its_records() {
    let test = start_service().await;
    let client = &test.client;
    let lease = client.grant_lease(Duration::from_secs(60)).await.unwrap();
    client
        .compare_and_swap_leased("/l", 0, "v", lease.lease_id)
        .await
        .unwrap();
    let kept = client.keep_lease_alive(lease.lease_id).await;
    assert_that!(kept, ok(some(eq(&lease))));
    test.add_fault(FaultKind::LeaseLapse, Some(1));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_that!(client.get("/l").await, ok(none()));
    let kept = client.keep_lease_alive(lease.lease_id).await;
    assert_that!(kept, ok(none()));
}
