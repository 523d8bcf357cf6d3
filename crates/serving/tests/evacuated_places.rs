//! Which servers get no requests because their data centre is evacuated or lies outside the homes.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::BackendPhase;
use zinniahinge_serving::EvacuatedPlaces;
use zinniahinge_serving::HomeRule;
use zinniahinge_serving::LimitStatement;
use zinniahinge_serving::SendBar;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(time_ms)
}

fn names(texts: &[&str]) -> Vec<Name> {
    texts.iter().map(|text| Name::from(*text)).collect()
}

fn entry(phase: BackendPhase) -> BackendEntry {
    BackendEntry {
        id: "s1".into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        place: "a".into(),
        slots: 8,
        phase,
        born_ms: 1,
        sequence: 1,
        cold_left: Duration::ZERO,
        held: Vec::new(),
        memory_copies: Vec::new(),
        disk_copies: Vec::new(),
    }
}

struct BarCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    phase: BackendPhase,
    is_paused: bool,
    is_limited: bool,
    bar: Option<SendBar>,
}

/// Guards against a server of an evacuated place that requests wait for, because a pause or a limit is found first.
#[test]
fn servers_of_evacuated_places_are_barred_whatever_else_they_ask() {
    let case = BarCase {
        name: "evacuated",
        evacuated: &["a"],
        phase: BackendPhase::Ready,
        is_paused: false,
        is_limited: false,
        bar: Some(SendBar::Evacuated),
    };
    let cases = [
        BarCase {
            name: "another place",
            evacuated: &["b"],
            bar: None,
            ..case
        },
        BarCase {
            name: "one of two",
            evacuated: &["b", "a"],
            ..case
        },
        BarCase {
            name: "paused",
            is_paused: true,
            ..case
        },
        BarCase {
            name: "limited",
            is_limited: true,
            ..case
        },
        BarCase {
            name: "draining",
            phase: BackendPhase::Leaving,
            bar: Some(SendBar::Draining),
            ..case
        },
        case,
    ];
    for case in cases {
        let mut places = EvacuatedPlaces::default();
        places.replace(&names(case.evacuated), at(0));
        let load = BackendLoad::default();
        if case.is_paused {
            load.pause(at(5000));
        }
        if case.is_limited {
            let limit_per_s = Some(1.0);
            load.record_limit(LimitStatement {
                limit_per_s,
                at: at(500),
            });
            load.bar_until_slot(at(1000) + Duration::from_secs(1));
        }
        let bar = SendBar::find(&entry(case.phase), &load, &places, at(1000));
        assert_that!(bar, eq(case.bar), "{}", case.name);
        places.replace(&[], at(1500));
        let bar = SendBar::find(&entry(case.phase), &load, &places, at(1500));
        assert_that!(bar == Some(SendBar::Evacuated), eq(false), "{}", case.name);
    }
}

struct ListingCase {
    name: &'static str,
    before: &'static [&'static str],
    listed: &'static [&'static str],
    begun: &'static [&'static str],
    ended: &'static [&'static str],
}

/// Guards against an evacuation that a host misses, or keeps, because it began or ended between two listings.
#[test]
fn a_listing_replaces_the_evacuated_places() {
    let cases = [
        ListingCase {
            name: "nothing",
            before: &[],
            listed: &[],
            begun: &[],
            ended: &[],
        },
        ListingCase {
            name: "begun meanwhile",
            before: &["a"],
            listed: &["a", "b"],
            begun: &["b"],
            ended: &[],
        },
        ListingCase {
            name: "ended meanwhile",
            before: &["a", "b"],
            listed: &["b"],
            begun: &[],
            ended: &["a"],
        },
        ListingCase {
            name: "another one",
            before: &["a"],
            listed: &["b"],
            begun: &["b"],
            ended: &["a"],
        },
    ];
    for case in cases {
        let mut places = EvacuatedPlaces::default();
        for place in names(case.before) {
            assert_that!(places.begin(&place), eq(true), "{}", case.name);
            assert_that!(places.begin(&place), eq(false), "{}: twice", case.name);
        }
        let (begun, ended) = places.replace(&names(case.listed), at(700));
        assert_that!(begun, eq(&names(case.begun)), "{}", case.name);
        assert_that!(ended, eq(&names(case.ended)), "{}", case.name);
        assert_that!(places.count(), eq(case.listed.len()), "{}", case.name);
        for place in ["a", "b", "c"] {
            let is_listed = case.listed.contains(&place);
            assert_that!(places.contains(place), eq(is_listed), "{}", case.name);
            let ended_at = case.ended.contains(&place).then(|| at(700));
            assert_that!(places.ended_at(place), eq(ended_at), "{}", case.name);
        }
    }
    let mut places = EvacuatedPlaces::default();
    for time_ms in [100, 200] {
        places.begin(&"a".into());
        assert_that!(places.end("a", at(time_ms)), eq(true));
        assert_that!(places.end("a", at(time_ms + 50)), eq(false));
    }
    assert_that!(places.ended_at("a"), some(eq(at(200))));
}

