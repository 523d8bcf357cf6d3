//! Known backend servers after removals, outages, late writes and restarts.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendRoster;
use zinniahinge_serving::StoreOutage;

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
        roster.record_failure(at(0), at(0));
        roster.record_failure(at(4000), at(4000));
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

struct RejectionCase {
    name: &'static str,
    /// Send times of this host's answered calls, milliseconds. The answers take 30 ms.
    answered: &'static [u64],
    /// The coordinator's calls fail from 1000 to this time; `None` if it reports no outage any more.
    fails_until: Option<u64>,
    /// When the reading that shows the end of the coordinator's lease was sent, milliseconds.
    lease_ends: Option<u64>,
    /// True if the server's entry is kept.
    is_kept: bool,
}

/// Load pattern: the store rejects the coordinator and serves the other hosts, which then read it themselves, while a server
/// leaves. Guards against requests to that server more than two seconds after the removal of its entry.
#[test]
fn an_outage_of_the_coordinator_alone_keeps_no_entries() {
    let cases = [
        RejectionCase {
            name: "the store rejects the coordinator",
            answered: &[2200],
            fails_until: Some(2600),
            lease_ends: None,
            is_kept: false,
        },
        RejectionCase {
            name: "this host's later calls are answered, too",
            answered: &[2200, 2550, 2700],
            fails_until: Some(2600),
            lease_ends: None,
            is_kept: false,
        },
        RejectionCase {
            name: "a new coordinator reports no outage",
            answered: &[2200],
            fails_until: None,
            lease_ends: None,
            is_kept: false,
        },
        RejectionCase {
            name: "the store is back when this host reads it",
            answered: &[2200],
            fails_until: Some(2000),
            lease_ends: None,
            is_kept: true,
        },
        RejectionCase {
            name: "the coordinator's lease ends after this host has read the store",
            answered: &[2200, 2700],
            fails_until: Some(2000),
            lease_ends: Some(2700),
            is_kept: false,
        },
        RejectionCase {
            name: "the coordinator's lease has ended when this host reads the store",
            answered: &[2200],
            fails_until: Some(2000),
            lease_ends: Some(2200),
            is_kept: true,
        },
        RejectionCase {
            name: "this host last read the store before the outage",
            answered: &[900],
            fails_until: Some(2600),
            lease_ends: None,
            is_kept: true,
        },
        RejectionCase {
            name: "this host doesn't read the store",
            answered: &[],
            fails_until: Some(2600),
            lease_ends: None,
            is_kept: true,
        },
    ];
    for case in cases {
        let mut roster = BackendRoster::new(RETURN_TIME);
        roster.put(entry("s1", 1, &[]), 5);
        // An outage long before the removal explains nothing.
        roster.record_failure(at(100), at(110));
        roster.record_answer(at(200), at(210));
        let start = Duration::from_secs(10);
        let at = |time_ms| at(time_ms) + start;
        let outage = |until| StoreOutage {
            since: at(1000),
            last_sent: at(until),
            until: at(until),
        };
        roster.set_relayed_outage(Some(outage(1900)));
        for sent in case.answered {
            roster.record_answer(at(*sent), at(sent + 30));
        }
        roster.remove("s1", 6, at(2230));
        assert_that!(listed(&roster).len(), eq(1), "{}", case.name);
        roster.set_relayed_outage(case.fails_until.map(outage));
        if let Some(sent) = case.lease_ends {
            roster.record_lease_end(at(sent));
        }
        roster.expire(at(2800));
        assert_that!(
            roster.find("s1").is_some(),
            eq(case.is_kept),
            "{}",
            case.name
        );
    }
}

/// Guards against servers that are dropped in an outage of this host's own calls because the coordinator reports none.
#[test]
fn entries_stay_in_an_outage_of_the_own_calls() {
    let mut roster = BackendRoster::new(RETURN_TIME);
    roster.put(entry("s1", 1, &[]), 5);
    roster.record_answer(at(500), at(530));
    roster.record_failure(at(1000), at(1100));
    roster.record_failure(at(2000), at(2100));
    roster.record_failed_renewal(at(2150));
    let outage = StoreOutage {
        since: at(1100),
        last_sent: at(2150),
        until: at(2100),
    };
    assert_that!(roster.own_outage(at(2200)), some(eq(outage)));
    roster.record_answer(at(2300), at(2330));
    // An answered call ends the outage; failed renewals don't prolong it.
    roster.record_failed_renewal(at(2400));
    assert_that!(roster.own_outage(at(2420)), some(eq(outage)));
    roster.set_relayed_outage(None);
    roster.remove("s1", 6, at(2330));
    roster.expire(at(4000));
    assert_that!(listed(&roster), eq(&vec![named("s1", false)]));
    roster.expire(at(4400));
    assert_that!(listed(&roster).len(), eq(0));
}
