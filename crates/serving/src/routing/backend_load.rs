use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use zinniahinge_types::ModelRuns;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AnswerTally;
use crate::BackendEntry;
use crate::LimitStatement;
use crate::RequestFacts;
use crate::SendRate;
use crate::SentParts;
use crate::WorkTime;
use crate::routing::cold_record::ColdRecord;
use crate::routing::limit_record::LimitRecord;

/// Time for which a server is avoided after it gave this host no answer.
const AVOID_TIME: Duration = Duration::from_millis(1500);

/// Load that a backend server stated with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
    /// Time that work takes at the moment, in percent of the usual; `None` if the server doesn't state it.
    pub work_percent: Option<u32>,
}

/// Load and recent outcomes of one run of a backend server, as this host knows them.
///
/// All methods may be called from several threads at once.
#[derive(Debug, Default)]
pub struct BackendLoad {
    in_flight: AtomicU32,
    pending_tokens: AtomicU64,
    others_in_flight: AtomicU32,
    others_pending_tokens: AtomicU64,
    is_suspect: AtomicBool,
    avoid_until_us: AtomicU64,
    pause_until_us: AtomicU64,
    is_leaving: AtomicBool,
    /// True once the run has named a limit; read before `limit` is locked.
    was_limit_named: AtomicBool,
    /// Newest answer without a limit before the run first named one.
    unlimited_at_us: AtomicU64,
    limit: Mutex<LimitRecord>,
    /// True if servers of the service start cold; read before `cold` is locked.
    may_be_cold: AtomicBool,
    cold: Mutex<ColdRecord>,
    /// Bits of the pace, requests a second; 0 without a pace.
    pace_bits: AtomicU64,
    /// When the next slot is free, as far as this host knows; applies while a rate does.
    limited_until_us: AtomicU64,
    answers: AnswerTally,
    succeeded: AtomicU32,
    failed: AtomicU32,
    sample: Mutex<Option<(LoadSample, MonotonicTime)>>,
    /// True once a figure or a learned factor was recorded; read before `work_time` is locked.
    has_work_time: AtomicBool,
    work_time: Mutex<WorkTime>,
    parts: Mutex<SentParts>,
    /// This host's requests for models, and the output tokens that they allow, by model and adapter.
    runs: Mutex<HashMap<RunKey, RunSum>>,
}

/// Model and adapter of a request.
type RunKey = (Name, Option<Name>);

#[derive(Clone, Copy, Debug, Default)]
struct RunSum {
    count: u32,
    output_tokens: u64,
}

impl BackendLoad {
    /// Number of this host's requests on the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Prompt tokens of this host's requests that have no first event yet.
    pub fn pending_tokens(&self) -> u64 {
        self.pending_tokens.load(Ordering::Relaxed)
    }

    /// Number of requests of all hosts on the server; those of other hosts as of the coordinator's last answer.
    pub fn fleet_in_flight(&self) -> u32 {
        self.in_flight()
            .saturating_add(self.others_in_flight.load(Ordering::Relaxed))
    }

    /// Prompt tokens of all hosts' requests without a first event; those of other hosts as of the coordinator's last
    /// answer.
    pub fn fleet_pending_tokens(&self) -> u64 {
        self.pending_tokens()
            .saturating_add(self.others_pending_tokens.load(Ordering::Relaxed))
    }

    /// Sets the requests and prompt tokens of all other hosts together, and whether the server is suspect.
    pub fn set_others(&self, in_flight: u32, pending_tokens: u64, is_suspect: bool) {
        self.others_in_flight.store(in_flight, Ordering::Relaxed);
        self.others_pending_tokens
            .store(pending_tokens, Ordering::Relaxed);
        self.is_suspect.store(is_suspect, Ordering::Relaxed);
    }

