use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::RequestId;
use zinniahinge_types::StoredAnswer;

use crate::BeginDecision;
use crate::FinishOutcome;
use crate::IdempotencyKey;
use crate::IdempotencyRecord;
use crate::IdempotencySettings;
use crate::IdempotencyState;
use crate::RecordPhase;
use crate::RecordedDecision;

/// Length of the order below which removing stale places is not worth its cost. Beyond, it runs when
/// half of the places are stale, so its cost per abandoned key is constant.
const MIN_ORDER_LEN: usize = 64;

/// Idempotency records of one shard.
///
/// Every use of a key carries an attempt id, the id of the request at the entry process. It tells
/// a repeated message of one attempt from another use of the key. Without it, a repeated `abandon`
/// could release the key of a later attempt that is running.
///
/// When the table is full it refuses new keys; it never forgets a key inside the window.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    settings: IdempotencySettings,
    entries: HashMap<IdempotencyKey, TableEntry>,
    /// Keys in the order of their first use; holds a stale pair for a key that was abandoned.
    order: VecDeque<(MonotonicTime, IdempotencyKey)>,
    /// Sum of the stored bodies, bytes.
    answer_bytes: usize,
    /// Until then, an unknown key may have been used under a former owner.
    in_doubt_until: Option<MonotonicTime>,
    frozen: bool,
}

#[derive(Clone, Debug)]
struct TableEntry {
    fingerprint: [u8; 32],
    /// `None` if records of several attempts were found: no message of one attempt may then
    /// release the key.
    attempt: Option<RequestId>,
    expires_at: MonotonicTime,
    phase: RecordPhase,
}

