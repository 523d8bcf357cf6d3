//! Choice of a backend server, and detection of servers that fail more than their peers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::BackendChooser;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendHealth;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::ChooserWeights;
use zinniahinge_serving::LoadGuard;
use zinniahinge_serving::LoadSample;
use zinniahinge_serving::PromptPart;
use zinniahinge_serving::RequestFacts;

use crate::common::at;
use crate::common::entry;
use crate::common::name;

fn candidate(id: &str, place: &str) -> BackendCandidate {
    BackendCandidate {
        entry: Arc::new(BackendEntry {
            place: name(place),
            ..entry(id, 1, &["m"])
        }),
        load: Arc::new(BackendLoad::default()),
        is_listed: true,
        is_connected: true,
    }
}

fn facts(session: u64) -> RequestFacts {
    let part = |id, tokens| PromptPart { id, tokens };
    RequestFacts {
        attempt_id: name("r"),
        caller_timeout: None,
        model: Some(name("m")),
        adapter: None,
        prompt_tokens: 9_000,
        output_tokens: 50,
        states_tokens: true,
        parts: vec![
            part(1, 2_500),
            part(session, 3_800),
            part(session + 1_000, 2_700),
        ]
        .into(),
    }
}

fn chooser() -> BackendChooser {
    BackendChooser {
        host: name("h1"),
        place: name("a"),
        totals_age: Duration::from_millis(900),
        weights: ChooserWeights::MODELS,
    }
}

struct ChoiceCase {
    name: &'static str,
    /// Makes the first of two equal servers worse.
    degrade: fn(&mut BackendCandidate),
}

/// Guards against requests that queue at, or are lost to, a server that is worse than another.
#[test]
fn the_better_server_is_chosen() {
    let cases = [
        ChoiceCase {
            name: "other data centre",
            degrade: |backend| *backend = candidate("s1", "b"),
        },
        ChoiceCase {
            name: "no open connection",
            degrade: |backend| backend.is_connected = false,
        },
        ChoiceCase {
            name: "not listed",
            degrade: |backend| backend.is_listed = false,
        },
        ChoiceCase {
            name: "left a request unanswered",
            degrade: |backend| backend.load.avoid(at(0)),
        },
        ChoiceCase {
            name: "fails at other hosts",
            degrade: |backend| backend.load.set_others(0, 0, true),
        },
        ChoiceCase {
            name: "busy with requests of other hosts",
            degrade: |backend| backend.load.set_others(9, 0, false),
        },
        ChoiceCase {
            name: "states queued requests",
            degrade: |backend| {
                let sample = LoadSample {
                    work_percent: None,
                    running: 8,
                    waiting: 5,
                    slots: 8,
                };
                backend.load.record_sample(sample, at(0));
            },
        },
    ];
    for case in cases {
        for session in 10..40 {
            let mut candidates = vec![candidate("s1", "a"), candidate("s2", "a")];
            // Both have processed the shared parts, so that they differ only by the case.
            candidates
                .iter()
                .for_each(|backend| backend.record_sent_parts(&facts(session)));
            (case.degrade)(&mut candidates[0]);
            candidates[0].record_sent_parts(&facts(session));
            let chosen = chooser().choose(&candidates, &facts(session), at(100));
            assert_that!(chosen, some(eq(1)), "{}", case.name);
        }
    }
}

/// Guards against prompts that are processed again on every replica: hosts prefer the same server for the same shared
/// part without knowing of each other. The baseline, the least loaded server, would spread them.
#[test]
fn hosts_agree_on_a_server_for_a_shared_part() {
    let mut counts = [0_usize; 3];
    for session in 0..60 {
        let choices: Vec<_> = (0..5)
            .map(|_host| {
                let candidates = vec![
                    candidate("s1", "a"),
                    candidate("s2", "a"),
                    candidate("s3", "a"),
                ];
                chooser().choose(&candidates, &facts(session), at(0))
            })
            .collect();
        assert_that!(choices.iter().all(|choice| *choice == choices[0]), eq(true));
        counts[choices[0].unwrap_or(0)] += 1;
    }
    assert_that!(
        counts.iter().all(|count| *count >= 8),
        eq(true),
        "{counts:?}"
    );
}

/// Guards against a shared part that attracts requests to a server until they queue there.
#[test]
fn load_outweighs_shared_parts() {
    let candidates = vec![candidate("s1", "a"), candidate("s2", "a")];
    candidates[0].record_sent_parts(&facts(1));
    let chooser = chooser();
    assert_that!(chooser.choose(&candidates, &facts(1), at(0)), some(eq(0)));
    let guards: Vec<_> = (0..3)
        .map(|_| LoadGuard::new(candidates[0].load.clone(), 9_000))
        .collect();
    assert_that!(chooser.choose(&candidates, &facts(1), at(0)), some(eq(1)));
    drop(guards);
    assert_that!(chooser.choose(&candidates, &facts(1), at(0)), some(eq(0)));
}

struct HealthCase {
    name: &'static str,
    /// Numbers of answered and failed requests by server.
    counts: [(u32, u32); 3],
    suspect: Option<&'static str>,
}

/// Guards against a partly failing server that keeps getting requests, and against avoiding peers that all fail a
/// little.
#[test]
fn a_server_that_fails_more_than_its_peers_is_suspect() {
    let cases = [
        HealthCase {
            name: "partly failing",
            counts: [(6, 5), (12, 1), (10, 0)],
            suspect: Some("s0"),
        },
        HealthCase {
            name: "all fail",
            counts: [(6, 5), (7, 5), (6, 4)],
            suspect: None,
        },
        HealthCase {
            name: "too few failures",
            counts: [(1, 2), (12, 0), (10, 0)],
            suspect: None,
        },
        HealthCase {
            name: "a small share of failures",
            counts: [(20, 4), (20, 1), (20, 0)],
            suspect: None,
        },
    ];
    let peers = [name("s0"), name("s1"), name("s2")];
    for case in cases {
        let mut health = BackendHealth::default();
        for (peer, (succeeded, failed)) in peers.iter().zip(case.counts) {
            health.add(peer, succeeded, failed, at(0));
        }
        let suspects = health.suspects(&peers, at(1000));
        let first = suspects.first().map(|suspect| suspect.to_string());
        assert_that!(first.as_deref(), eq(case.suspect), "{}", case.name);
        let later = health.suspects(&peers, at(0) + Duration::from_secs(5));
        assert_that!(later.len(), eq(0), "{}", case.name);
    }
}
