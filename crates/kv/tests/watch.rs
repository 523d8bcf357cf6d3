//! Watches of [`KvClient`] against a stand-in of the key-value service.

mod common;

use std::time::Duration;

use futures::StreamExt;
use googletest::prelude::*;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use zinniahinge_kv::KvError;
use zinniahinge_kv::Result;
use zinniahinge_kv::WatchChange;
use zinniahinge_kv::WatchEvent;
use zinniahinge_kv::WatchStream;
use zinniahinge_kv::WriteOperation;
use zinniahinge_standins::FaultKind;

use crate::common::TestService;
use crate::common::start_service;

const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

async fn next_event(stream: &mut WatchStream) -> Option<Result<WatchEvent>> {
    timeout(EVENT_TIMEOUT, stream.next())
        .await
        .expect("the watch is silent")
}

async fn put(test: &TestService, key: &str, value: &'static str) {
    let operations = [WriteOperation::put(key, value)];
    let written = test.client.write_batch(&operations).await;
    written.expect("the put fails");
}

fn is_put(event: &WatchEvent, expected: &str) -> bool {
    matches!(&event.change, WatchChange::Put { value, .. } if value == expected)
}

/// Guards against changes that are lost between a listing and the watch that follows it, and
/// against events with keys of other prefixes.
#[tokio::test]
async fn watch_resumes_from_the_revision_after_a_listing() {
    let test = start_service().await;
    put(&test, "/w/a", "1").await;
    let listing = test.client.range_prefix("/w/").await.unwrap();
    put(&test, "/w/a", "2").await;
    put(&test, "/x", "other").await;
    test.client.delete("/w/a").await.unwrap();

    let token = CancellationToken::new();
    let from = listing.revision + 1;
    let mut stream = test.client.watch("/w/", from, token.clone());
    let event = next_event(&mut stream).await.unwrap().unwrap();
    assert_that!(is_put(&event, "2"), eq(true));
    assert_that!(event.mod_revision, eq(from));
    let event = next_event(&mut stream).await.unwrap().unwrap();
    assert_that!(event.change, eq(&WatchChange::Deleted));

    // The wait is longer than the idle timeout; progress notifications keep the idle watch open.
    tokio::time::sleep(Duration::from_millis(400)).await;
    put(&test, "/w/b", "3").await;
    let event = next_event(&mut stream).await.unwrap().unwrap();
    assert_that!(is_put(&event, "3"), eq(true));

    token.cancel();
    assert_that!(next_event(&mut stream).await.is_none(), eq(true));
    drop(stream);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_that!(test.service.counts().open_watches, eq(0));
}

/// Guards against a skipped event that is not reported.
#[tokio::test]
async fn skipped_event_ends_the_watch() {
    let test = start_service().await;
    let mut stream = test.client.watch("/g", 2, CancellationToken::new());
    put(&test, "/g", "1").await;
    let first = next_event(&mut stream).await.unwrap();
    assert_that!(first.is_ok(), eq(true), "{first:?}");
    test.add_fault(FaultKind::WatchGap, Some(1));
    put(&test, "/g", "2").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    put(&test, "/g", "3").await;
    let gap = next_event(&mut stream).await.unwrap();
    let found = matches!(gap, Err(KvError::WatchGap { revision: 4, .. }));
    assert_that!(found, eq(true), "{gap:?}");
    assert_that!(next_event(&mut stream).await.is_none(), eq(true));
}

/// Guards against a watch that waits forever after the service went down, was paused or closed the
/// stream early.
#[tokio::test]
async fn lost_watch_ends_with_an_error() {
    for kind in [FaultKind::Down, FaultKind::Pause, FaultKind::CloseEarly] {
        let test = start_service().await;
        put(&test, "/l", "1").await;
        if kind == FaultKind::CloseEarly {
            test.add_fault(kind, Some(1));
        }
        let mut stream = test.client.watch("/l", 2, CancellationToken::new());
        if kind != FaultKind::CloseEarly {
            let event = next_event(&mut stream).await.unwrap();
            assert_that!(event.is_ok(), eq(true), "{kind:?}: {event:?}");
            test.add_fault(kind, None);
        }
        let mut last = next_event(&mut stream).await.unwrap();
        while last.is_ok() {
            last = next_event(&mut stream).await.unwrap();
        }
        let lost = matches!(last, Err(KvError::WatchLost { .. }));
        assert_that!(lost, eq(true), "{kind:?}: {last:?}");
    }
}

/// Guards against a watch that asks for a compacted revision and starts at a later one without an
/// error.
#[tokio::test]
async fn watch_before_compaction_is_refused() {
    let test = start_service().await;
    for _ in 0..2_100 {
        put(&test, "/c", "v").await;
    }
    let mut stream = test.client.watch("/c", 2, CancellationToken::new());
    let refused = next_event(&mut stream).await.unwrap();
    let compacted = matches!(refused, Err(KvError::WatchCompacted { .. }));
    assert_that!(compacted, eq(true), "{refused:?}");
}
