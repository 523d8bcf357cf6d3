//! Known backend servers after removals, outages, late writes and restarts.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendRoster;

use crate::common::at;
use crate::common::entry;

const RETURN_TIME: Duration = Duration::from_secs(2);

fn listed(roster: &BackendRoster) -> Vec<(String, bool)> {
    let entries = roster.entries();
    entries
        .map(|(entry, is_listed)| (entry.id.to_string(), is_listed))
        .collect()
}

fn named(id: &str, is_listed: bool) -> (String, bool) {
    (id.to_owned(), is_listed)
}

/// Guards against requests to a server whose entry was removed while the store was usable.
#[test]
fn a_removed_entry_is_dropped_at_once() {
    let mut roster = BackendRoster::new(RETURN_TIME);
    roster.put(entry("s1", 1, &[]), 5);
    roster.remove("s1", 6, at(0));
    assert_that!(listed(&roster).len(), eq(0));
    // A write from before the removal that arrives late.
    roster.put(entry("s1", 1, &[]), 5);
    assert_that!(listed(&roster).len(), eq(0));
    roster.put(entry("s1", 1, &[]), 7);
    assert_that!(listed(&roster).len(), eq(1));
}

struct OutageCase {
    name: &'static str,
    /// Time from the removal until the entry is written again, milliseconds.
    back_after: Option<u64>,
    /// Expected entries 1.9 s after the outage.
    before: Vec<(String, bool)>,
    /// Expected entries 2.1 s after the outage.
    after: Vec<(String, bool)>,
}

/// Guards against a fleet without servers after an outage, and against keeping servers that no longer exist.
#[test]
fn entries_that_expire_in_an_outage_are_kept_for_a_while() {
    let cases = [
        OutageCase {
            name: "stays away",
            back_after: None,
            before: vec![named("s1", false)],
            after: vec![],
        },
        OutageCase {
            name: "comes back",
            back_after: Some(1000),
            before: vec![named("s1", true)],
            after: vec![named("s1", true)],
        },
    ];
    for case in cases {
        let mut roster = BackendRoster::new(RETURN_TIME);
        roster.put(entry("s1", 1, &[]), 5);
        roster.record_outage(at(0));
        roster.record_outage(at(4000));
        roster.replace(Vec::new(), 9, at(4100));
        assert_that!(
            listed(&roster),
            eq(&vec![named("s1", false)]),
            "{}",
            case.name
        );
        if case.back_after.is_some() {
            roster.put(entry("s1", 1, &[]), 10);
        }
        roster.expire(at(5900));
        assert_that!(listed(&roster), eq(&case.before), "{}", case.name);
        roster.expire(at(6200));
        assert_that!(listed(&roster), eq(&case.after), "{}", case.name);
    }
}

/// Guards against a record of a former run that replaces that of the present one.
#[test]
fn an_older_run_does_not_replace_a_newer_one() {
    let mut roster = BackendRoster::new(RETURN_TIME);
    roster.put(entry("s1", 20, &["new"]), 5);
    let old = BackendEntry {
        sequence: 99,
        ..entry("s1", 10, &["old"])
    };
    roster.put(old, 6);
    let held: Vec<String> = roster
        .entries()
        .flat_map(|(entry, _)| entry.held.iter().map(|held| held.model.to_string()))
        .collect();
    assert_that!(held, eq(&vec!["new".to_owned()]));
}
