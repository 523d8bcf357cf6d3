//! Placements when a data centre drops out, and placements that are bound to data centres.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::EvacuatedPlaces;
use zinniahinge_serving::PlaceScope;
use zinniahinge_serving::Placement;
use zinniahinge_serving::PlacementQuery;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::common::accept_all;
use crate::common::at;
use crate::common::engine_spec;
use crate::common::entry;
use crate::common::name;
use crate::common::report;

const MODELS: [&str; 4] = ["m1", "m2", "m3", "m4"];

/// Engines with their data centre and their models.
const ENGINES: [(&str, &str, &[&str]); 4] = [
    ("a1", "a", &["m1", "m2"]),
    ("a2", "a", &["m3", "m4"]),
    ("b1", "b", &[]),
    ("b2", "b", &[]),
];

/// Lets the planner see all engines, with `evacuated` places.
fn observe_all(planner: &mut ResidencyPlanner, evacuated: &[&str], now: MonotonicTime) {
    let places: Vec<Name> = evacuated.iter().map(|place| name(place)).collect();
    let mut evacuated = EvacuatedPlaces::default();
    evacuated.replace(&places, now);
    planner.set_evacuated(&evacuated);
    for (id, place, held) in ENGINES {
        let mut entry = entry(id, 1, held);
        entry.place = name(place);
        planner.observe_entry(&entry, now);
    }
}

/// A planner that knows the engines, of which those in b have copies of all models on disk.
fn planner() -> ResidencyPlanner {
    let mut planner = ResidencyPlanner::new(engine_spec(&MODELS), ResidencySettings::default(), 0);
    observe_all(&mut planner, &[], at(0));
    planner.due_reports(at(0));
    for (id, place, held) in ENGINES {
        let disk: &[&str] = if place == "b" { &MODELS } else { &[] };
        planner.observe_report(id, Some(&report(5, held, disk)), at(0), at(0));
    }
    planner
}

fn query<'a>(model: &'a Name, urgency: u8, places: Option<&'a [Name]>) -> PlacementQuery<'a> {
    PlacementQuery {
        model,
        adapter: None,
        urgency,
        time_left: Duration::from_secs(10),
        refused_by: None,
        scope: PlaceScope { places },
    }
}

/// Load pattern: the data centre that holds all models is evacuated at the peak, and requests of different urgency wait for
/// each of them. Guards against loads out of order, and against orders to an evacuated engine.
#[test]
fn models_of_an_evacuated_place_are_loaded_elsewhere_by_urgency() {
    let mut planner = planner();
    for model in MODELS.map(name) {
        for _ in 0..20 {
            planner.record_use(&model, None, 1, (1000, 50), at(50));
        }
        let placed = planner.place_within(&query(&model, 1, None), at(100));
        assert_that!(placed, matches_pattern!(Placement::Ready { .. }), "{model}");
    }
    observe_all(&mut planner, &["a"], at(200));
    let urgencies = [("m3", 5), ("m2", 0), ("m4", 9), ("m1", 2)];
    for (model, urgency) in urgencies {
        let placed = planner.place_within(&query(&name(model), urgency, None), at(201));
        assert_that!(placed, matches_pattern!(Placement::Wait { .. }), "{model}");
    }
    let mut loaded: Vec<Name> = Vec::new();
    for step in 0..40 {
        let now = at(202 + step * 100);
        for (model, urgency) in urgencies {
            planner.place_within(&query(&name(model), urgency, None), now);
        }
        for (backend, _) in planner.due_reports(now) {
            assert_that!(backend.starts_with('b'), eq(true), "report of {backend}");
        }
        for order in accept_all(&mut planner, now) {
            assert_that!(order.backend.starts_with('b'), eq(true), "{order:?}");
            if order.action == ResidencyAction::Load {
                loaded.push(order.model);
            }
        }
    }
    loaded.truncate(4);
    assert_that!(loaded, eq(&["m2", "m1", "m3", "m4"].map(name).to_vec()));
}

