use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;
use crate::MeterSettings;

/// Time for which a host counts as one without a coordinator after its last request here.
const ASKING_HOST_TIME: Duration = Duration::from_secs(2);

/// Longest pause that a refusal states. A coordinator has usually answered again by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Admits requests of hosts whose coordinator doesn't answer, until there is a new one.
///
/// A single host's share of a rate can be smaller than one request. Here the shares of the asking hosts are pooled:
/// accounts start empty and earn the sum of these shares.
#[derive(Debug)]
pub struct StandInMeter {
    settings: MeterSettings,
    /// Hosts that reach no coordinator, with the time of their last request.
    asking_hosts: HashMap<HostId, MonotonicTime>,
    levels: HashMap<Name, StandInLevel>,
    /// Units earned for each unit a second of rate, seconds.
    earned_s: f64,
    earned_at: MonotonicTime,
}

/// Units that an account has left.
#[derive(Debug)]
struct StandInLevel {
    units: f64,
    /// Value of [`StandInMeter::earned_s`] up to which `units` is settled.
    earned_s: f64,
}

impl StandInMeter {
    /// Creates a meter that no host has used yet.
    pub fn new(settings: MeterSettings) -> Self {
        Self {
            settings,
            asking_hosts: HashMap::new(),
            levels: HashMap::new(),
            earned_s: 0.0,
            earned_at: MonotonicTime::ZERO,
        }
    }

    /// What accounts have left of the units that this host earned and admitted, to continue from if it becomes
    /// coordinator.
    pub fn levels(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.levels
            .iter()
            .map(|(account, level)| (account, level.units))
    }

    /// Records that `host`, one of `hosts` in the fleet, reaches no coordinator. Returns the share of the rates that
    /// accounts earned here since the last call.
    pub fn record_host(&mut self, host: &HostId, hosts: u32, now: MonotonicTime) -> f64 {
        self.asking_hosts
            .retain(|_, asked_at| now.since(*asked_at) < ASKING_HOST_TIME);
        let share = (self.asking_hosts.len() as f64 / f64::from(hosts.max(1))).min(1.0);
        let elapsed = now.since(self.earned_at).min(ASKING_HOST_TIME);
        self.earned_s += share * elapsed.as_secs_f64();
        self.earned_at = now;
        self.asking_hosts.insert(host.clone(), now);
        share
    }

    /// Charges a request for `host`, one of `hosts` in the fleet. Returns the pause until it could be admitted if it is
    /// not.
    pub fn charge(
        &mut self,
        host: &HostId,
        hosts: u32,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        let share = self.record_host(host, hosts, now);
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
            return Err(pause.min(MAX_RETRY_AFTER));
        }
        level.units -= cost as f64;
        Ok(())
    }
}
