use std::time::Duration;

use zinniahinge_types::BlockedPart;
use zinniahinge_types::BlockedParts;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;

/// Time until the first trial of a blocked part. Each failed trial costs a server and doubles the time until the next.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(120);

/// Longest time until a trial.
const MAX_TRIAL_AFTER: Duration = Duration::from_secs(3600);

/// Time for which one host may send the trial, before another gets it. Longer than most requests take.
pub const TRIAL_TIME: Duration = Duration::from_secs(20);

/// Largest number of blocked parts. The one whose requests were refused longest ago is released for another.
const MAX_BLOCKED: usize = 64;

/// Prompt parts that are blocked, and when each is tried again. Kept by the coordinator.
#[derive(Debug, Default)]
pub struct BlockList {
    entries: Vec<BlockEntry>,
    version: u64,
}

#[derive(Debug)]
struct BlockEntry {
    part: u64,
    blocked_at: MonotonicTime,
    refused_at: MonotonicTime,
    failed_trials: u32,
    next_trial_at: MonotonicTime,
    /// Host that may send the trial, and since when.
    trial: Option<(HostId, MonotonicTime)>,
}

impl BlockList {
    /// Creates an empty list; versions begin after `first_version`.
    pub fn new(first_version: u64) -> Self {
        Self {
            entries: Vec::new(),
            version: first_version,
        }
    }

    /// Version of the list; grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// True if requests with the part are refused.
    pub fn contains(&self, part: u64) -> bool {
        self.entries.iter().any(|entry| entry.part == part)
    }

    /// When the part was blocked, if it is.
    pub fn blocked_at(&self, part: u64) -> Option<MonotonicTime> {
        let mut entries = self.entries.iter();
        let entry = entries.find(|entry| entry.part == part)?;
        Some(entry.blocked_at)
    }

    /// Blocks a part, or does nothing if it is blocked.
    pub fn block(&mut self, part: u64, now: MonotonicTime) {
        self.insert(part, 0, FIRST_TRIAL_AFTER, now);
    }

    /// Takes over the parts that an earlier coordinator blocked, with the time until their trials.
    pub fn take_over(&mut self, known: &BlockedParts, now: MonotonicTime) {
        for entry in &known.parts {
            let next_trial = Duration::from_millis(entry.next_trial_ms);
            let next_trial = next_trial.clamp(FIRST_TRIAL_AFTER, MAX_TRIAL_AFTER);
            self.insert(entry.part, entry.failed_trials, next_trial, now);
        }
    }

    fn insert(&mut self, part: u64, failed_trials: u32, next_trial: Duration, now: MonotonicTime) {
        if self.contains(part) {
            return;
        }
        if self.entries.len() >= MAX_BLOCKED {
            let oldest = self.entries.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, entry)| entry.refused_at);
            if let Some((index, _)) = oldest {
                self.entries.swap_remove(index);
            }
        }
        self.entries.push(BlockEntry {
            part,
            blocked_at: now,
            refused_at: now,
            failed_trials,
            next_trial_at: now + next_trial,
            trial: None,
        });
        self.version += 1;
    }

    /// Releases a part that is sound; returns true if it was blocked.
    pub fn release(&mut self, part: u64) -> bool {
        let count = self.entries.len();
        self.entries.retain(|entry| entry.part != part);
        let is_released = self.entries.len() < count;
        self.version += u64::from(is_released);
        is_released
    }

    /// Records that `host` refused a request with the part. It gets the trial if one is due and no other host has it.
    pub fn record_refusal(&mut self, part: u64, host: &HostId, now: MonotonicTime) {
        let mut entries = self.entries.iter_mut();
        let Some(entry) = entries.find(|entry| entry.part == part) else {
            return;
        };
        entry.refused_at = now;
        let is_taken = entry
            .trial
            .as_ref()
            .is_some_and(|(_, since)| now.since(*since) < TRIAL_TIME);
        if now >= entry.next_trial_at && !is_taken {
            entry.trial = Some((host.clone(), now));
            self.version += 1;
        }
    }

    /// Records that a request with the part broke off; ends a trial that is under way and doubles the time until the next.
    pub fn record_cut(&mut self, part: u64, now: MonotonicTime) {
        let mut entries = self.entries.iter_mut();
        let Some(entry) = entries.find(|entry| entry.part == part) else {
            return;
        };
        if entry.trial.take().is_some() {
            entry.failed_trials += 1;
            let factor = 1_u32 << entry.failed_trials.min(16);
            entry.next_trial_at = now + (FIRST_TRIAL_AFTER * factor).min(MAX_TRIAL_AFTER);
            self.version += 1;
        }
    }

    /// The list for hosts and for the store.
    pub fn to_message(&self, now: MonotonicTime) -> BlockedParts {
        let entries = self.entries.iter().map(|entry| BlockedPart {
            part: entry.part,
            failed_trials: entry.failed_trials,
            next_trial_ms: entry.next_trial_at.since(now).as_millis() as u64,
            trial_host: entry.trial.as_ref().map(|(host, _)| host.clone()),
        });
        let mut parts: Vec<_> = entries.collect();
        parts.sort_unstable_by_key(|entry| entry.part);
        BlockedParts {
            version: self.version,
            parts,
        }
    }
}