/// Guards against engines that stay unused, or whose models are unknown, after their place is taken back.
#[test]
fn engines_are_used_at_once_when_their_place_is_taken_back() {
    let mut planner = planner();
    let (views, version) = planner.views_since(0, at(100));
    assert_that!(views.len(), eq(4));
    observe_all(&mut planner, &["a"], at(200));
    let (changed, _) = planner.views_since(version, at(300));
    assert_that!(
        changed.len(),
        eq(0),
        "hosts keep the views of evacuated engines"
    );
    observe_all(&mut planner, &[], at(5000));
    for (model, backend) in [("m1", "a1"), ("m3", "a2")] {
        let placed = planner.place_within(&query(&name(model), 1, None), at(5000));
        let ready = Placement::Ready {
            backend: name(backend),
        };
        assert_that!(placed, eq(&ready), "{model}");
    }
    let due = planner.due_reports(at(5000));
    assert_that!(due.iter().any(|(id, _)| **id == *"a1"), eq(true));
}

struct ScopeCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    places: Option<&'static [&'static str]>,
    /// Place of the engine that is ready; `None` if the request waits.
    ready_at: Option<&'static str>,
    /// Place of the engine that is ordered to load the model.
    loads_at: Option<&'static str>,
    is_refused: bool,
}

/// Load pattern: the engines of the homes lack the model, while one outside has it. Guards against placements and loads
/// outside the homes, and against requests that wait although no engine in their homes accepts anything.
#[test]
fn placements_and_loads_stay_within_the_scope() {
    let case = ScopeCase {
        name: "everywhere",
        evacuated: &[],
        places: None,
        ready_at: Some("a"),
        loads_at: None,
        is_refused: false,
    };
    let cases = [
        ScopeCase {
            name: "where the model is",
            places: Some(&["a"]),
            ..case
        },
        ScopeCase {
            name: "elsewhere",
            places: Some(&["b"]),
            ready_at: None,
            loads_at: Some("b"),
            ..case
        },
        ScopeCase {
            name: "evacuated",
            evacuated: &["a"],
            ready_at: None,
            loads_at: Some("b"),
            ..case
        },
        ScopeCase {
            name: "only home evacuated",
            evacuated: &["a"],
            places: Some(&["a"]),
            ready_at: None,
            // For requests without homes, of which the engine in a has the only copy.
            loads_at: Some("b"),
            is_refused: true,
        },
        ScopeCase {
            name: "no engine in the homes",
            places: Some(&["c"]),
            ready_at: None,
            is_refused: true,
            ..case
        },
        ScopeCase {
            name: "nothing in common",
            places: Some(&[]),
            ready_at: None,
            is_refused: true,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut planner = planner();
        observe_all(&mut planner, case.evacuated, at(100));
        let places: Option<Vec<Name>> = case
            .places
            .map(|places| places.iter().map(|place| name(place)).collect());
        let model = name("m1");
        let placed = planner.place_within(&query(&model, 1, places.as_deref()), at(100));
        let ready_at = match &placed {
            Placement::Ready { backend } => Some(&backend[..1]),
            _ => None,
        };
        assert_that!(ready_at, eq(case.ready_at), "{}", case.name);
        let is_refused = matches!(placed, Placement::Refused { .. });
        assert_that!(is_refused, eq(case.is_refused), "{}", case.name);
        if let Placement::Refused { retry_after } = placed {
            let is_evacuated = !case.evacuated.is_empty();
            assert_that!(retry_after.is_some(), eq(is_evacuated), "{}", case.name);
        }
        let orders = accept_all(&mut planner, at(100));
        let mut loads = orders.iter().filter(|order| order.model == model);
        let loads_at = loads.next().map(|order| &order.backend[..1]);
        assert_that!(loads_at, eq(case.loads_at), "{}", case.name);
    }
}
