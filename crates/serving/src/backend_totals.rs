use std::collections::HashMap;
use std::collections::HashSet;

use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::Name;

/// A total is passed on again once it differs from what was passed on by this part of it.
const CHANGE_SHARE: f64 = 0.2;

/// Smallest difference in requests that is passed on.
const MIN_REQUESTS: u32 = 2;

/// Smallest difference in prompt tokens that is passed on: a tenth of a second of reading.
const MIN_TOKENS: u64 = 4_000;

/// What all hosts have on each backend server, added up as hosts report.
///
/// Each noticeable change of a total gets a version, so that an answer holds only what its reader doesn't know.
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
    /// What hosts are told since `version`.
    told: (u32, u64, bool),
    version: u64,
}

impl BackendTotals {
    /// Replaces what one host has: `before` by `after`.
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
            self.note_change(&usage.backend);
        }
    }

    /// Sets the servers that fail more often than their peers.
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
            self.note_change(&backend);
        }
    }

    fn note_change(&mut self, backend: &Name) {
        let Some(record) = self.records.get_mut(backend) else {
            return;
        };
        let (told_requests, told_tokens, told_suspect) = record.told;
        let requests = MIN_REQUESTS.max((f64::from(told_requests) * CHANGE_SHARE) as u32);
        let tokens = MIN_TOKENS.max((told_tokens as f64 * CHANGE_SHARE) as u64);
        let is_noticeable = record.in_flight.abs_diff(told_requests) >= requests
            || record.pending_tokens.abs_diff(told_tokens) >= tokens
            || record.is_suspect != told_suspect;
        if is_noticeable {
            self.version += 1;
            record.version = self.version;
            record.told = (record.in_flight, record.pending_tokens, record.is_suspect);
        }
    }

    /// Totals that changed after `version`, and the newest version.
    pub(crate) fn since(&self, version: u64) -> (Vec<BackendTotal>, u64) {
        let changed = self
            .records
            .iter()
            .filter(|(_, record)| record.version > version);
        let totals = changed.map(|(backend, record)| {
            let (in_flight, pending_tokens, is_suspect) = record.told;
            BackendTotal {
                backend: backend.clone(),
                in_flight,
                pending_tokens,
                is_suspect,
            }
        });
        (totals.collect(), self.version)
    }

    /// Forgets backend servers that are gone.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.records.retain(|backend, _| keep(backend));
    }
}