struct HoldCase {
    name: &'static str,
    /// What the operators do after the store returned from a copy without the evacuation, at 1 s.
    later: fn(&mut EvacuatedPlaces),
    /// Whether the place is evacuated at 4 s and, after held ones were ended, at 7 s.
    is_evacuated: [bool; 2],
}

/// Guards against requests to a data centre whose evacuation the store's copy lacks.
#[test]
fn evacuations_outlast_a_copy_that_lacks_them() {
    let cases = [
        HoldCase {
            name: "nothing is written again",
            later: |_| {},
            is_evacuated: [true, false],
        },
        HoldCase {
            name: "written again",
            later: |places| {
                places.begin(&"a".into());
            },
            is_evacuated: [true, true],
        },
        HoldCase {
            name: "taken back",
            later: |places| {
                places.end("a", at(2000));
            },
            is_evacuated: [false, false],
        },
    ];
    for case in cases {
        let mut places = EvacuatedPlaces::default();
        places.begin(&"a".into());
        places.hold_missing(&[], at(6000));
        places.replace(&[], at(1000));
        (case.later)(&mut places);
        let mut seen = [places.contains("a"), false];
        places.expire(at(7000));
        seen[1] = places.contains("a");
        assert_that!(seen, eq(case.is_evacuated), "{}", case.name);
    }
}

struct HomeCase {
    name: &'static str,
    route: &'static [&'static str],
    account: &'static [&'static str],
    /// Allowed regions out of east, west and north.
    allowed: &'static [&'static str],
    /// True if a place whose region is unknown is allowed.
    allows_unknown: bool,
}

/// Guards against a request that runs in a region that only one of its route and its account allows.
#[test]
fn the_homes_of_route_and_account_both_bind() {
    let case = HomeCase {
        name: "no homes",
        route: &[],
        account: &[],
        allowed: &["east", "west", "north"],
        allows_unknown: true,
    };
    let cases = [
        HomeCase {
            name: "route",
            route: &["east"],
            allowed: &["east"],
            allows_unknown: false,
            ..case
        },
        HomeCase {
            name: "account",
            account: &["west", "east"],
            allowed: &["east", "west"],
            allows_unknown: false,
            ..case
        },
        HomeCase {
            name: "both",
            route: &["east", "west"],
            account: &["west", "north"],
            allowed: &["west"],
            allows_unknown: false,
        },
        HomeCase {
            name: "nothing in common",
            route: &["east"],
            account: &["west"],
            allowed: &[],
            allows_unknown: false,
        },
        case,
    ];
    for case in cases {
        let (route, account) = (names(case.route), names(case.account));
        let rule = HomeRule {
            route: &route,
            account: &account,
        };
        for region in names(&["east", "west", "north"]) {
            let is_allowed = case.allowed.contains(&&*region);
            let allows = rule.allows(Some(&region));
            assert_that!(allows, eq(is_allowed), "{}: {region}", case.name);
        }
        assert_that!(rule.allows(None), eq(case.allows_unknown), "{}", case.name);
        let regions = rule.regions();
        let expected = (!rule.is_open()).then(|| names(case.allowed));
        assert_that!(regions, eq(&expected), "{}", case.name);
    }
}
