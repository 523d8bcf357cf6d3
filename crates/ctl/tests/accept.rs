//! Guards against an acceptance that overwrites another one or misreports a lost answer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use zinniahinge_ctl::AcceptFlow;
use zinniahinge_ctl::AcceptOutcome;
use zinniahinge_ctl::ExitStatus;
use zinniahinge_ctl::RecordStore;
use zinniahinge_document::DocumentRecord;
use zinniahinge_kv::CasOutcome;
use zinniahinge_kv::KvEntry;
use zinniahinge_kv::KvError;

/// What happens to one call of the fake store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Works,
    NotSent,
    /// The write takes effect and its answer is lost.
    LostAfter,
    /// The write is lost on its way.
    LostBefore,
    /// As [`Step::LostAfter`]; then somebody else replaces the document.
    LostAndReplaced,
    /// As [`Step::LostBefore`]; then somebody else replaces the document.
    LostAndOvertaken,
    /// Somebody else replaces the document just before the write.
    Overtaken,
}

#[derive(Default)]
struct FakeState {
    entries: Vec<KvEntry>,
    reads: VecDeque<Step>,
    writes: VecDeque<Step>,
    is_compacted: bool,
}

impl FakeState {
    fn put(&mut self, key: &str, value: Bytes) -> u64 {
        let mod_revision = self.entries.last().map_or(6, |last| last.mod_revision) + 1;
        self.entries.push(KvEntry {
            key: key.into(),
            value,
            mod_revision,
            create_revision: 7,
        });
        mod_revision
    }

    fn put_theirs(&mut self, key: &str) {
        let theirs = record_value("theirs");
        self.put(key, theirs);
    }

    fn get(&mut self) -> Result<Option<KvEntry>, KvError> {
        match self.reads.pop_front().unwrap_or(Step::Works) {
            Step::Works => Ok(self.entries.last().cloned()),
            step => Err(step_error(step)),
        }
    }

    fn swap(&mut self, key: &str, expected: u64, value: Bytes) -> Result<CasOutcome, KvError> {
        let step = self.writes.pop_front().unwrap_or(Step::Works);
        if step == Step::Overtaken {
            self.put_theirs(key);
        }
        if self.entries.last().map_or(0, |last| last.mod_revision) != expected {
            let current = self.entries.last().cloned();
            return Ok(CasOutcome::Conflict { current });
        }
        if matches!(step, Step::Works | Step::LostAfter | Step::LostAndReplaced) {
            let revision = self.put(key, value);
            if step == Step::Works {
                return Ok(CasOutcome::Swapped { revision });
            }
        }
        if matches!(step, Step::LostAndReplaced | Step::LostAndOvertaken) {
            self.put_theirs(key);
        }
        Err(step_error(step))
    }

    fn history(&self, revisions: std::ops::RangeInclusive<u64>) -> Result<Vec<KvEntry>, KvError> {
        if self.is_compacted {
            return Err(KvError::WatchCompacted { compacted: 99 });
        }
        let entries = self.entries.iter();
        let in_range = entries.filter(|entry| revisions.contains(&entry.mod_revision));
        Ok(in_range.cloned().collect())
    }
}

fn record_value(text: &str) -> Bytes {
    let value = DocumentRecord::new(text).to_json();
    value.expect("a text is valid JSON").into()
}

fn locked(state: &Mutex<FakeState>) -> MutexGuard<'_, FakeState> {
    state.lock().expect("a test panicked")
}

fn step_error(step: Step) -> KvError {
    let reason = "fake".to_owned();
    match step {
        Step::NotSent => KvError::NotSent { reason },
        _ => KvError::OutcomeUnknown { reason },
    }
}

