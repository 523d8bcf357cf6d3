//! Prompt parts that crash backend servers: which part is blocked after which crashes, and which never are.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_serving::PartLedger;
use zinniahinge_types::BlockedParts;
use zinniahinge_types::CutRequest;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PartProgress;
use zinniahinge_types::PartReport;

/// Parts of the prompts: the one at the start of all of them, one that crashes servers, and others.
const FIRST: u64 = 1;
const CRASHING: u64 = 2;
const SOUND: u64 = 3;
const RARE: u64 = 4;

/// Parts combined with one of two models.
const FIRST_M1: u64 = 101;
const CRASHING_M1: u64 = 102;
const FIRST_M2: u64 = 201;
const CRASHING_M2: u64 = 202;

/// Time within which all hosts report.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// Time of the last settlement of each case, milliseconds.
const END_MS: u64 = 20_000;

/// Steps of a case, in the order of time.
#[derive(Clone, Copy)]
enum Step {
    /// A request with these parts broke off at the server with this number.
    Cut(u64, u32, &'static [u64]),
    /// The same, and the parts combined with the request's model.
    ModelCut(u64, u32, &'static [u64], &'static [u64]),
    /// Answers got under way, each with these parts.
    Progress(u64, u32, &'static [u64]),
}

use Step::Cut;
use Step::ModelCut;
use Step::Progress;

struct LedgerCase {
    name: &'static str,
    steps: &'static [Step],
    /// Parts that are blocked at the end.
    blocked: &'static [u64],
}

fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(time_ms)
}

fn host() -> HostId {
    HostId::from("h1")
}

/// A report of a request that broke off at once before, under an id made of its time and server.
fn cut_report(time_ms: u64, server: u32, parts: &[u64]) -> PartReport {
    let cut = CutRequest {
        attempt_id: format!("{time_ms}-{server}-{parts:?}").into(),
        backend: format!("s{server}").into(),
        address: ([10, 0, 0, server as u8], 80).into(),
        age_ms: 0,
        parts: parts.to_vec(),
        model_parts: Vec::new(),
    };
    PartReport {
        cut: vec![cut],
        ..PartReport::default()
    }
}

/// The same for a request to a model, with the ids of its parts combined with the model.
fn model_cut_report(time_ms: u64, server: u32, parts: &[u64], model_parts: &[u64]) -> PartReport {
    let mut report = cut_report(time_ms, server, parts);
    for cut in &mut report.cut {
        cut.model_parts = model_parts.to_vec();
    }
    report
}

fn progress_report(requests: u32, parts: &[u64]) -> PartReport {
    let progressed = parts.iter().map(|part| PartProgress {
        part: *part,
        age_ms: 0,
    });
    PartReport {
        progressed: progressed.collect(),
        progressed_requests: requests,
        ..PartReport::default()
    }
}

fn new_ledger() -> PartLedger {
    PartLedger::new(&BlockedParts::default(), 1 << 24, at(0))
}

/// Plays the steps, with a settlement after each and at the end.
fn play(steps: &[Step]) -> PartLedger {
    let mut ledger = new_ledger();
    for step in steps {
        let (time_ms, report) = match step {
            Cut(time_ms, server, parts) => (*time_ms, cut_report(*time_ms, *server, parts)),
            ModelCut(time_ms, server, parts, model_parts) => (
                *time_ms,
                model_cut_report(*time_ms, *server, parts, model_parts),
            ),
            Progress(time_ms, requests, parts) => (*time_ms, progress_report(*requests, parts)),
        };
        ledger.apply(&host(), &report, at(time_ms));
        ledger.settle(REPORT_LAG, at(time_ms));
    }
    ledger.settle(REPORT_LAG, at(END_MS));
    ledger
}

fn blocked_parts(ledger: &PartLedger) -> Vec<u64> {
    let message = ledger.changes_since(0, at(END_MS));
    let parts = message.into_iter().flat_map(|message| message.parts);
    parts.map(|entry| entry.part).collect()
}

/// Guards against a part that goes on crashing servers, and against sound parts that are blocked because of crashes with
/// another cause.
#[test]
fn only_the_part_that_crashes_servers_is_blocked() {
    let cases = [
        LedgerCase {
            name: "three crashes, other requests are answered",
            steps: &[
                Cut(3000, 1, &[FIRST, CRASHING]),
                Progress(3300, 5, &[FIRST, SOUND]),
                Cut(3500, 2, &[FIRST, CRASHING]),
                Progress(3800, 5, &[FIRST, SOUND]),
                Cut(4000, 3, &[FIRST, CRASHING]),
                Progress(4300, 5, &[FIRST, SOUND]),
            ],
            blocked: &[CRASHING],
        },
        LedgerCase {
            name: "two crashes only",
            steps: &[
                Cut(3000, 1, &[FIRST, CRASHING]),
                Progress(3300, 50, &[FIRST]),
                Cut(3500, 2, &[FIRST, CRASHING]),
            ],
            blocked: &[],
        },
        LedgerCase {
            name: "requests beside it break off with the servers",
            steps: &[
                Cut(3000, 1, &[FIRST, CRASHING]),
                Cut(3000, 1, &[FIRST, SOUND]),
                Progress(3300, 40, &[FIRST, SOUND]),
                Cut(3500, 2, &[FIRST, CRASHING]),
                Cut(3500, 2, &[FIRST, RARE]),
                Cut(4000, 3, &[FIRST, CRASHING]),
                Cut(4000, 3, &[FIRST, RARE]),
                Progress(4300, 40, &[FIRST]),
                Cut(4500, 4, &[FIRST, CRASHING]),
                Cut(4500, 4, &[FIRST, RARE]),
            ],
            blocked: &[CRASHING],
        },
        LedgerCase {
            name: "of parts that share all of their crashes, the later one is blocked",
            steps: &[
                Progress(2000, 50, &[SOUND]),
                Cut(3000, 1, &[RARE, CRASHING]),
                Cut(3500, 2, &[RARE, CRASHING]),
                Cut(4000, 3, &[RARE, CRASHING]),
                Progress(4600, 50, &[SOUND]),
            ],
            blocked: &[CRASHING],
        },
        LedgerCase {
            name: "one crash without the blocked part does not make the earlier one suspect",
            steps: &[
                Progress(2000, 50, &[SOUND]),
                Cut(3000, 1, &[RARE, CRASHING]),
                Cut(3500, 2, &[RARE, CRASHING]),
                Cut(4000, 3, &[RARE, CRASHING]),
                Progress(4600, 50, &[SOUND]),
                Cut(6000, 4, &[RARE, SOUND]),
                Progress(6600, 50, &[SOUND]),
            ],
            blocked: &[CRASHING],
        },
        LedgerCase {
            name: "the earlier one is blocked, too, if it goes on crashing servers",
            steps: &[
                Progress(2000, 50, &[SOUND]),
                Cut(3000, 1, &[RARE, CRASHING]),
                Cut(3500, 2, &[RARE, CRASHING]),
                Cut(4000, 3, &[RARE, CRASHING]),
                Progress(4600, 50, &[SOUND]),
                Cut(6000, 4, &[RARE, SOUND]),
                Progress(6600, 50, &[SOUND]),
                Cut(8000, 5, &[RARE, SOUND]),
                Progress(8600, 50, &[SOUND]),
            ],
            blocked: &[CRASHING, RARE],
        },
        LedgerCase {
            name: "a part that is answered without the blocked one is sound",
            steps: &[
                Progress(2000, 50, &[SOUND]),
                Cut(3000, 1, &[RARE, CRASHING]),
                Cut(3500, 2, &[RARE, CRASHING]),
                Cut(4000, 3, &[RARE, CRASHING]),
                Progress(5000, 50, &[RARE, SOUND]),
                Cut(6000, 4, &[RARE, SOUND]),
                Cut(8000, 5, &[RARE, SOUND]),
                Progress(8600, 50, &[SOUND]),
            ],
            blocked: &[CRASHING],
        },
        LedgerCase {
            name: "a part crashes servers with one model and is answered with another",
            steps: &[
                ModelCut(3000, 1, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                Progress(3300, 5, &[FIRST, CRASHING, FIRST_M2, CRASHING_M2]),
                ModelCut(3500, 2, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                Progress(3800, 5, &[FIRST, CRASHING, FIRST_M2, CRASHING_M2]),
                ModelCut(4000, 3, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                Progress(4300, 5, &[FIRST, CRASHING, FIRST_M2, CRASHING_M2]),
            ],
            blocked: &[CRASHING_M1],
        },
        LedgerCase {
            name: "a part crashes servers with every model",
            steps: &[
                ModelCut(3000, 1, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                Progress(3300, 5, &[FIRST, FIRST_M1]),
                ModelCut(3500, 2, &[FIRST, CRASHING], &[FIRST_M2, CRASHING_M2]),
                Progress(3800, 5, &[FIRST, FIRST_M2]),
                ModelCut(4000, 3, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                Progress(4300, 5, &[FIRST, FIRST_M1]),
            ],
            blocked: &[CRASHING],
        },
        LedgerCase {
            name: "a part crashes servers with one model, and then with another",
            steps: &[
                ModelCut(3000, 1, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                ModelCut(3500, 2, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                ModelCut(4000, 3, &[FIRST, CRASHING], &[FIRST_M1, CRASHING_M1]),
                Progress(4300, 50, &[FIRST, FIRST_M1, FIRST_M2]),
                ModelCut(6000, 4, &[FIRST, CRASHING], &[FIRST_M2, CRASHING_M2]),
                Progress(6300, 50, &[FIRST, FIRST_M1, FIRST_M2]),
                ModelCut(8000, 5, &[FIRST, CRASHING], &[FIRST_M2, CRASHING_M2]),
                Progress(8300, 50, &[FIRST, FIRST_M1, FIRST_M2]),
            ],
            blocked: &[CRASHING, CRASHING_M1],
        },
        LedgerCase {
            name: "one bad server ends under anything",
            steps: &[
                Cut(3000, 1, &[FIRST, RARE]),
                Cut(5000, 1, &[FIRST, RARE]),
                Cut(7000, 1, &[FIRST, RARE]),
                Cut(9000, 1, &[FIRST, RARE]),
                Progress(9500, 100, &[FIRST]),
            ],
            blocked: &[],
        },
        LedgerCase {
            name: "a rack of servers is lost at once",
            steps: &[
                Progress(2900, 100, &[FIRST]),
                Cut(3000, 1, &[FIRST, RARE]),
                Cut(3010, 2, &[FIRST, RARE]),
                Cut(3020, 3, &[FIRST, RARE]),
                Cut(3050, 4, &[FIRST, RARE]),
                Cut(3060, 5, &[FIRST, RARE]),
                Progress(3900, 100, &[SOUND]),
            ],
            blocked: &[],
        },
        LedgerCase {
            name: "all servers of a service are lost one after the other",
            steps: &[
                Progress(2900, 100, &[FIRST, SOUND]),
                Cut(3000, 1, &[FIRST, SOUND]),
                Cut(3000, 1, &[FIRST, RARE]),
                Cut(3300, 2, &[FIRST, SOUND]),
                Cut(3300, 2, &[FIRST, RARE]),
                Cut(3600, 3, &[FIRST, SOUND]),
                Cut(3600, 3, &[FIRST, RARE]),
                Cut(3900, 4, &[FIRST, SOUND]),
                Cut(3900, 4, &[FIRST, RARE]),
                Cut(4200, 5, &[FIRST, SOUND]),
            ],
            blocked: &[],
        },
        LedgerCase {
            name: "a busy part is answered between crashes of a release",
            steps: &[
                Cut(3000, 1, &[FIRST, SOUND]),
                Progress(3100, 4, &[FIRST, SOUND]),
                Cut(4000, 2, &[FIRST, SOUND]),
                Progress(4100, 4, &[FIRST, SOUND]),
                Cut(5000, 3, &[FIRST, SOUND]),
                Progress(5100, 4, &[FIRST, SOUND]),
                Cut(6000, 4, &[FIRST, SOUND]),
                Cut(7000, 5, &[FIRST, SOUND]),
            ],
            blocked: &[],
        },
        LedgerCase {
            name: "a part that was sound begins to crash servers",
            steps: &[
                Progress(2000, 50, &[FIRST, CRASHING]),
                Cut(3000, 1, &[FIRST, CRASHING]),
                Progress(3100, 20, &[FIRST]),
                Cut(4000, 2, &[FIRST, CRASHING]),
                Progress(4100, 20, &[FIRST]),
                Cut(5000, 3, &[FIRST, CRASHING]),
                Progress(5100, 20, &[FIRST]),
                Cut(6000, 4, &[FIRST, CRASHING]),
                Progress(6100, 20, &[FIRST]),
                Cut(7000, 5, &[FIRST, CRASHING]),
                Progress(7100, 20, &[FIRST]),
            ],
            blocked: &[CRASHING],
        },
        LedgerCase {
            name: "two parts crash servers",
            steps: &[
                Cut(3000, 1, &[FIRST, CRASHING]),
                Cut(3200, 2, &[FIRST, RARE]),
                Progress(3300, 40, &[FIRST]),
                Cut(3500, 3, &[FIRST, CRASHING]),
                Cut(3700, 4, &[FIRST, RARE]),
                Progress(3800, 40, &[FIRST]),
                Cut(4000, 5, &[FIRST, CRASHING]),
                Cut(4200, 6, &[FIRST, RARE]),
                Progress(4300, 40, &[FIRST]),
                Progress(6000, 40, &[FIRST]),
            ],
            blocked: &[CRASHING, RARE],
        },
    ];
    for case in cases {
        let blocked = blocked_parts(&play(case.steps));
        assert_that!(blocked, eq(&case.blocked.to_vec()), "{}", case.name);
    }
}

/// Steps after which the crashing part is blocked.
const CRASHES: [Step; 4] = [
    Cut(3000, 1, &[FIRST, CRASHING]),
    Cut(3500, 2, &[FIRST, CRASHING]),
    Cut(4000, 3, &[FIRST, CRASHING]),
    Progress(4300, 60, &[FIRST]),
];

fn refusal_report() -> PartReport {
    PartReport {
        refused: vec![CRASHING],
        ..PartReport::default()
    }
}

/// Host that has the trial of the crashing part at `time_ms`, and the number of failed trials.
fn trial(ledger: &PartLedger, time_ms: u64) -> (Option<HostId>, u32) {
    let message = ledger.changes_since(0, at(time_ms)).unwrap_or_default();
    let entry = message.find(CRASHING).cloned();
    entry.map_or((None, 0), |entry| (entry.trial_host, entry.failed_trials))
}

/// Guards against a block without end, against several hosts that try a part at once, and against trials that go on
/// crashing servers.
#[test]
fn a_blocked_part_is_tried_by_one_host_and_released_if_sound() {
    let mut ledger = play(&CRASHES);
    assert_that!(blocked_parts(&ledger), eq(&vec![CRASHING]));
    ledger.apply(&host(), &refusal_report(), at(END_MS));
    assert_that!(trial(&ledger, END_MS), eq(&(None, 0)), "not due");

    let due = END_MS + 120_000;
    ledger.apply(&host(), &refusal_report(), at(due));
    ledger.apply(&"h2".into(), &refusal_report(), at(due + 10));
    assert_that!(trial(&ledger, due + 10), eq(&(Some(host()), 0)), "one host");

    let report = cut_report(due + 1000, 7, &[FIRST, CRASHING]);
    ledger.apply(&host(), &report, at(due + 1000));
    ledger.apply(&host(), &refusal_report(), at(due + 121_000));
    assert_that!(trial(&ledger, due + 121_000), eq(&(None, 1)), "failed");

    let again = due + 241_000;
    ledger.apply(&"h2".into(), &refusal_report(), at(again));
    assert_that!(
        trial(&ledger, again),
        eq(&(Some("h2".into()), 1)),
        "due again"
    );
    let report = progress_report(1, &[FIRST, CRASHING]);
    ledger.apply(&"h2".into(), &report, at(again + 1000));
    assert_that!(blocked_parts(&ledger), eq(&Vec::<u64>::new()), "sound");
    let decisions = ledger.settle(REPORT_LAG, at(again + 1000));
    assert_that!(decisions.released.to_vec(), eq(&vec![CRASHING]));
}

/// Guards against a new coordinator that forgets blocked parts, and against one that blocks sound parts because it hears
/// of crashes before it hears of answers.
#[test]
fn a_new_coordinator_keeps_blocked_parts_and_waits_for_first_reports() {
    let known = play(&CRASHES)
        .changes_since(0, at(END_MS))
        .unwrap_or_default();
    let stored = PartLedger::new(&known, 2 << 24, at(0));
    assert_that!(blocked_parts(&stored), eq(&vec![CRASHING]));

    let mut told = PartLedger::new(&BlockedParts::default(), 2 << 24, at(0));
    let report = PartReport {
        prior_blocked: Some(known),
        ..PartReport::default()
    };
    told.apply(&host(), &report, at(100));
    assert_that!(blocked_parts(&told), eq(&vec![CRASHING]));
    assert_that!(
        told.unstored(at(100)).is_some(),
        eq(true),
        "goes to the store"
    );

    let mut ledger = new_ledger();
    for (server, age_ms) in [(1, 9000), (2, 6000), (3, 3000)] {
        let mut report = cut_report(server.into(), server, &[FIRST, SOUND]);
        report.cut[0].age_ms = age_ms;
        report.progressed_requests = 20;
        ledger.apply(&host(), &report, at(10_000));
    }
    let mut late = new_ledger();
    std::mem::swap(&mut ledger, &mut late);
    let report = progress_report(20, &[FIRST, SOUND]);
    late.apply(&host(), &report, at(10_900));
    late.settle(REPORT_LAG, at(20_000));
    assert_that!(blocked_parts(&late), eq(&Vec::<u64>::new()));
}

/// Guards against memory that grows with ever new parts.
#[test]
fn ever_new_parts_take_bounded_memory() {
    let mut ledger = new_ledger();
    for number in 0..20_000_u64 {
        let parts = [1000 + 3 * number, 1001 + 3 * number, 1002 + 3 * number];
        let server = (number % 200) as u32;
        let time_ms = 2000 + number * 10;
        ledger.apply(&host(), &cut_report(time_ms, server, &parts), at(time_ms));
        ledger.apply(&host(), &progress_report(1, &parts), at(time_ms));
        if number % 100 == 0 {
            ledger.settle(REPORT_LAG, at(time_ms));
        }
    }
    let kept = ledger.kept();
    assert_that!(kept.crashes, le(128));
    assert_that!(kept.parts, le(8192));
    assert_that!(blocked_parts(&ledger), eq(&Vec::<u64>::new()));
}
