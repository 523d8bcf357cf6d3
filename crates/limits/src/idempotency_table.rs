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

/// Length of the expiry list below which removing stale pairs is not worth its cost. Above, they are removed when
/// half of the pairs are stale, so that the cost per abandoned key stays constant.
const MIN_CLEANUP_LEN: usize = 64;

/// Ensures that a request with an idempotency key runs at most once within the window, for the keys of one shard.
///
/// Every use of a key carries an attempt id, which is the id of the request at the entry process. It distinguishes a
/// repeated message of one attempt from another use of the key. Without it, a repeated `abandon` could release the key
/// of a later attempt that is running.
///
/// A full table refuses new keys; it never removes a key inside the window.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    settings: IdempotencySettings,
    entries: HashMap<IdempotencyKey, TableEntry>,
    /// Keys by expiry, earliest first. An abandoned key leaves a stale pair behind.
    expiries: VecDeque<(MonotonicTime, IdempotencyKey)>,
    /// Sum of the stored response bodies in bytes.
    answer_bytes: usize,
    /// Until this time, a key that is not in the table may have been used under a former owner.
    in_doubt_until: Option<MonotonicTime>,
    /// True after an export: another process decides.
    frozen: bool,
}

#[derive(Clone, Debug)]
struct TableEntry {
    fingerprint: [u8; 32],
    /// `None` if records of several attempts were found; then no message of a single attempt may release the key.
    attempt: Option<RequestId>,
    expires_at: MonotonicTime,
    phase: RecordPhase,
}

impl IdempotencyTable {
    /// Creates an empty table for a shard in which no key was used yet. After a takeover, call [`Self::recover`].
    pub fn new(settings: IdempotencySettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            expiries: VecDeque::new(),
            answer_bytes: 0,
            in_doubt_until: None,
            frozen: false,
        }
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the sum of the stored response bodies in bytes.
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
        self.evict_expired(now);
        if self.frozen {
            return BeginDecision::Frozen;
        }
        if let Some(entry) = self.entries.get(key) {
            return self.decide_repeat(entry, fingerprint, attempt, now);
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

    /// Decides on a key that is already in the table.
    fn decide_repeat(
        &self,
        entry: &TableEntry,
        fingerprint: &[u8; 32],
        attempt: RequestId,
        now: MonotonicTime,
    ) -> BeginDecision {
        if entry.fingerprint != *fingerprint {
            return BeginDecision::Mismatch;
        }
        let is_same_attempt = entry.attempt == Some(attempt);
        let time_since_begin = self
            .settings
            .window
            .saturating_sub(entry.expires_at.since(now));
        match &entry.phase {
            RecordPhase::Recording if is_same_attempt => BeginDecision::AwaitRecord,
            RecordPhase::Running if is_same_attempt => BeginDecision::Run,
            RecordPhase::Recording => BeginDecision::InProgress,
            RecordPhase::Running if time_since_begin < self.settings.progress_limit => {
                BeginDecision::InProgress
            }
            RecordPhase::Running | RecordPhase::Unknown => BeginDecision::OutcomeUnknown,
            RecordPhase::Answered(answer) => BeginDecision::Stored(answer.clone()),
            RecordPhase::AnswerNotKept => BeginDecision::RanAnswerNotKept,
        }
    }

    /// Notes that the record of `attempt` is durable. The request may run only if this returns `Run`.
    pub fn confirm_recorded(
        &mut self,
        key: &IdempotencyKey,
        attempt: RequestId,
    ) -> RecordedDecision {
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
    /// If records may be missing after a takeover, a key that is not in the table is added by this call.
    pub fn finish(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &[u8; 32],
        attempt: RequestId,
        outcome: FinishOutcome,
        now: MonotonicTime,
    ) -> Option<RecordPhase> {
        self.evict_expired(now);
        if self.frozen {
            return None;
        }
        if !self.entries.contains_key(key) && !self.insert_missing(key, fingerprint, attempt, now) {
            return None;
        }
        let entry = self.entries.get(key)?;
        let open = matches!(entry.phase, RecordPhase::Running | RecordPhase::Unknown);
        if entry.attempt != Some(attempt) || entry.fingerprint != *fingerprint || !open {
            return None;
        }
        let phase = match outcome {
            FinishOutcome::Unknown => RecordPhase::Unknown,
            FinishOutcome::Answer(answer) => self.store_answer(answer),
        };
        let entry = self.entries.get_mut(key)?;
        entry.phase = phase.clone();
        Some(phase)
    }

    /// Releases the key, because `attempt` wrote no byte of the request to a backend server or its record could not be
    /// made durable. Returns true if the key was released.
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
        if self.expiries.len() > 2 * self.entries.len() + MIN_CLEANUP_LEN {
            self.remove_stale_expiries();
        }
        true
    }

    // ----------------------------------------------------------------------------------------

    /// Adds records that were read from durable storage after the former owner failed.
    ///
    /// If `complete` is false, some records could not be read, and for a whole window from `now` a key that is not in
    /// the table is answered "outcome unknown". A later call with `complete` true, after all records were read, ends
    /// this. Requests that were running are answered "outcome unknown" until their entry process reports how they
    /// ended.
    pub fn recover(&mut self, records: Vec<IdempotencyRecord>, complete: bool, now: MonotonicTime) {
        for record in records {
            let phase = match record.phase {
                RecordPhase::Recording | RecordPhase::Running => RecordPhase::Unknown,
                phase => phase,
            };
            self.add_record(IdempotencyRecord { phase, ..record }, now);
        }
        self.in_doubt_until = (!complete).then_some(now + self.settings.window);
    }

    /// Freezes the table and returns its state for a planned handover.
    ///
    /// Attempts whose record is still being written are left out; `confirm_recorded` will tell each of them not to run.
    pub fn export(&mut self, now: MonotonicTime) -> IdempotencyState {
        self.evict_expired(now);
        self.frozen = true;
        let mut records = Vec::with_capacity(self.entries.len());
        for (expires_at, key) in &self.expiries {
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

    /// Resumes decisions after a cancelled handover. The receiver must have discarded the state, or a key could run
    /// twice.
    pub fn unfreeze(&mut self) {
        self.frozen = false;
    }

    /// Creates a table from an exported state.
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
            table.add_record(record, now);
        }
        table.in_doubt_until = (!in_doubt_for.is_zero()).then_some(now + in_doubt_for);
        table
    }

    // ----------------------------------------------------------------------------------------

    /// Returns true while a key that is not in the table may have been used under a former owner.
    fn in_doubt(&self, now: MonotonicTime) -> bool {
        self.in_doubt_until.is_some_and(|until| now < until)
    }

    /// Adds a recovered record, even beyond `max_entries`, because dropping it could let a request run twice.
    fn add_record(&mut self, record: IdempotencyRecord, now: MonotonicTime) {
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
            RecordPhase::Answered(answer) => self.store_shared_answer(answer),
            phase => phase,
        };
        let mut entry = TableEntry {
            fingerprint,
            attempt,
            expires_at: now + left,
            phase,
        };
        if let Some(other) = self.entries.remove(&key) {
            entry = self.merge_entries(other, entry);
        }
        self.insert(key, entry);
    }