fn fake_store(state: Arc<Mutex<FakeState>>) -> RecordStore {
    let (reads, writes, past) = (state.clone(), state.clone(), state);
    RecordStore {
        get: Box::new(move |_| Box::pin(std::future::ready(locked(&reads).get()))),
        compare_and_swap: Box::new(move |key, expected, value| {
            let outcome = locked(&writes).swap(&key, expected, value);
            Box::pin(std::future::ready(outcome))
        }),
        list: Box::new(|_| Box::pin(std::future::ready(Ok(Vec::new())))),
        history: Box::new(move |_, revisions| {
            Box::pin(std::future::ready(locked(&past).history(revisions)))
        }),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Accepted(u64),
    AlreadyInForce(u64),
    Replaced(u64, u64),
    /// Whether the base is known, and whether mine may have been in force.
    Conflict(bool, bool),
    NothingWritten,
    Unresolved,
}

struct AcceptCase {
    name: &'static str,
    reviewed: u64,
    text: &'static str,
    reads: &'static [Step],
    writes: &'static [Step],
    is_compacted: bool,
    expected: Expected,
}

const CASE: AcceptCase = AcceptCase {
    name: "reviewed revision is in force",
    reviewed: 7,
    text: "mine",
    reads: &[],
    writes: &[],
    is_compacted: false,
    expected: Expected::Accepted(8),
};

#[rustfmt::skip]
fn cases() -> Vec<AcceptCase> {
    use Step::*;
    let case = |name, reads, writes, expected| AcceptCase { name, reads, writes, expected, ..CASE };
    let lost: &[Step] = &[LostBefore; 9];
    vec![
        CASE,
        case("lost after the effect", &[], &[LostAfter], Expected::Accepted(8)),
        case("lost before the effect", &[], &[LostBefore], Expected::Accepted(8)),
        case("lost, then unreadable", &[Works, LostBefore, NotSent], &[LostAfter], Expected::Accepted(8)),
        case("not sent at first", &[NotSent], &[NotSent], Expected::Accepted(8)),
        case("lost, then replaced", &[], &[LostAndReplaced], Expected::Replaced(8, 9)),
        case("lost, and overtaken", &[], &[LostAndOvertaken], Expected::Conflict(true, false)),
        case("overtaken", &[], &[Overtaken], Expected::Conflict(true, false)),
        case("never sent", &[], &[NotSent; 9], Expected::NothingWritten),
        case("never readable", lost, &[], Expected::NothingWritten),
        case("never answered", &[], lost, Expected::Unresolved),
        case("never readable after a lost answer",
            &[Works, NotSent, NotSent, NotSent, NotSent], &[LostAfter], Expected::Unresolved),
        AcceptCase { name: "same text", text: "base", expected: Expected::AlreadyInForce(7), ..CASE },
        AcceptCase { name: "nothing reviewed", reviewed: 0, expected: Expected::Conflict(false, false), ..CASE },
        AcceptCase { name: "lost and replaced, history gone", writes: &[LostAndReplaced], is_compacted: true,
            expected: Expected::Conflict(true, true), ..CASE },
        AcceptCase { name: "older revision, history gone", reviewed: 5, is_compacted: true,
            expected: Expected::Conflict(false, false), ..CASE },
        AcceptCase { name: "older revision reviewed", reviewed: 5, expected: Expected::Conflict(false, false), ..CASE },
    ]
}

#[gtest]
#[tokio::test]
async fn acceptance_reports_what_happened() {
    for case in cases() {
        let key = DocumentRecord::key("svc");
        let mut state = FakeState {
            reads: case.reads.iter().copied().collect(),
            writes: case.writes.iter().copied().collect(),
            is_compacted: case.is_compacted,
            ..FakeState::default()
        };
        state.put(&key, record_value("base"));
        let state = Arc::new(Mutex::new(state));
        let store = fake_store(state.clone());
        let flow = AcceptFlow {
            store: &store,
            service: "svc",
            record: DocumentRecord::new(case.text),
            reviewed: case.reviewed,
            attempts: AcceptFlow::ATTEMPTS,
            pause: Duration::ZERO,
        };
        let found = match flow.run().await {
            Ok(AcceptOutcome::Accepted { revision }) => Expected::Accepted(revision),
            Ok(AcceptOutcome::AlreadyInForce { revision }) => Expected::AlreadyInForce(revision),
            Ok(AcceptOutcome::Replaced { accepted, current }) => {
                Expected::Replaced(accepted, current)
            }
            Ok(AcceptOutcome::Conflict(conflict)) => {
                Expected::Conflict(conflict.base.is_some(), conflict.may_have_been_in_force)
            }
            Err(error) => {
                expect_that!(error.status(), eq(ExitStatus::Failure));
                match error.to_string().contains("nothing was written") {
                    true => Expected::NothingWritten,
                    false => Expected::Unresolved,
                }
            }
        };
        expect_that!(found, eq(case.expected), "{}", case.name);
        let entries = &state.lock().unwrap().entries;
        let is_mine = |entry: &&KvEntry| entry.value == flow.record.to_json().unwrap();
        let written = entries.iter().filter(is_mine).count();
        expect_that!(written, le(1), "{}", case.name);
    }
}
