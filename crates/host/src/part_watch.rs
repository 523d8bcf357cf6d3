use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::RequestFacts;
use zinniahinge_serving::TRIAL_TIME;
use zinniahinge_types::BlockedPart;
use zinniahinge_types::CutRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PartProgress;
use zinniahinge_types::PartReport;

/// Time for which requests are kept, to tell a new coordinator.
const KEEP_TIME: Duration = Duration::from_secs(30);

/// Largest number of requests that broke off, of answers under way and of parts that are kept.
const MAX_CUTS: usize = 64;
const MAX_ANSWERS: usize = 1024;
const MAX_PARTS: usize = 2048;

/// What this host's requests showed about their prompt parts, and which of it the coordinator knows.
#[derive(Debug, Default)]
pub(crate) struct PartWatch {
    /// Requests that broke off before their answer was under way, oldest first.
    cuts: VecDeque<(MonotonicTime, CutRequest)>,
    /// When answers got under way, oldest first.
    answers: VecDeque<MonotonicTime>,
    /// When an answer with the part last got under way.
    progress: HashMap<u64, MonotonicTime>,
    /// When a request with the part was last refused.
    refused: HashMap<u64, MonotonicTime>,
    /// When this host last tried a blocked part, and the number of failed trials before.
    trials: HashMap<u64, (u32, MonotonicTime)>,
    /// Fencing number of the coordinator that answered last, and when the report was built that it answered.
    reported: (u64, MonotonicTime),
}

impl PartWatch {
    /// Records a request whose connection to `target` ended before its answer was under way.
    pub(crate) fn record_cut(
        &mut self,
        facts: &RequestFacts,
        target: &BackendCandidate,
        now: MonotonicTime,
    ) {
        let parts = facts.shared_parts();
        if parts.is_empty() {
            return;
        }
        let cut = CutRequest {
            attempt_id: facts.attempt_id.clone(),
            backend: target.entry.id.clone(),
            address: target.entry.address,
            age_ms: 0,
            parts: parts.iter().map(|part| part.id).collect(),
            model_parts: facts.model_parts().into_vec(),
        };
        self.cuts.push_back((now, cut));
        if self.cuts.len() > MAX_CUTS {
            self.cuts.pop_front();
        }
    }

    /// Records a request whose answer got under way.
    pub(crate) fn record_progress(&mut self, facts: &RequestFacts, now: MonotonicTime) {
        let parts = facts.shared_parts();
        if parts.is_empty() {
            return;
        }
        self.answers.push_back(now);
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
        for id in parts.iter().map(|part| part.id).chain(facts.model_parts()) {
            self.progress.insert(id, now);
        }
        if self.progress.len() > MAX_PARTS {
            self.progress.retain(|_, at| now.since(*at) < KEEP_TIME / 4);
        }
    }

    /// Records that a request was refused because of the part.
    pub(crate) fn record_refusal(&mut self, part: u64, now: MonotonicTime) {
        self.refused.insert(part, now);
    }

    /// True if this host, to which the coordinator gave a trial of the part, has not used it.
    pub(crate) fn has_trial(&self, entry: &BlockedPart, now: MonotonicTime) -> bool {
        let used = self.trials.get(&entry.part);
        used.is_none_or(|(failed, at)| {
            *failed != entry.failed_trials || now.since(*at) >= TRIAL_TIME
        })
    }

    /// Uses a trial.
    pub(crate) fn use_trial(&mut self, entry: &BlockedPart, now: MonotonicTime) {
        self.trials.insert(entry.part, (entry.failed_trials, now));
    }

    /// True if the coordinator does not know of a request that broke off.
    pub(crate) fn has_unreported_cut(&self) -> bool {
        let last = self.cuts.back();
        last.is_some_and(|(at, _)| *at > self.reported.1)
    }

    /// Returns what the coordinator with the fencing number `fence` does not know; all of the last 30 s if it has not
    /// answered yet.
    pub(crate) fn report(&mut self, fence: u64, now: MonotonicTime) -> PartReport {
        self.forget_old(now);
        let since = if self.reported.0 == fence {
            self.reported.1
        } else {
            MonotonicTime::ZERO
        };
        let age_ms = |at: MonotonicTime| now.since(at).as_millis() as u64;
        let cuts = self.cuts.iter().filter(|(at, _)| *at > since);
        let progress = self.progress.iter().filter(|(_, at)| **at > since);
        let answers = self.answers.iter().filter(|at| **at > since);
        let refused = self.refused.iter().filter(|(_, at)| **at > since);
        PartReport {
            cut: cuts
                .map(|(at, cut)| CutRequest {
                    age_ms: age_ms(*at),
                    ..cut.clone()
                })
                .collect(),
            progressed: progress
                .map(|(part, at)| PartProgress {
                    part: *part,
                    age_ms: age_ms(*at),
                })
                .collect(),
            progressed_requests: answers.count() as u32,
            refused: refused.map(|(part, _)| *part).collect(),
            ..PartReport::default()
        }
    }

    /// Records that the coordinator with the fencing number `fence` knows the report that was built at `built_at`.
    pub(crate) fn record_answer(&mut self, fence: u64, built_at: MonotonicTime) {
        self.reported = (fence, built_at);
    }

    fn forget_old(&mut self, now: MonotonicTime) {
        let is_old = |at: MonotonicTime| now.since(at) >= KEEP_TIME;
        while self.cuts.front().is_some_and(|(at, _)| is_old(*at)) {
            self.cuts.pop_front();
        }
        while self.answers.front().is_some_and(|at| is_old(*at)) {
            self.answers.pop_front();
        }
        self.progress.retain(|_, at| !is_old(*at));
        self.refused.retain(|_, at| !is_old(*at));
        self.trials.retain(|_, (_, at)| now.since(*at) < TRIAL_TIME);
    }
}
