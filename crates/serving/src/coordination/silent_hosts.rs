use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;

/// Time for which a host that did not answer is passed over. Longer than two report intervals of a large fleet with their
/// timeouts, so that a coordinator that is gone stays in it from one report to the next.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Hosts that did not answer a call of this host, so that the next calls go elsewhere at once.
///
/// Load pattern: a host that coordinates or stands in is lost for good, and its record stays in the store. Each request
/// near its account's limit would wait for a call to it, and then be refused by this host's share of the rate.
#[derive(Debug, Default)]
pub struct SilentHosts {
    /// When each of them first and last did not answer.
    silent_at: HashMap<HostId, (MonotonicTime, MonotonicTime)>,
}

impl SilentHosts {
    /// Records that `host` did not answer a call, or answered that it doesn't coordinate.
    pub fn record_silence(&mut self, host: &HostId, now: MonotonicTime) {
        self.silent_at
            .retain(|_, (_, last)| now.since(*last) < SILENCE_TIME);
        let times = self.silent_at.entry(host.clone()).or_insert((now, now));
        times.1 = now;
    }

    /// Records that `host` answered.
    pub fn record_answer(&mut self, host: &str) {
        self.silent_at.remove(host);
    }

    /// Time since `host` first did not answer; `None` if it answered since, or was not called lately.
    pub fn silence(&self, host: &str, now: MonotonicTime) -> Option<Duration> {
        let (first, last) = self.silent_at.get(host)?;
        (now.since(*last) < SILENCE_TIME).then(|| now.since(*first))
    }

    /// Returns the hosts of `order` that are not silent.
    pub fn without_silent(&self, mut order: Vec<HostId>, now: MonotonicTime) -> Vec<HostId> {
        order.retain(|host| self.silence(host, now).is_none());
        order
    }
}
