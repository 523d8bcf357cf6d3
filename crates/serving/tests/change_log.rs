//! Changes of the store that one host passes on to others.

use googletest::prelude::*;
use zinniahinge_serving::ChangeLog;
use zinniahinge_types::RecordBytes;
use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

fn written(revision: Revision, bytes: usize) -> RelayedChange {
    RelayedChange {
        key: format!("key-{revision}").into(),
        revision,
        value: RelayedValue::Written(RecordBytes(vec![b'x'; bytes])),
    }
}

fn position(revision: Revision) -> StorePosition {
    StorePosition {
        era: StoreEra::default(),
        revision,
    }
}

fn revisions(log: &ChangeLog, after: Revision) -> Option<Vec<Revision>> {
    let changes = log.since(position(after))?;
    Some(changes.map(|change| change.revision).collect())
}

struct SinceCase {
    name: &'static str,
    after: Revision,
    expected: Option<Vec<Revision>>,
}

/// Guards against a host that misses a change without noticing it.
#[test]
fn changes_are_passed_on_only_without_gaps() {
    let mut log = ChangeLog::default();
    log.restart(position(10));
    for revision in [11, 14, 15] {
        log.push(written(revision, 10));
    }
    // The store's revision also grows by changes that no host needs.
    log.advance(17);
    let cases = [
        SinceCase {
            name: "from the listing",
            after: 10,
            expected: Some(vec![11, 14, 15]),
        },
        SinceCase {
            name: "between two changes",
            after: 12,
            expected: Some(vec![14, 15]),
        },
        SinceCase {
            name: "nothing new",
            after: 17,
            expected: Some(vec![]),
        },
        SinceCase {
            name: "from before the listing",
            after: 9,
            expected: None,
        },
        SinceCase {
            name: "the reader is ahead of the log",
            after: 18,
            expected: None,
        },
    ];
    for SinceCase {
        name,
        after,
        expected,
    } in cases
    {
        assert_that!(revisions(&log, after), eq(&expected), "{name}");
    }
}

/// Guards against a log that grows without bound, and against one that hides dropped changes.
#[test]
fn a_full_log_reports_what_it_has_dropped() {
    let mut log = ChangeLog::default();
    log.restart(position(0));
    for revision in 1..=600 {
        log.push(written(revision, 1024));
        log.advance(revision);
    }
    assert_that!(revisions(&log, 1), none());
    assert_that!(revisions(&log, 87), none());
    let kept = revisions(&log, 88).unwrap_or_default();
    assert_that!(kept.first(), some(eq(&89)));
    assert_that!(kept.len(), eq(512));
}
