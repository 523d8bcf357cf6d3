use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Period over which the outcomes of servers are compared.
const WINDOW: Duration = Duration::from_secs(4);

/// Smallest number of failures that makes a server suspect.
const MIN_FAILURES: u32 = 3;

/// Smallest share of failures that makes a server suspect.
const SUSPECT_SHARE: f64 = 0.3;

/// Ratio to the peers' share of failures above which a server is suspect. Some requests fail on every server.
const PEER_RATIO: f64 = 2.5;

/// Finds backend servers that fail more often than their peers, from the outcomes reported by all hosts.
#[derive(Debug, Default)]
pub struct BackendHealth {
    outcomes: HashMap<Name, VecDeque<OutcomeCount>>,
}

#[derive(Debug)]
struct OutcomeCount {
    at: MonotonicTime,
    succeeded: u32,
    failed: u32,
}

impl BackendHealth {
    /// Adds the numbers of answered and failed requests that a host reported for the server.
    pub fn add(&mut self, backend: &Name, succeeded: u32, failed: u32, now: MonotonicTime) {
        if succeeded + failed == 0 {
            return;
        }
        let counts = self.outcomes.entry(backend.clone()).or_default();
        counts.push_back(OutcomeCount {
            at: now,
            succeeded,
            failed,
        });
    }

    /// Returns the suspect servers among `peers`, which serve the same requests.
    pub fn suspects(&mut self, peers: &[Name], now: MonotonicTime) -> Vec<Name> {
        let mut totals = Vec::new();
        for peer in peers {
            let Some(counts) = self.outcomes.get_mut(peer) else {
                continue;
            };
            while counts
                .front()
                .is_some_and(|count| now.since(count.at) >= WINDOW)
            {
                counts.pop_front();
            }
            let succeeded: u32 = counts.iter().map(|count| count.succeeded).sum();
            let failed: u32 = counts.iter().map(|count| count.failed).sum();
            totals.push((peer, succeeded, failed));
        }
        let all_succeeded: u32 = totals.iter().map(|sum| sum.1).sum();
        let all_failed: u32 = totals.iter().map(|sum| sum.2).sum();
        let suspects = totals.iter().filter(|(_, succeeded, failed)| {
            let share = f64::from(*failed) / f64::from((succeeded + failed).max(1));
            let peers_failed = f64::from(all_failed - failed);
            let peers_all = f64::from((all_succeeded + all_failed - succeeded - failed).max(1));
            *failed >= MIN_FAILURES
                && share >= SUSPECT_SHARE
                && share > PEER_RATIO * peers_failed / peers_all
        });
        suspects.map(|sum| sum.0.clone()).collect()
    }

    /// Drops the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.outcomes.retain(|backend, _| keep(backend));
    }
}
