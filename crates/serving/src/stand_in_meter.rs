use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;
use crate::MeterSettings;

/// Time for which a host that asked counts as one that reaches no holder.
const ASKER_TIME: Duration = Duration::from_secs(2);

/// Longest pause that a refusal names: a holder mostly answers again by then.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Admits requests of hosts whose holder doesn't answer, until there is a new one.
///
/// Each of those hosts alone has a share of a rate that is smaller than one request. Here their shares are put together:
/// accounts earn the share of the hosts that ask, and start empty.
#[derive(Debug)]
pub struct StandInMeter {
    settings: MeterSettings,
    askers: HashMap<HostId, MonotonicTime>,
    levels: HashMap<Name, StandInLevel>,
    /// Shares earned by each unit of rate, seconds.
    earned_s: f64,
    earned_at: MonotonicTime,
}

#[derive(Debug)]
struct StandInLevel {
    units: f64,
    /// [`StandInMeter::earned_s`] up to which the level is settled.
    earned_s: f64,
}

impl StandInMeter {
    /// A meter that nobody has asked.
    pub fn new(settings: MeterSettings) -> Self {
        Self {
            settings,
            askers: HashMap::new(),
            levels: HashMap::new(),
            earned_s: 0.0,
            earned_at: MonotonicTime::ZERO,
        }
    }

    /// What accounts have left of what this host earned and gave away in place of a holder, for its own term.
    pub fn levels(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.levels
            .iter()
            .map(|(account, level)| (account, level.units))
    }

    /// Notes that `host`, one of `hosts` in the fleet, reaches no holder. Returns the share of the rates that is earned now.
    pub fn note_host(&mut self, host: &HostId, hosts: u32, now: MonotonicTime) -> f64 {
        self.askers
            .retain(|_, asked_at| now.since(*asked_at) < ASKER_TIME);
        let share = (self.askers.len() as f64 / f64::from(hosts.max(1))).min(1.0);
        let elapsed = now.since(self.earned_at).min(ASKER_TIME);
        self.earned_s += share * elapsed.as_secs_f64();
        self.earned_at = now;
        self.askers.insert(host.clone(), now);
        share
    }

    /// Charges a request for `host`, one of `hosts` in the fleet. The pause until it could be admitted if it is not.
    pub fn charge(
        &mut self,
        host: &HostId,
        hosts: u32,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let share = self.note_host(host, hosts, now);
        let rate = account.rate_per_s as f64;
        let burst = account.burst as f64;
        let slack = self.settings.stand_in_slack(account);
        let earned_s = self.earned_s;
        let level = self
            .levels
            .entry(account.name.clone())
            .or_insert(StandInLevel {
                units: 0.0,
                earned_s,
            });
        level.units = (level.units + rate * (earned_s - level.earned_s)).min(burst);
        level.earned_s = earned_s;
        let missing = (cost as f64).min(burst + slack) - level.units - slack;
        if missing > 0.0 {
            let pause = Duration::from_secs_f64(missing / (rate * share).max(1.0));
            return Err(pause.min(MAX_PAUSE));
        }
        level.units -= cost as f64;
        Ok(())
    }
}
