//! Unit tests of the server selection for plain services.

use std::collections::BTreeMap;
use std::sync::Barrier;

use googletest::prelude::*;
use zinniahinge_scheduling::ChooserRule;
use zinniahinge_scheduling::ChooserSettings;
use zinniahinge_scheduling::ServerChooser;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::ServerEntry;
use zinniahinge_types::ServerState;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn server(name: &str, place: &str) -> ServerEntry {
    ServerEntry {
        server: name.into(),
        group: "group".into(),
        address: format!("127.0.0.1:{name}").into(),
        place: place.into(),
        state: ServerState::Live,
    }
}

fn regions() -> BTreeMap<Name, Name> {
    let places = [("here", "home"), ("near", "home"), ("far", "abroad")];
    places
        .map(|(place, region)| (place.into(), region.into()))
        .into()
}

fn chooser(settings: ChooserSettings, servers: &[ServerEntry]) -> ServerChooser {
    let chooser = ServerChooser::new(settings, "here".into(), 1);
    chooser.update(servers, &regions());
    chooser
}

struct DistanceCase {
    name: &'static str,
    servers: Vec<ServerEntry>,
    expected: Option<&'static str>,
}

/// Guards against requests that leave their data centre or region without need.
#[gtest]
fn nearest_server_is_chosen() {
    let mut leaving = server("1", "here");
    leaving.state = ServerState::Leaving;
    let cases = [
        DistanceCase {
            name: "own place",
            servers: vec![server("3", "far"), server("2", "near"), server("1", "here")],
            expected: Some("1"),
        },
        DistanceCase {
            name: "own region",
            servers: vec![server("3", "far"), server("2", "near")],
            expected: Some("2"),
        },
        DistanceCase {
            name: "a leaving server gets nothing",
            servers: vec![leaving, server("3", "far")],
            expected: Some("3"),
        },
        DistanceCase {
            name: "none",
            servers: vec![],
            expected: None,
        },
    ];
    for case in cases {
        let chooser = chooser(ChooserSettings::default(), &case.servers);
        let chosen = chooser.choose(&[], at(0));
        let name = chosen.as_ref().map(|chosen| chosen.server().to_string());
        expect_that!(name.as_deref(), eq(case.expected), "{}", case.name);
    }
}

/// Guards against an overloaded data centre while the next one is idle, and against uneven load
/// within a data centre.
#[gtest]
fn load_is_even_and_spills_over() {
    let servers = [
        server("1", "here"),
        server("2", "here"),
        server("3", "near"),
    ];
    let chooser = chooser(ChooserSettings::default(), &servers);
    let mut held = Vec::new();
    for _ in 0..32 {
        held.push(chooser.choose(&[], at(0)));
    }
    expect_that!(chooser.in_flight("1"), eq(16));
    expect_that!(chooser.in_flight("2"), eq(16));
    for _ in 0..12 {
        held.push(chooser.choose(&[], at(0)));
    }
    expect_that!(chooser.in_flight("3"), ge(3));
    drop(held);
    expect_that!(chooser.in_flight("1"), eq(0));
}

/// Guards against a failing server that keeps getting requests or stays ejected, and against
/// ejecting the last server.
#[gtest]
fn failing_server_is_ejected_and_tried_again() {
    let servers = [server("1", "here"), server("2", "near")];
    let chooser = chooser(ChooserSettings::default(), &servers);
    let name = |now| {
        chooser
            .choose(&[], now)
            .map(|chosen| chosen.server().to_string())
    };
    for _ in 0..3 {
        let chosen = chooser.choose(&[], at(0)).unwrap();
        chosen.record_failure(at(0));
    }
    expect_that!(name(at(1999)), some(eq("2")));
    let probe = chooser.choose(&[], at(2000)).unwrap();
    expect_that!(&**probe.server(), eq("1"));
    expect_that!(name(at(2000)), some(eq("2")));
    probe.record_success();
    drop(probe);
    expect_that!(name(at(2000)), some(eq("1")));
    let excluded = ["1".into(), "2".into()];
    expect_that!(chooser.choose(&excluded, at(2000)).is_none(), eq(true));
    for _ in 0..3 {
        chooser
            .choose(&["2".into()], at(3000))
            .unwrap()
            .record_failure(at(3000));
    }
    let last = chooser.choose(&["2".into()], at(3001)).unwrap();
    expect_that!(&**last.server(), eq("1"));
}

/// Guards against losing counts and ejections whenever the host list is read, and against keeping
/// those of a server that moved to a new address.
#[gtest]
fn counts_outlive_a_change_of_the_list() {
    let chooser = chooser(ChooserSettings::default(), &[server("1", "here")]);
    let held = chooser.choose(&[], at(0));
    chooser.update(&[server("2", "here"), server("1", "here")], &regions());
    expect_that!(chooser.in_flight("1"), eq(1));
    let mut moved = server("1", "here");
    moved.address = "127.0.0.1:9".into();
    chooser.update(&[moved], &regions());
    expect_that!(chooser.in_flight("1"), eq(0));
    drop(held);
    expect_that!(chooser.in_flight("1"), eq(0));
}

/// Guards against wrong baselines: they must ignore the data centre.
#[gtest]
fn baselines_ignore_the_place() {
    let servers = [server("1", "here"), server("2", "far")];
    for rule in [ChooserRule::Random, ChooserRule::LeastLoaded] {
        let settings = ChooserSettings {
            rule,
            ..ChooserSettings::default()
        };
        let chooser = chooser(settings, &servers);
        let held: Vec<_> = (0..40).map(|_| chooser.choose(&[], at(0))).collect();
        expect_that!(held.len(), eq(40));
        expect_that!(chooser.in_flight("2"), ge(10));
    }
}

/// Guards against lost or double counts, and against more than one probe request to an ejected
/// server, when many threads choose while the list changes.
#[gtest]
fn counts_are_exact_over_threads() {
    const THREADS: usize = 4;
    let servers = [
        server("1", "here"),
        server("2", "here"),
        server("3", "near"),
    ];
    let chooser = chooser(ChooserSettings::default(), &servers);
    let barrier = Barrier::new(THREADS + 1);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                barrier.wait();
                for _ in 0..5000 {
                    let first = chooser.choose(&[], at(0));
                    let second = chooser.choose(&[], at(0));
                    assert!(first.is_some() && second.is_some());
                }
            });
        }
        barrier.wait();
        for round in 0..200 {
            let kept = 2 + round % 2;
            chooser.update(&servers[..kept], &regions());
        }
    });
    chooser.update(&servers, &regions());
    for name in ["1", "2"] {
        expect_that!(chooser.in_flight(name), eq(0));
    }
}
