//! Whether a request may go on at another server while the first one may still work on it.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::EngineRuns;
use zinniahinge_serving::MAX_REPORT_AGE;
use zinniahinge_serving::RunEvidence;
use zinniahinge_serving::RunLookup;
use zinniahinge_serving::SentRun;
use zinniahinge_types::MonotonicTime;

/// When the request had arrived at the first server.
const ARRIVED_BY: MonotonicTime = MonotonicTime::from_millis(5000);

/// A report.
struct ReportCase {
    name: &'static str,
    born_ms: u64,
    /// Requests that run, and requests that wait.
    counts: Option<(u64, u64)>,
    attempts: Option<&'static [&'static str]>,
    /// Time from the arrival of the request to the question.
    asked_after: Duration,
    evidence: RunEvidence,
    /// True if the request may go on at another server.
    is_over: bool,
}

const BASE: ReportCase = ReportCase {
    name: "",
    born_ms: 5,
    counts: Some((1, 0)),
    attempts: Some(&["b"]),
    asked_after: MAX_REPORT_AGE,
    evidence: RunEvidence::NotListed,
    is_over: true,
};

const REPORT_CASES: [ReportCase; 17] = [
    ReportCase {
        name: "listed",
        counts: Some((2, 0)),
        attempts: Some(&["a", "b"]),
        evidence: RunEvidence::AtWork,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "listed by an old report",
        counts: Some((2, 0)),
        attempts: Some(&["a", "b"]),
        asked_after: Duration::ZERO,
        evidence: RunEvidence::AtWork,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "not listed",
        ..BASE
    },
    ReportCase {
        name: "a longer id that begins alike",
        attempts: Some(&["aa"]),
        ..BASE
    },
    ReportCase {
        name: "not listed, the report may be from before the request",
        asked_after: Duration::from_millis(999),
        evidence: RunEvidence::OldReport,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "nothing runs or waits, the report may be from before the request",
        counts: Some((0, 0)),
        attempts: Some(&[]),
        asked_after: Duration::ZERO,
        evidence: RunEvidence::OldReport,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "not listed, another request waits",
        counts: Some((1, 1)),
        evidence: RunEvidence::MayWait,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "not listed, a running request is not listed either",
        counts: Some((2, 0)),
        evidence: RunEvidence::MayWait,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "not listed, the number of requests is not stated",
        counts: None,
        evidence: RunEvidence::NotStated,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "started again under the same id",
        born_ms: 6,
        evidence: RunEvidence::StartedAgain,
        ..BASE
    },
    ReportCase {
        name: "started again, nothing runs or waits, no list",
        born_ms: 6,
        counts: Some((0, 0)),
        attempts: None,
        evidence: RunEvidence::StartedAgain,
        ..BASE
    },
    ReportCase {
        name: "started again, the request may have met the new start after the report",
        born_ms: 6,
        asked_after: Duration::from_millis(999),
        evidence: RunEvidence::OldReport,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "started again, the request may wait at the new start",
        born_ms: 6,
        counts: Some((1, 1)),
        evidence: RunEvidence::MayWait,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "started again, something runs, no list",
        born_ms: 6,
        attempts: None,
        evidence: RunEvidence::NotStated,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "nothing runs or waits, no list",
        counts: Some((0, 0)),
        attempts: None,
        ..BASE
    },
    ReportCase {
        name: "something runs, no list",
        attempts: None,
        evidence: RunEvidence::NotStated,
        is_over: false,
        ..BASE
    },
    ReportCase {
        name: "nothing stated",
        born_ms: 0,
        counts: None,
        attempts: None,
        evidence: RunEvidence::NotStated,
        is_over: false,
        ..BASE
    },
];

fn sent_run() -> SentRun {
    SentRun {
        attempt: "a".into(),
        born_ms: 5,
        arrived_by: ARRIVED_BY,
    }
}

/// Guards against a request that goes on at another server because a report says too little.
#[gtest]
fn only_a_report_that_shows_the_end_of_a_run_lets_it_go_on_elsewhere() {
    for case in &REPORT_CASES {
        let list = |attempts: &[&str]| attempts.iter().map(|id| (*id).into()).collect();
        let runs = EngineRuns {
            born_ms: case.born_ms,
            running: case.counts.map(|counts| counts.0),
            waiting: case.counts.map(|counts| counts.1),
            attempts: case.attempts.map(list),
        };
        let asked_at = ARRIVED_BY + case.asked_after;
        let evidence = sent_run().evidence(&RunLookup::Report(runs), asked_at, true);
        expect_that!(evidence, eq(case.evidence), "{}", case.name);
        expect_that!(evidence.proves_end(), eq(case.is_over), "{}", case.name);
    }
}

/// No report.
struct FailureCase {
    lookup: RunLookup,
    /// True if the platform still lists the server.
    is_listed: bool,
    evidence: RunEvidence,
    is_over: bool,
}

/// Guards against a request that goes on at another server because the first one gave no answer.
#[gtest]
fn a_server_without_an_answer_is_not_taken_for_one_that_has_ended() {
    let no_connection = || RunLookup::NoConnection("refused".to_owned());
    let no_answer = || RunLookup::NoAnswer("time-out".to_owned());
    let cases = [
        FailureCase {
            lookup: RunLookup::OtherServer,
            is_listed: true,
            evidence: RunEvidence::OtherServer,
            is_over: true,
        },
        FailureCase {
            lookup: no_connection(),
            is_listed: true,
            evidence: RunEvidence::NoConnection,
            is_over: false,
        },
        FailureCase {
            lookup: no_connection(),
            is_listed: false,
            evidence: RunEvidence::Gone,
            is_over: true,
        },
        FailureCase {
            lookup: no_answer(),
            is_listed: true,
            evidence: RunEvidence::NoAnswer,
            is_over: false,
        },
        FailureCase {
            lookup: no_answer(),
            is_listed: false,
            evidence: RunEvidence::NoAnswer,
            is_over: false,
        },
    ];
    for case in &cases {
        let asked_at = ARRIVED_BY + MAX_REPORT_AGE;
        let evidence = sent_run().evidence(&case.lookup, asked_at, case.is_listed);
        let name = format!("{:?}, listed {}", case.lookup, case.is_listed);
        expect_that!(evidence, eq(case.evidence), "{name}");
        expect_that!(evidence.proves_end(), eq(case.is_over), "{name}");
    }
}