    /// True if the server fails more often than its peers, over all hosts.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect.load(Ordering::Relaxed)
    }

    /// Records the load that the server stated with an answer.
    pub fn record_sample(&self, sample: LoadSample, now: MonotonicTime) {
        *self.sample.lock().unwrap_or_else(PoisonError::into_inner) = Some((sample, now));
        if let Some(percent) = sample.work_percent {
            self.lock_work_time().record_statement(percent, now);
            self.has_work_time.store(true, Ordering::Relaxed);
        }
    }

    /// Sets the time factor of the run that the coordinator learned.
    pub fn set_learned_factor(&self, factor: f64) {
        self.lock_work_time().set_learned(factor);
        self.has_work_time.store(true, Ordering::Relaxed);
    }

    /// True if the server states how long work takes on it.
    pub fn states_work_time(&self) -> bool {
        self.work_time().is_stated()
    }

    /// How long work takes on the server, as this host knows it.
    pub fn work_time(&self) -> WorkTime {
        if !self.has_work_time.load(Ordering::Relaxed) {
            return WorkTime::default();
        }
        *self.lock_work_time()
    }

    fn lock_work_time(&self) -> MutexGuard<'_, WorkTime> {
        self.work_time
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The last stated load, if it is younger than `limit`.
    pub fn recent_sample(&self, now: MonotonicTime, limit: Duration) -> Option<LoadSample> {
        let sample = self.sample.lock().unwrap_or_else(PoisonError::into_inner);
        let (sample, at) = (*sample)?;
        (now.since(at) < limit).then_some(sample)
    }

    /// Counts a request that the server answered.
    pub fn count_success(&self) {
        self.succeeded.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that failed because of the server.
    pub fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
        self.answers.count_missing();
    }

    /// Avoids the server for 1.5 s, because it could not be reached or left a request unanswered.
    pub fn avoid(&self, now: MonotonicTime) {
        let until = (now + AVOID_TIME).since_origin().as_micros() as u64;
        self.avoid_until_us.fetch_max(until, Ordering::Relaxed);
    }

    /// True while the server is avoided.
    pub fn is_avoided(&self, now: MonotonicTime) -> bool {
        let now = now.since_origin().as_micros() as u64;
        now < self.avoid_until_us.load(Ordering::Relaxed)
    }

    /// Sends nothing more to the server until `until`, unless an earlier call named a later time.
    pub fn pause(&self, until: MonotonicTime) {
        let until = until.since_origin().as_micros() as u64;
        self.pause_until_us.fetch_max(until, Ordering::Relaxed);
    }

    /// End of the pause that the server asked for; `None` if there is none at `now`.
    pub fn paused_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let until = Duration::from_micros(self.pause_until_us.load(Ordering::Relaxed));
        let until = MonotonicTime::from_origin(until);
        (now < until).then_some(until)
    }

    /// Records that the server leaves, for the rest of its run; returns true if that was not known.
    pub fn mark_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// True if the server has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records what the server said about its limit, unless something newer is known; returns true if the limit in force
    /// changed.
    pub fn record_limit(&self, statement: LimitStatement) -> bool {
        let is_named = statement.limit_per_s.is_some();
        if !is_named && !self.was_limit_named.load(Ordering::Relaxed) {
            let at = statement.at.since_origin().as_micros() as u64;
            self.unlimited_at_us.fetch_max(at, Ordering::Relaxed);
            return false;
        }
        let mut limit = self.lock_limit();
        if !self.was_limit_named.swap(true, Ordering::Relaxed) {
            let at = Duration::from_micros(self.unlimited_at_us.load(Ordering::Relaxed));
            let at = MonotonicTime::from_origin(at);
            limit.apply(LimitStatement {
                limit_per_s: None,
                at,
            });
        }
        let is_changed = limit.apply(statement);
        if is_changed {
            self.limited_until_us.store(0, Ordering::Relaxed);
        }
        is_changed
    }

    /// Requests a second that the server takes from all hosts together; `None` without a limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        if !self.was_limit_named.load(Ordering::Relaxed) {
            return None;
        }
        self.lock_limit().limit()
    }

    /// The newest statement about a limit, if the server has ever named one.
    pub fn limit_statement(&self) -> Option<LimitStatement> {
        if !self.was_limit_named.load(Ordering::Relaxed) {
            return None;
        }
        self.lock_limit().statement()
    }

    /// Requests a second that the server gets from all hosts together; `None` if nothing limits them. The smallest of the
    /// limit that it named, what it takes while it is cold, and its pace.
    pub fn send_rate(&self, now: MonotonicTime) -> Option<SendRate> {
        SendRate::smallest(self.limit_per_s(), self.cold_rate(now), self.pace())
    }

    /// Requests a second that the server takes at most, without its pace, which is only an estimate.
    pub fn bound_rate(&self, now: MonotonicTime) -> Option<SendRate> {
        SendRate::smallest(self.limit_per_s(), self.cold_rate(now), None)
    }

    /// Sends nothing more to the server until `until`, when its next slot is free, unless the limit changes or no rate applies
    /// any more.
    pub fn bar_until_slot(&self, until: MonotonicTime) {
        let until = until.since_origin().as_micros() as u64;
        self.limited_until_us.fetch_max(until, Ordering::Relaxed);
    }

    /// Next free slot of a server with a rate that this host knows of; `None` if one may be free at `now`.
    pub fn limited_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let until = Duration::from_micros(self.limited_until_us.load(Ordering::Relaxed));
        let until = MonotonicTime::from_origin(until);
        (now < until && self.send_rate(now).is_some()).then_some(until)
    }

    // ---------------------------------------------------------------------------------------------
    // Cold time and pace

    /// Sets the time for which servers of the service are cold, and the slots a second meanwhile; `None` if they start fast.
    pub fn set_cold_start(&self, start: Option<(Duration, f64)>) {
        if start.is_none() && !self.may_be_cold.load(Ordering::Relaxed) {
            return;
        }
        self.lock_cold().set_start(start);
        self.may_be_cold.store(start.is_some(), Ordering::Relaxed);
    }

    /// Takes in an entry of the server that says for how long it stays cold, once for each sequence number.
    pub fn apply_entry(&self, entry: &BackendEntry, now: MonotonicTime) {
        if let Some(mut cold) = self.cold_record() {
            cold.apply_entry(entry.sequence, entry.cold_left, now);
        }
    }

    /// Counts the server as cold until `until`, unless it is cold for longer; returns true if it was not cold. Without effect
    /// if servers of its service start fast.
    pub fn presume_cold(&self, until: MonotonicTime, now: MonotonicTime) -> bool {
        let Some(mut cold) = self.cold_record() else {
            return false;
        };
        let was_cold = cold.left(now).is_some();
        cold.presume(until);
        !was_cold && cold.left(now).is_some()
    }

    /// Records that no connection could be opened, or that one ended early. The server counts as cold until it has answered
    /// for a whole cold time, since it may have started again.
    pub fn record_connection_loss(&self, now: MonotonicTime) {
        if let Some(mut cold) = self.cold_record() {
            cold.record_loss(now);
        }
    }

    /// Records an answer to a request that was sent at `sent`.
    pub fn record_answer(&self, sent: MonotonicTime, now: MonotonicTime) {
        if let Some(mut cold) = self.cold_record() {
            cold.record_answer(sent, now);
        }
    }

    /// Time for which the server stays cold; `None` if it isn't cold.
    pub fn cold_left(&self, now: MonotonicTime) -> Option<Duration> {
        self.cold_record()?.left(now)
    }

    /// Time for which the server stays cold as far as this host found out by itself; `None` if it found nothing.
    pub fn own_cold_left(&self, now: MonotonicTime) -> Option<Duration> {
        self.cold_record()?.own_left(now)
    }

    /// Requests a second that the server takes while it is cold; `None` if it isn't cold.
    pub fn cold_rate(&self, now: MonotonicTime) -> Option<f64> {
        self.cold_record()?.rate(now)
    }

    /// The cold time under its lock; `None` if servers of the service start fast.
    fn cold_record(&self) -> Option<MutexGuard<'_, ColdRecord>> {
        let may_be_cold = self.may_be_cold.load(Ordering::Relaxed);
        may_be_cold.then(|| self.lock_cold())
    }

    fn lock_cold(&self) -> MutexGuard<'_, ColdRecord> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the pace that the coordinator found for the server, requests a second; returns true if a pace began or ended.
    pub fn set_pace(&self, per_s: Option<f64>) -> bool {
        let bits = per_s.map_or(0, f64::to_bits);
        let before = self.pace_bits.swap(bits, Ordering::Relaxed);
        (before == 0) != (bits == 0)
    }

    /// The pace of the server, requests a second; `None` without one.
    pub fn pace(&self) -> Option<f64> {
        let bits = self.pace_bits.load(Ordering::Relaxed);
        (bits != 0).then(|| f64::from_bits(bits))
    }

    /// How the server answers, for its pace.
    pub fn answers(&self) -> &AnswerTally {
        &self.answers
    }

    fn lock_limit(&self) -> MutexGuard<'_, LimitRecord> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers of answered and of failed requests since the last call.
    pub fn take_outcomes(&self) -> (u32, u32) {
        (
            self.succeeded.swap(0, Ordering::Relaxed),
            self.failed.swap(0, Ordering::Relaxed),
        )
    }

    /// This host's requests for models on the server, by model and adapter.
    pub fn open_runs(&self) -> Vec<ModelRuns> {
        let runs = self.lock_runs();
        let runs = runs.iter().map(|((model, adapter), sum)| ModelRuns {
            model: model.clone(),
            adapter: adapter.clone(),
            count: sum.count,
            output_tokens: sum.output_tokens,
        });
        runs.collect()
    }

    fn lock_runs(&self) -> MutexGuard<'_, HashMap<RunKey, RunSum>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `use_parts` with the prompt parts that this host sent to the server. Holds a lock during the call.
    pub fn with_sent_parts<T>(&self, use_parts: impl FnOnce(&mut SentParts) -> T) -> T {
        use_parts(&mut self.parts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts a request on a server until it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    load: Arc<BackendLoad>,
    tokens: u64,
    /// Model, adapter and output tokens; `None` for a request without a model.
    run: Option<(RunKey, u64)>,
}

impl LoadGuard {
    /// Counts a request with a prompt of `tokens`.
    pub fn new(load: Arc<BackendLoad>, tokens: u64) -> Self {
        load.in_flight.fetch_add(1, Ordering::Relaxed);
        load.pending_tokens.fetch_add(tokens, Ordering::Relaxed);
        Self {
            load,
            tokens,
            run: None,
        }
    }

    /// Counts a request, also among those that use its model and adapter.
    pub fn for_request(load: Arc<BackendLoad>, facts: &RequestFacts) -> Self {
        let mut guard = Self::new(load, facts.prompt_tokens);
        if let Some(model) = &facts.model {
            let key = (model.clone(), facts.adapter.clone());
            let mut runs = guard.load.lock_runs();
            let sum = runs.entry(key.clone()).or_default();
            sum.count += 1;
            sum.output_tokens = sum.output_tokens.saturating_add(facts.output_tokens);
            drop(runs);
            guard.run = Some((key, facts.output_tokens));
        }
        guard
    }

    /// Load that the request is counted in.
    pub fn load(&self) -> &Arc<BackendLoad> {
        &self.load
    }

    /// Stops counting the prompt's tokens. Call it when the first event arrives, which shows that the prompt was
    /// processed.
    pub fn finish_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.tokens);
        self.load
            .pending_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        if let Some((key, output_tokens)) = self.run.take() {
            let mut runs = self.load.lock_runs();
            if let Some(sum) = runs.get_mut(&key) {
                sum.count -= 1;
                sum.output_tokens = sum.output_tokens.saturating_sub(output_tokens);
                if sum.count == 0 {
                    runs.remove(&key);
                }
            }
        }
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
