use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;

/// A host that neither reached the holder nor showed in the store that it lives for this long has ended. Hosts that reach
/// no holder show it each [`crate::LIVENESS_INTERVAL`].
const SHOWN_LIMIT: Duration = Duration::from_secs(8);

/// Shortest silence after which a host is taken to admit from its own share of the rates. Two reports have failed then.
const MIN_SILENCE: Duration = Duration::from_millis(900);

/// The same for each host of the fleet: large fleets report less often, and one late report is no silence.
const SILENCE_PER_HOST: Duration = Duration::from_micros(7_500);

/// Which hosts of the fleet reach the holder of the duty, and which live without reaching it.
#[derive(Debug)]
pub(crate) struct HostPresence {
    started_at: MonotonicTime,
    records: HashMap<HostId, PresenceRecord>,
    /// Hosts that live and don't reach the holder, as of the last check.
    silent: usize,
}

#[derive(Debug)]
struct PresenceRecord {
    /// When the host last reached this holder.
    seen_at: MonotonicTime,
    /// When it last showed in the store that it lives.
    shown_at: MonotonicTime,
    is_silent: bool,
}

impl HostPresence {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            records: HashMap::new(),
            silent: 0,
        }
    }

    /// Sets the hosts of the fleet, with when each showed in the store that it lives.
    pub(crate) fn set_hosts(&mut self, shown: HashMap<HostId, MonotonicTime>) {
        self.records.retain(|host, _| shown.contains_key(host));
        for (host, shown_at) in shown {
            let record = self.records.entry(host).or_insert(PresenceRecord {
                seen_at: self.started_at.max(shown_at),
                shown_at,
                is_silent: false,
            });
            record.shown_at = record.shown_at.max(shown_at);
        }
    }

    pub(crate) fn host_count(&self) -> usize {
        self.records.len().max(1)
    }

    /// Part of the rates that is left for hosts that reach the holder. The others admit their shares by themselves.
    pub(crate) fn free_share(&self) -> f64 {
        1.0 - self.silent as f64 / self.host_count() as f64
    }

    /// Looks which hosts are silent. Returns for how long, added up over hosts, those found silent now have admitted from
    /// their shares already.
    pub(crate) fn check(&mut self, now: MonotonicTime) -> Duration {
        let limit = MIN_SILENCE.max(SILENCE_PER_HOST * self.records.len() as u32);
        let mut newly_silent = Duration::ZERO;
        self.silent = 0;
        for record in self.records.values_mut() {
            let silence = now.since(record.seen_at);
            let is_alive = now.since(record.shown_at.max(record.seen_at)) < SHOWN_LIMIT;
            if silence < limit || !is_alive {
                continue;
            }
            self.silent += 1;
            if !record.is_silent {
                record.is_silent = true;
                newly_silent += silence;
            }
        }
        newly_silent
    }

    /// Notes that a host reached the holder. Returns for how long its share was kept for it.
    pub(crate) fn note_seen(&mut self, host: &str, now: MonotonicTime) -> Duration {
        let Some(record) = self.records.get_mut(host) else {
            return Duration::ZERO;
        };
        let until = now.min(record.shown_at.max(record.seen_at) + SHOWN_LIMIT);
        let kept = if record.is_silent {
            until.since(record.seen_at)
        } else {
            Duration::ZERO
        };
        record.seen_at = now;
        record.is_silent = false;
        kept
    }
}
