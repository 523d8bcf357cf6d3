//! Whether a request may go on at another server while the first one may still work on it.

use googletest::prelude::*;
use zinniahinge_serving::EngineRuns;
use zinniahinge_serving::RunEvidence;

struct EvidenceCase {
    name: &'static str,
    born_ms: u64,
    count: Option<u64>,
    attempts: Option<&'static [&'static str]>,
    evidence: RunEvidence,
    /// Allowed after silence, and after the connection ended.
    allowed: (bool, bool),
}

const CASES: [EvidenceCase; 7] = [
    EvidenceCase {
        name: "listed",
        born_ms: 5,
        count: Some(2),
        attempts: Some(&["a", "b"]),
        evidence: RunEvidence::AtWork,
        allowed: (false, false),
    },
    EvidenceCase {
        name: "not listed",
        born_ms: 5,
        count: Some(1),
        attempts: Some(&["b"]),
        evidence: RunEvidence::Over,
        allowed: (true, true),
    },
    EvidenceCase {
        name: "a longer id that begins alike",
        born_ms: 5,
        count: Some(1),
        attempts: Some(&["aa"]),
        evidence: RunEvidence::Over,
        allowed: (true, true),
    },
    EvidenceCase {
        name: "started again under the same id",
        born_ms: 6,
        count: Some(1),
        attempts: None,
        evidence: RunEvidence::Over,
        allowed: (true, true),
    },
    EvidenceCase {
        name: "nothing runs or waits, no list",
        born_ms: 5,
        count: Some(0),
        attempts: None,
        evidence: RunEvidence::Over,
        allowed: (true, true),
    },
    EvidenceCase {
        name: "something runs, no list",
        born_ms: 5,
        count: Some(1),
        attempts: None,
        evidence: RunEvidence::Unknown,
        allowed: (false, true),
    },
    EvidenceCase {
        name: "nothing stated",
        born_ms: 0,
        count: None,
        attempts: None,
        evidence: RunEvidence::Unknown,
        allowed: (false, true),
    },
];

/// Guards against a request that goes on at another server because the first one was silent for a while.
#[gtest]
fn only_a_run_that_is_over_goes_on_elsewhere() {
    for case in &CASES {
        let runs = EngineRuns {
            born_ms: case.born_ms,
            running: case.count,
            waiting: case.count.map(|_| 0),
            attempts: case
                .attempts
                .map(|attempts| attempts.iter().map(|id| (*id).into()).collect()),
        };
        let evidence = runs.evidence("a", 5);
        expect_that!(evidence, eq(case.evidence), "{}", case.name);
        let allowed = [false, true].map(|is_lost| evidence.allows_another_server(is_lost));
        expect_that!((allowed[0], allowed[1]), eq(case.allowed), "{}", case.name);
    }
}
