use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;

/// Time after which a host counts as stopped if it neither reached the coordinator nor refreshed its record in the
/// store. Hosts that reach no coordinator refresh it each [`crate::LIVENESS_INTERVAL`].
const MAX_LIVENESS_AGE: Duration = Duration::from_secs(8);

/// Shortest time without contact after which a host is assumed to admit from its local buckets. Two of its reports have
/// failed by then.
const MIN_SILENCE: Duration = Duration::from_millis(900);

/// Lower bound of that time for each host of the fleet: large fleets report less often, and one late report must not
/// count as silence.
const SILENCE_PER_HOST: Duration = Duration::from_micros(7_500);

/// Tracks which hosts of the fleet reach the coordinator, and which run without reaching it.
#[derive(Debug)]
pub(crate) struct HostPresence {
    started_at: MonotonicTime,
    records: HashMap<HostId, PresenceRecord>,
    /// Number of hosts that run without reaching the coordinator, as of the last check.
    silent: usize,
}

#[derive(Debug)]
struct PresenceRecord {
    /// When the host last reached this coordinator.
    contact_at: MonotonicTime,
    /// When the host last refreshed its record in the store.
    alive_at: MonotonicTime,
    /// True if the host counted as silent at the last check.
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

    /// Sets the hosts of the fleet, each with when it last refreshed its record in the store.
    pub(crate) fn set_hosts(&mut self, alive_at: HashMap<HostId, MonotonicTime>) {
        self.records.retain(|host, _| alive_at.contains_key(host));
        for (host, alive_at) in alive_at {
            let record = self.records.entry(host).or_insert(PresenceRecord {
                contact_at: self.started_at.max(alive_at),
                alive_at,
                is_silent: false,
            });
            record.alive_at = record.alive_at.max(alive_at);
        }
    }

    /// Number of hosts of the fleet; at least 1.
    pub(crate) fn host_count(&self) -> usize {
        self.records.len().max(1)
    }

    /// Share of the rates for hosts that reach the coordinator. The others admit their shares from local buckets.
    pub(crate) fn coordinated_share(&self) -> f64 {
        1.0 - self.silent as f64 / self.host_count() as f64
    }

    /// Updates which hosts are silent. Returns for how long the newly silent ones have already admitted from their
    /// shares, summed over these hosts.
    pub(crate) fn check(&mut self, now: MonotonicTime) -> Duration {
        let limit = MIN_SILENCE.max(SILENCE_PER_HOST * self.records.len() as u32);
        let mut newly_silent = Duration::ZERO;
        self.silent = 0;
        for record in self.records.values_mut() {
            let silence = now.since(record.contact_at);
            let is_alive = now.since(record.alive_at.max(record.contact_at)) < MAX_LIVENESS_AGE;
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

    /// Records that a host reached the coordinator. Returns for how long its share was reserved.
    pub(crate) fn record_contact(&mut self, host: &str, now: MonotonicTime) -> Duration {
        let Some(record) = self.records.get_mut(host) else {
            return Duration::ZERO;
        };
        let until = now.min(record.alive_at.max(record.contact_at) + MAX_LIVENESS_AGE);
        let kept = if record.is_silent {
            until.since(record.contact_at)
        } else {
            Duration::ZERO
        };
        record.contact_at = now;
        record.is_silent = false;
        kept
    }
}
