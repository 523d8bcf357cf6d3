//! Checks invariants I9 and I10 of the idempotency table: inside its window a key runs at most one request, despite
//! repeats, handovers, takeovers and late messages.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::proptest;
use zinniahinge_limits::BeginDecision;
use zinniahinge_limits::FinishOutcome;
use zinniahinge_limits::IdempotencyKey;
use zinniahinge_limits::IdempotencyRecord;
use zinniahinge_limits::IdempotencySettings;
use zinniahinge_limits::IdempotencyState;
use zinniahinge_limits::IdempotencyTable;
use zinniahinge_limits::RecordPhase;
use zinniahinge_limits::RecordedDecision;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::RequestId;
use zinniahinge_types::StoredAnswer;

const WINDOW_MS: u64 = 1000;

fn settings() -> IdempotencySettings {
    IdempotencySettings {
        window: Duration::from_millis(WINDOW_MS),
        progress_limit: Duration::from_millis(300),
        max_entries: 3,
        max_answer_bytes: 8,
        max_total_bytes: 12,
    }
}

fn key(index: usize) -> IdempotencyKey {
    IdempotencyKey::new(&"account".into(), &index.to_string().into())
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn answer(size: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![7; size],
    }
}

// --------------------------------------------------------------------------------------------

/// Describes one random event; indices are taken modulo the number of attempts or records.
#[derive(Clone, Debug)]
enum Step {
    Begin {
        key: usize,
        mismatch: bool,
    },
    BeginAgain {
        attempt: usize,
    },
    Recorded {
        attempt: usize,
    },
    Finish {
        attempt: usize,
        size: usize,
    },
    /// An abandon message, which may come at any time and repeatedly, but only from attempts that sent nothing.
    Abandon {
        attempt: usize,
    },
    Advance {
        millis: u64,
    },
    Handover,
    /// The owner fails. One of its durable records may be unreadable.
    Takeover {
        lost: Option<usize>,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Progress {
    NotSent,
    Sent { at: u64 },
    Abandoned,
}

/// Describes one attempt to run the request of a key, and what the test knows of it.
struct Attempt {
    key: usize,
    fingerprint: [u8; 32],
    /// Index of the owner that answered `Record` and waits for `confirm_recorded`; `usize::MAX` for none.
    owner: usize,
    /// Time of the `Record` decision in milliseconds.
    begun: u64,
    progress: Progress,
}

/// Runs tables against random events and checks that no key runs twice inside its window.
struct Model {
    /// Tables of all owners so far; the last one decides.
    tables: Vec<IdempotencyTable>,
    /// Current time in milliseconds.
    now: u64,
    attempts: Vec<Attempt>,
    /// Attempts whose record was written durably.
    durable: Vec<usize>,
}

impl Model {
    fn id(attempt: usize) -> RequestId {
        RequestId(attempt as u128)
    }

    /// Runs the request of `attempt`, and fails the test if another attempt of the key ran inside the window.
    fn send(&mut self, attempt: usize) {
        let now = self.now;
        if self.attempts[attempt].progress != Progress::NotSent {
            return;
        }
        let key = self.attempts[attempt].key;
        for (index, other) in self.attempts.iter().enumerate() {
            let Progress::Sent { at } = other.progress else {
                continue;
            };
            let ran_twice = other.key == key && now < at.min(other.begun) + WINDOW_MS;
            assert!(
                !ran_twice,
                "attempts {index} and {attempt} of key {key} both ran"
            );
        }
        self.attempts[attempt].progress = Progress::Sent { at: now };
    }

    fn begin(&mut self, attempt: usize) {
        let entry = &self.attempts[attempt];
        let owner = self.tables.len() - 1;
        let (id, now) = (Self::id(attempt), at(self.now));
        let decision = self.tables[owner].begin(&key(entry.key), &entry.fingerprint, id, now);
        match decision {
            BeginDecision::Record => {
                self.attempts[attempt].owner = owner;
                self.attempts[attempt].begun = self.now;
            }
            BeginDecision::Run => self.send(attempt),
            _ => {}
        }
    }

    fn apply(&mut self, step: &Step) {
        let count = self.attempts.len();
        let current = self.tables.len() - 1;
        match *step {
            Step::Advance { millis } => self.now += millis,
            Step::Begin { key, mismatch } => {
                self.attempts.push(Attempt {
                    key,
                    fingerprint: [u8::from(mismatch); 32],
                    owner: usize::MAX,
                    begun: 0,
                    progress: Progress::NotSent,
                });
                self.begin(count);
            }
            Step::Handover => {
                let state = self.tables[current].export(at(self.now));
                let next = IdempotencyTable::import(settings(), state, at(self.now));
                self.tables.push(next);
            }
            Step::Takeover { lost } => self.take_over(lost),
            _ if count == 0 => {}
            Step::BeginAgain { attempt } => {
                if self.attempts[attempt % count].progress == Progress::NotSent {
                    self.begin(attempt % count);
                }
            }
            Step::Recorded { attempt } => {
                let attempt = attempt % count;
                let Some(table) = self.tables.get_mut(self.attempts[attempt].owner) else {
                    return;
                };
                self.durable.push(attempt);
                let key = key(self.attempts[attempt].key);
                if table.confirm_recorded(&key, Self::id(attempt)) == RecordedDecision::Run {
                    self.send(attempt);
                }
            }
            Step::Finish { attempt, size } => {
                let entry = &self.attempts[attempt % count];
                if matches!(entry.progress, Progress::Sent { .. }) {
                    let outcome = FinishOutcome::Answer(answer(size));
                    let (id, now) = (Self::id(attempt % count), at(self.now));
                    let key = key(entry.key);
                    self.tables[current].finish(&key, &entry.fingerprint, id, outcome, now);
                }
            }
            Step::Abandon { attempt } => {
                let attempt = attempt % count;
                let entry = &mut self.attempts[attempt];
                if !matches!(entry.progress, Progress::Sent { .. }) {
                    entry.progress = Progress::Abandoned;
                    self.tables[current].abandon(&key(entry.key), Self::id(attempt));
                }
            }
        }
    }

    /// Replaces the failed owner by a table read from the durable records. Handlers that waited for durable writes fail
    /// with their owner, so their `confirm_recorded` never comes.
    fn take_over(&mut self, lost: Option<usize>) {
        let records = self
            .durable
            .iter()
            .enumerate()
            .filter_map(|(index, &attempt)| {
                let entry = &self.attempts[attempt];
                (lost.map(|lost| lost % self.durable.len()) != Some(index)).then(|| {
                    IdempotencyRecord {
                        key: key(entry.key),
                        fingerprint: entry.fingerprint,
                        attempt: Some(Self::id(attempt)),
                        age: Duration::from_millis(self.now - entry.begun),
                        phase: RecordPhase::Running,
                    }
                })
            });
        let mut next = IdempotencyTable::new(settings());
        next.recover(records.collect(), lost.is_none(), at(self.now));
        self.tables.push(next);
        self.attempts
            .iter_mut()
            .for_each(|entry| entry.owner = usize::MAX);
    }
}

fn step() -> impl Strategy<Value = Step> {
    let attempt = || 0_usize..24;
    prop_oneof![
        8 => (0_usize..4, prop::bool::weighted(0.1))
            .prop_map(|(key, mismatch)| Step::Begin { key, mismatch }),
        3 => attempt().prop_map(|attempt| Step::BeginAgain { attempt }),
        8 => attempt().prop_map(|attempt| Step::Recorded { attempt }),
        4 => (attempt(), 0_usize..12).prop_map(|(attempt, size)| Step::Finish { attempt, size }),
        4 => attempt().prop_map(|attempt| Step::Abandon { attempt }),
        2 => (0_u64..700).prop_map(|millis| Step::Advance { millis }),
        1 => proptest::strategy::Just(Step::Handover),
        1 => prop::option::of(attempt()).prop_map(|lost| Step::Takeover { lost }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10000))]

    /// Guards against a second run of a key inside its window.
    #[test]
    fn a_key_runs_at_most_once_inside_its_window(
        steps in prop::collection::vec(step(), 1..100),
    ) {
        let mut model = Model {
            tables: vec![IdempotencyTable::new(settings())],
            now: 0,
            attempts: Vec::new(),
            durable: Vec::new(),
        };
        for step in &steps {
            model.apply(step);
        }
    }
}

// --------------------------------------------------------------------------------------------

fn begin(table: &mut IdempotencyTable, index: usize, attempt: u128, now: u64) -> BeginDecision {
    table.begin(&key(index), &[0; 32], RequestId(attempt), at(now))
}

/// Returns a table in which attempt 1 of key 0 has been running since 0 ms.
fn running() -> IdempotencyTable {
    let mut table = IdempotencyTable::new(settings());
    begin(&mut table, 0, 1, 0);
    table.confirm_recorded(&key(0), RequestId(1));
    table
}

fn finish(table: &mut IdempotencyTable, size: usize) -> Option<RecordPhase> {
    let outcome = FinishOutcome::Answer(answer(size));
    table.finish(&key(0), &[0; 32], RequestId(1), outcome, at(10))
}

struct RepeatCase {
    guards: &'static str,
    prepare: fn(&mut IdempotencyTable),
    at_ms: u64,
    decision: BeginDecision,
}

#[gtest]
fn repeats_of_a_key_are_answered_by_its_phase() {
    let case = |guards, prepare, at_ms, decision| RepeatCase {
        guards,
        prepare,
        at_ms,
        decision,
    };
    let stored = BeginDecision::Stored(answer(8).into());
    let finish_small: fn(&mut IdempotencyTable) = |table| drop(finish(table, 8));
    let cases = [
        case("a second run", |_| (), 299, BeginDecision::InProgress),
        case(
            "a key that stays in progress forever",
            |_| (),
            300,
            BeginDecision::OutcomeUnknown,
        ),
        case("a lost response", finish_small, 999, stored),
        case(
            "a key kept too long",
            finish_small,
            1000,
            BeginDecision::Record,
        ),
        case(
            "a response above the size limit in memory",
            |table| drop(finish(table, 9)),
            20,
            BeginDecision::RanAnswerNotKept,
        ),
        case(
            "a key blocked although nothing ran",
            |table| assert!(table.abandon(&key(0), RequestId(1))),
            20,
            BeginDecision::Record,
        ),
        case(
            "an abandon of another attempt releasing the key",
            |table| assert!(!table.abandon(&key(0), RequestId(3))),
            20,
            BeginDecision::InProgress,
        ),
        case(
            "decisions by a former owner",
            |table| drop(table.export(at(20))),
            20,
            BeginDecision::Frozen,
        ),
    ];
    for case in cases {
        let mut table = running();
        (case.prepare)(&mut table);
        let decision = begin(&mut table, 0, 2, case.at_ms);
        expect_that!(
            decision,
            eq(&case.decision),
            "guards against: {}",
            case.guards
        );
    }
    let other = running().begin(&key(0), &[1; 32], RequestId(2), at(1));
    expect_that!(other, eq(&BeginDecision::Mismatch));
    expect_that!(
        begin(&mut running(), 0, 1, 1),
        eq(&BeginDecision::Run),
        "a lost reply to the first message"
    );
}

/// Guards against a late message of another attempt or of an earlier phase changing a record.
#[gtest]
fn late_and_foreign_messages_change_nothing() {
    let mut table = IdempotencyTable::new(settings());
    begin(&mut table, 0, 1, 0);
    let foreign = table.confirm_recorded(&key(0), RequestId(2));
    expect_that!(foreign, eq(RecordedDecision::Withdrawn));
    table.confirm_recorded(&key(0), RequestId(1));
    let outcome = || FinishOutcome::Answer(answer(3));
    let foreign = table.finish(&key(0), &[0; 32], RequestId(2), outcome(), at(1));
    expect_that!(foreign, none());
    expect_that!(finish(&mut table, 8), some(anything()));
    expect_that!(finish(&mut table, 3), none());
    let late = table.confirm_recorded(&key(0), RequestId(1));
    expect_that!(late, eq(RecordedDecision::Withdrawn));
    expect_that!(table.abandon(&key(0), RequestId(1)), eq(false));
    let decision = begin(&mut table, 0, 1, 1);
    expect_that!(decision, eq(&BeginDecision::Stored(answer(8).into())));
}

/// Guards against a former owner that changes records after its state was exported, and against a key that stays
/// blocked because its record was being written during the export.
#[gtest]
fn an_exported_table_changes_nothing_and_drops_unwritten_records() {
    let mut table = running();
    begin(&mut table, 1, 2, 0);
    let state = table.export(at(1));
    expect_that!(table.abandon(&key(0), RequestId(1)), eq(false));
    expect_that!(finish(&mut table, 8), none());
    let bytes = rmp_serde::to_vec_named(&state).unwrap();
    expect_that!(
        rmp_serde::from_slice::<IdempotencyState>(&bytes),
        ok(eq(&state)),
        "the serialized handover state"
    );
    let unwritten = table.confirm_recorded(&key(1), RequestId(2));
    expect_that!(unwritten, eq(RecordedDecision::Frozen));
    let mut moved = IdempotencyTable::import(settings(), state, at(1));
    expect_that!(begin(&mut moved, 1, 2, 1), eq(&BeginDecision::Record));
    expect_that!(finish(&mut moved, 8), some(anything()));
}

/// Guards against removing keys inside the window and against unbounded memory.
#[gtest]
fn a_full_table_refuses_new_keys_and_keeps_old_ones() {
    let mut table = running();
    finish(&mut table, 8);
    begin(&mut table, 1, 2, 1);
    begin(&mut table, 2, 3, 2);
    expect_that!(begin(&mut table, 3, 4, 3), eq(&BeginDecision::Full));
    expect_that!(begin(&mut table, 0, 5, 3), pat!(BeginDecision::Stored(_)));
    table.confirm_recorded(&key(1), RequestId(2));
    let outcome = FinishOutcome::Answer(answer(8));
    let phase = table.finish(&key(1), &[0; 32], RequestId(2), outcome, at(4));
    expect_that!(
        phase,
        some(eq(&RecordPhase::AnswerNotKept)),
        "bodies beyond the total size limit"
    );
    expect_that!(table.answer_bytes(), eq(8));
    expect_that!(begin(&mut table, 3, 6, 1000), eq(&BeginDecision::Record));
    expect_that!(table.answer_bytes(), eq(0));
}

/// Guards against a late abandon of one attempt releasing the key while another attempt runs, when a takeover read the
/// records of both.
#[gtest]
fn two_recovered_attempts_of_a_key_are_answered_unknown() {
    let record = |attempt: u64, phase| IdempotencyRecord {
        key: key(0),
        fingerprint: [0; 32],
        attempt: Some(RequestId(u128::from(attempt))),
        age: Duration::from_millis(900 / attempt),
        phase,
    };
    let mut table = IdempotencyTable::new(settings());
    for (first, second) in [(2, 1), (1, 2)] {
        table = IdempotencyTable::new(settings());
        let records = [first, second].map(|attempt| record(attempt, RecordPhase::Running));
        table.recover(records.to_vec(), true, at(0));
        expect_that!(table.abandon(&key(0), RequestId(1)), eq(false));
        expect_that!(table.abandon(&key(0), RequestId(2)), eq(false));
        let decision = begin(&mut table, 0, 3, 549);
        expect_that!(decision, eq(&BeginDecision::OutcomeUnknown));
        let decision = begin(&mut table.clone(), 0, 3, 550);
        expect_that!(decision, eq(&BeginDecision::Record));
    }
    let answered = RecordPhase::Answered(answer(4).into());
    table.recover(vec![record(2, answered.clone())], true, at(1));
    expect_that!(begin(&mut table, 0, 3, 1), pat!(BeginDecision::Stored(_)));
    table.recover(vec![record(2, answered)], true, at(1));
    expect_that!(table.answer_bytes(), eq(4));
}

/// Guards against a second run after a takeover that could not read all records.
#[gtest]
fn keys_in_doubt_are_answered_unknown_for_a_whole_window() {
    let mut table = IdempotencyTable::new(settings());
    table.recover(Vec::new(), false, at(0));
    expect_that!(
        begin(&mut table, 0, 2, 999),
        eq(&BeginDecision::OutcomeUnknown)
    );
    finish(&mut table, 4);
    expect_that!(begin(&mut table, 0, 2, 999), pat!(BeginDecision::Stored(_)));
    let state = table.export(at(400));
    let mut moved = IdempotencyTable::import(settings(), state, at(0));
    expect_that!(
        begin(&mut moved, 1, 2, 599),
        eq(&BeginDecision::OutcomeUnknown)
    );
    expect_that!(begin(&mut moved, 1, 2, 600), eq(&BeginDecision::Record));
    table.unfreeze();
    table.recover(Vec::new(), true, at(500));
    expect_that!(begin(&mut table, 1, 2, 500), eq(&BeginDecision::Record));
}
