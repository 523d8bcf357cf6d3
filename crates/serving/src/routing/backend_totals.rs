use std::collections::HashMap;
use std::collections::HashSet;

use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::Name;

/// Relative change of a published total from which the new one is published.
const CHANGE_SHARE: f64 = 0.2;

/// Smallest change in requests that is published.
const MIN_REQUESTS: u32 = 2;

/// Smallest change in prompt tokens that is published: a tenth of a second of prefill.
const MIN_TOKENS: u64 = 4_000;

/// Requests and prompt tokens of all hosts by backend server, summed up from their reports.
///
/// Each published change of a total gets a version, so that an answer holds only what its reader doesn't know yet.
#[derive(Debug, Default)]
pub(crate) struct BackendTotals {
    records: HashMap<Name, TotalRecord>,
    version: u64,
}

#[derive(Debug, Default)]
struct TotalRecord {
    in_flight: u32,
    pending_tokens: u64,
    is_suspect: bool,
    /// Start of the run, and the time that work takes on it, in percent of the average; `None` if it was not measured.
    time_percent: Option<(u64, u32)>,
    /// Requests, prompt tokens and suspicion that are sent to hosts since `version`.
    published: (u32, u64, bool),
    version: u64,
}

impl BackendTotals {
    /// Replaces the contribution of one host: `before` by `after`.
    pub(crate) fn replace(&mut self, before: &[BackendUse], after: &[BackendUse]) {
        for usage in before {
            if let Some(record) = self.records.get_mut(&usage.backend) {
                record.in_flight = record.in_flight.saturating_sub(usage.in_flight);
                record.pending_tokens = record.pending_tokens.saturating_sub(usage.pending_tokens);
            }
        }
        for usage in after {
            let record = self.records.entry(usage.backend.clone()).or_default();
            record.in_flight = record.in_flight.saturating_add(usage.in_flight);
            record.pending_tokens = record.pending_tokens.saturating_add(usage.pending_tokens);
        }
        for usage in before.iter().chain(after) {
            self.record_change(&usage.backend);
        }
    }

    /// Sets the servers that fail more often than their peers; all others are no longer suspect.
    pub(crate) fn set_suspects(&mut self, suspects: &HashSet<Name>) {
        for suspect in suspects {
            self.records.entry(suspect.clone()).or_default();
        }
        let changed: Vec<Name> = self
            .records
            .iter_mut()
            .filter(|(backend, record)| record.is_suspect != suspects.contains(*backend))
            .map(|(backend, record)| {
                record.is_suspect = !record.is_suspect;
                backend.clone()
            })
            .collect();
        for backend in changed {
            self.record_change(&backend);
        }
    }

    /// Sets the time that work takes on a run of a server, in percent of the average of its service, and publishes it.
    pub(crate) fn set_time_percent(&mut self, backend: &Name, born_ms: u64, percent: u32) {
        let record = self.records.entry(backend.clone()).or_default();
        let time_percent = Some((born_ms, percent));
        if std::mem::replace(&mut record.time_percent, time_percent) != time_percent {
            self.version += 1;
            record.version = self.version;
        }
    }

    /// Publishes the server's total under a new version if it has changed enough.
    fn record_change(&mut self, backend: &Name) {
        let Some(record) = self.records.get_mut(backend) else {
            return;
        };
        let (published_requests, published_tokens, published_suspect) = record.published;
        let requests = MIN_REQUESTS.max((f64::from(published_requests) * CHANGE_SHARE) as u32);
        let tokens = MIN_TOKENS.max((published_tokens as f64 * CHANGE_SHARE) as u64);
        let is_noticeable = record.in_flight.abs_diff(published_requests) >= requests
            || record.pending_tokens.abs_diff(published_tokens) >= tokens
            || record.is_suspect != published_suspect;
        if is_noticeable {
            self.version += 1;
            record.version = self.version;
            record.published = (record.in_flight, record.pending_tokens, record.is_suspect);
        }
    }

    /// Totals that were published after `version`, and the newest version.
    pub(crate) fn since(&self, version: u64) -> (Vec<BackendTotal>, u64) {
        let changed = self
            .records
            .iter()
            .filter(|(_, record)| record.version > version);
        let totals = changed.map(|(backend, record)| {
            let (in_flight, pending_tokens, is_suspect) = record.published;
            BackendTotal {
                backend: backend.clone(),
                in_flight,
                pending_tokens,
                is_suspect,
                time_percent: record.time_percent.map(|(_, percent)| percent),
                born_ms: record.time_percent.map(|(born_ms, _)| born_ms),
            }
        });
        (totals.collect(), self.version)
    }

    /// Drops the backend servers for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.records.retain(|backend, _| keep(backend));
    }
}