impl IdempotencyTable {
    /// A table that knows all keys of its shard, because there are none.
    pub fn new(settings: IdempotencySettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            order: VecDeque::new(),
            answer_bytes: 0,
            in_doubt_until: None,
            frozen: false,
        }
    }

    /// Keys in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sum of the stored bodies, bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    // ----------------------------------------------------------------------------------------

    /// Decides whether `attempt` may run the request with `fingerprint` under `key`.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &[u8; 32],
        attempt: RequestId,
        now: MonotonicTime,
    ) -> BeginDecision {
        self.forget(now);
        if self.frozen {
            return BeginDecision::Frozen;
        }
        if let Some(entry) = self.entries.get(key) {
            return self.repeated(entry, fingerprint, attempt, now);
        }
        if self.in_doubt(now) {
            return BeginDecision::OutcomeUnknown;
        }
        if self.entries.len() >= self.settings.max_entries {
            return BeginDecision::Full;
        }
        let entry = TableEntry {
            fingerprint: *fingerprint,
            attempt: Some(attempt),
            expires_at: now + self.settings.window,
            phase: RecordPhase::Recording,
        };
        self.insert(key.clone(), entry);
        BeginDecision::Record
    }

    fn repeated(
        &self,
        entry: &TableEntry,
        fingerprint: &[u8; 32],
        attempt: RequestId,
        now: MonotonicTime,
    ) -> BeginDecision {
        if entry.fingerprint != *fingerprint {
            return BeginDecision::Mismatch;
        }
        let same = entry.attempt == Some(attempt);
        let begun_before = self
            .settings
            .window
            .saturating_sub(entry.expires_at.since(now));
        match &entry.phase {
            RecordPhase::Recording if same => BeginDecision::AwaitRecord,
            RecordPhase::Running if same => BeginDecision::Run,
            RecordPhase::Recording => BeginDecision::InProgress,
            RecordPhase::Running if begun_before < self.settings.progress_limit => {
                BeginDecision::InProgress
            }
            RecordPhase::Running | RecordPhase::Unknown => BeginDecision::OutcomeUnknown,
            RecordPhase::Answered(answer) => BeginDecision::Stored(answer.clone()),
            RecordPhase::AnswerNotKept => BeginDecision::RanAnswerNotKept,
        }
    }

    /// The record of `attempt` is durable. The request may run only if the answer is `Run`.
    pub fn confirm_recorded(&mut self, key: &IdempotencyKey, attempt: RequestId) -> RecordedDecision {
        let Some(entry) = self.entries.get_mut(key) else {
            return RecordedDecision::Withdrawn;
        };
        if entry.attempt != Some(attempt) || entry.phase != RecordPhase::Recording {
            return RecordedDecision::Withdrawn;
        }
        if self.frozen {
            self.remove(key);
            return RecordedDecision::Frozen;
        }
        entry.phase = RecordPhase::Running;
        RecordedDecision::Run
    }

    /// Stores how `attempt` ended. Returns the phase to make durable, or `None` if nothing changed.
    ///
    /// A table in doubt that does not know the key learns it from this message.
    pub fn finish(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &[u8; 32],
        attempt: RequestId,
        outcome: FinishOutcome,
        now: MonotonicTime,
    ) -> Option<RecordPhase> {
        self.forget(now);
        if self.frozen {
            return None;
        }
        if !self.entries.contains_key(key) && !self.learn(key, fingerprint, attempt, now) {
            return None;
        }
        let entry = self.entries.get(key)?;
        let open = matches!(entry.phase, RecordPhase::Running | RecordPhase::Unknown);
        if entry.attempt != Some(attempt) || entry.fingerprint != *fingerprint || !open {
            return None;
        }
        let phase = match outcome {
            FinishOutcome::Unknown => RecordPhase::Unknown,
            FinishOutcome::Answer(answer) => self.keep(answer),
        };
        let entry = self.entries.get_mut(key)?;
        entry.phase = phase.clone();
        Some(phase)
    }

    /// Releases the key because `attempt` wrote no byte of the request to a backend server, or its
    /// record could not be made durable. Returns true if the key was released.
    pub fn abandon(&mut self, key: &IdempotencyKey, attempt: RequestId) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        let open = matches!(
            entry.phase,
            RecordPhase::Recording | RecordPhase::Running | RecordPhase::Unknown
        );
        if self.frozen || entry.attempt != Some(attempt) || !open {
            return false;
        }
        self.remove(key);
        if self.order.len() > 2 * self.entries.len() + MIN_ORDER_LEN {
            self.drop_stale_order();
        }
        true
    }

    // ----------------------------------------------------------------------------------------

    /// Adds records that were read back after an unplanned takeover.
    ///
    /// With `complete` false, some source of records could not be read: for a whole window from now,
    /// keys that are not known answer "outcome unknown". A later call with `complete` true, after
    /// all sources were read, ends the doubt. Requests that were running are answered "outcome
    /// unknown" until their entry process reports how they ended.
    pub fn recover(&mut self, records: Vec<IdempotencyRecord>, complete: bool, now: MonotonicTime) {
        for record in records {
            let phase = match record.phase {
                RecordPhase::Recording | RecordPhase::Running => RecordPhase::Unknown,
                phase => phase,
            };
            self.add(IdempotencyRecord { phase, ..record }, now);
        }
        self.in_doubt_until = (!complete).then_some(now + self.settings.window);
    }

    /// Freezes the table and returns its state for a planned handover.
    ///
    /// Attempts whose record is still being written are left out: `confirm_recorded` tells each of them
    /// not to run.
    pub fn export(&mut self, now: MonotonicTime) -> IdempotencyState {
        self.forget(now);
        self.frozen = true;
        let mut records = Vec::with_capacity(self.entries.len());
        for (expires_at, key) in &self.order {
            let Some(entry) = self.entries.get(key) else {
                continue;
            };
            if entry.expires_at != *expires_at || entry.phase == RecordPhase::Recording {
                continue;
            }
            let left = expires_at.since(now);
            records.push(IdempotencyRecord {
                key: key.clone(),
                fingerprint: entry.fingerprint,
                attempt: entry.attempt,
                age: self.settings.window.saturating_sub(left),
                phase: entry.phase.clone(),
            });
        }
        let in_doubt_for = self.in_doubt_until.map(|until| until.since(now));
        IdempotencyState {
            records,
            in_doubt_for: in_doubt_for.unwrap_or_default(),
        }
    }

    /// Resumes decisions after a handover was given up. The receiver must have discarded the state.
    pub fn unfreeze(&mut self) {
        self.frozen = false;
    }

    /// Resumes from an exported state.
    pub fn import(
        settings: IdempotencySettings,
        state: IdempotencyState,
        now: MonotonicTime,
    ) -> Self {
        let IdempotencyState {
            records,
            in_doubt_for,
        } = state;
        let mut table = Self::new(settings);
        for record in records {
            table.add(record, now);
        }
        table.in_doubt_until = (!in_doubt_for.is_zero()).then_some(now + in_doubt_for);
        table
    }

    // ----------------------------------------------------------------------------------------

    fn in_doubt(&self, now: MonotonicTime) -> bool {
        self.in_doubt_until.is_some_and(|until| now < until)
    }

    /// Adds a recovered record, also beyond `max_entries`: forgetting it could repeat a request.
    fn add(&mut self, record: IdempotencyRecord, now: MonotonicTime) {
        let IdempotencyRecord {
            key,
            fingerprint,
            attempt,
            age,
            phase,
        } = record;
        let left = self.settings.window.saturating_sub(age);
        if left.is_zero() {
            return;
        }
        let phase = match phase {
            RecordPhase::Answered(answer) => self.keep_shared(answer),
            phase => phase,
        };
        let mut entry = TableEntry {
            fingerprint,
            attempt,
            expires_at: now + left,
            phase,
        };
        if let Some(other) = self.entries.remove(&key) {
            entry = self.join(other, entry);
        }
        self.insert(key, entry);
    }

    /// Joins two records of a key that different sources held. The later expiry holds, because the
    /// later of two attempts may be the one that ran.
    fn join(&mut self, known: TableEntry, found: TableEntry) -> TableEntry {
        let expires_at = known.expires_at.max(found.expires_at);
        if known.phase != RecordPhase::Unknown {
            if let RecordPhase::Answered(answer) = found.phase {
                self.answer_bytes -= answer.body.len();
            }
            return TableEntry {
                expires_at,
                ..known
            };
        }
        let same = known.attempt == found.attempt;
        TableEntry {
            fingerprint: found.fingerprint,
            attempt: found.attempt.filter(|_| same),
            expires_at,
            phase: found.phase,
        }
    }

    fn learn(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &[u8; 32],
        attempt: RequestId,
        now: MonotonicTime,
    ) -> bool {
        if !self.in_doubt(now) || self.entries.len() >= self.settings.max_entries {
            return false;
        }
        let entry = TableEntry {
            fingerprint: *fingerprint,
            attempt: Some(attempt),
            expires_at: now + self.settings.window,
            phase: RecordPhase::Unknown,
        };
        self.insert(key.clone(), entry);
        true
    }

    fn keep(&mut self, answer: StoredAnswer) -> RecordPhase {
        self.keep_shared(Arc::new(answer))
    }

    fn keep_shared(&mut self, answer: Arc<StoredAnswer>) -> RecordPhase {
        let size = answer.body.len();
        let total = self.answer_bytes.saturating_add(size);
        if size > self.settings.max_answer_bytes || total > self.settings.max_total_bytes {
            return RecordPhase::AnswerNotKept;
        }
        self.answer_bytes = total;
        RecordPhase::Answered(answer)
    }

    /// Recovered records come in any order of age, so the place is searched from the back.
    fn insert(&mut self, key: IdempotencyKey, entry: TableEntry) {
        let expires_at = entry.expires_at;
        let index = self
            .order
            .partition_point(|(other, _)| *other <= expires_at);
        self.order.insert(index, (expires_at, key.clone()));
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &IdempotencyKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let RecordPhase::Answered(answer) = entry.phase {
            self.answer_bytes -= answer.body.len();
        }
    }

    fn forget(&mut self, now: MonotonicTime) {
        while let Some((expires_at, key)) = self.order.front() {
            if *expires_at > now {
                break;
            }
            let current = self.entries.get(key);
            let current = current.is_some_and(|entry| entry.expires_at == *expires_at);
            let key = key.clone();
            self.order.pop_front();
            if current {
                self.remove(&key);
            }
        }
    }

    /// Removes the places that abandoned keys left in the order.
    fn drop_stale_order(&mut self) {
        let entries = &self.entries;
        self.order.retain(|(expires_at, key)| {
            entries
                .get(key)
                .is_some_and(|entry| entry.expires_at == *expires_at)
        });
    }
}