    /// Merges two records of one key from different sources. The later expiry is kept, because the later of two
    /// attempts may be the one that ran.
    fn merge_entries(&mut self, known: TableEntry, found: TableEntry) -> TableEntry {
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
        let is_same_attempt = known.attempt == found.attempt;
        TableEntry {
            fingerprint: found.fingerprint,
            attempt: found.attempt.filter(|_| is_same_attempt),
            expires_at,
            phase: found.phase,
        }
    }

    /// Adds a key that may have been lost in a takeover. Returns false if no key is missing or the table is full.
    fn insert_missing(
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

    /// Takes a response into memory if the size limits allow it, and returns the phase that says so.
    fn store_answer(&mut self, answer: StoredAnswer) -> RecordPhase {
        self.store_shared_answer(Arc::new(answer))
    }

    fn store_shared_answer(&mut self, answer: Arc<StoredAnswer>) -> RecordPhase {
        let size = answer.body.len();
        let total = self.answer_bytes.saturating_add(size);
        if size > self.settings.max_answer_bytes || total > self.settings.max_total_bytes {
            return RecordPhase::AnswerNotKept;
        }
        self.answer_bytes = total;
        RecordPhase::Answered(answer)
    }

    /// Inserts a key in the order of expiry. Recovered records come in any order, so the position is searched.
    fn insert(&mut self, key: IdempotencyKey, entry: TableEntry) {
        let expires_at = entry.expires_at;
        let index = self
            .expiries
            .partition_point(|(other, _)| *other <= expires_at);
        self.expiries.insert(index, (expires_at, key.clone()));
        self.entries.insert(key, entry);
    }

    /// Removes a key and its stored response; its pair in the expiry list becomes stale.
    fn remove(&mut self, key: &IdempotencyKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let RecordPhase::Answered(answer) = entry.phase {
            self.answer_bytes -= answer.body.len();
        }
    }

    /// Removes keys whose window has passed.
    fn evict_expired(&mut self, now: MonotonicTime) {
        while let Some((expires_at, key)) = self.expiries.front() {
            if *expires_at > now {
                break;
            }
            let entry = self.entries.get(key);
            let is_current = entry.is_some_and(|entry| entry.expires_at == *expires_at);
            let key = key.clone();
            self.expiries.pop_front();
            if is_current {
                self.remove(&key);
            }
        }
    }

    /// Removes the stale pairs that abandoned keys left in the expiry list.
    fn remove_stale_expiries(&mut self) {
        let entries = &self.entries;
        self.expiries.retain(|(expires_at, key)| {
            entries
                .get(key)
                .is_some_and(|entry| entry.expires_at == *expires_at)
        });
    }
}
