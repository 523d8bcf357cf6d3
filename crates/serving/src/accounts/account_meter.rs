use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::AccountUse;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorLevel;

use crate::AccountSpec;

/// Age up to which an account's fleet level is used.
const MAX_LEVEL_AGE: Duration = Duration::from_millis(900);

/// Age up to which a fleet level admits a request without a call to the coordinator. What all hosts admit within this
/// time while an account's load rises suddenly must stay within the tolerated excess.
const MAX_AMPLE_LEVEL_AGE: Duration = Duration::from_millis(600);

/// Share of the burst that a request must leave to be admitted without a call, for what other hosts use meanwhile.
const AMPLE_BURST_SHARE: f64 = 0.5;

/// Pause after a failed call, without which each request would wait for a call of its own, one after the other.
const COORDINATOR_CALL_PAUSE: Duration = Duration::from_millis(500);

/// Interval at which a host without contact to a coordinator refreshes its record in the store. The coordinator keeps
/// the host's share of the rates for it as long as the record is recent.
pub const LIVENESS_INTERVAL: Duration = Duration::from_secs(5);

/// Share of the tolerated excess by which fleet levels may go below zero. The rest covers what hosts admit between two
/// reports while the load rises suddenly.
const LEVEL_SLACK_SHARE: f64 = 0.1;

/// Share of the tolerated excess for hosts that reach neither the coordinator nor its stand-in, all of them together.
const LOCAL_SLACK_SHARE: f64 = 0.2;

/// Share of the tolerated excess that the coordinator's stand-in may admit.
const STAND_IN_SLACK_SHARE: f64 = 0.15;

/// Share of the tolerated excess that counts as used when the coordinator changes. Together with what hosts admit
/// during the change it stays below the whole.
const INITIAL_DEBT_SHARE: f64 = 0.25;

/// Share of its part of the burst that a host may save up locally. The rest makes up for hosts that have used more than
/// their part when the coordinator is lost.
const SAVED_BURST_SHARE: f64 = 0.5;

/// Largest request that a host admits from its local bucket, as a multiple of the bucket's size and slack.
const MAX_REQUEST_SHARES: f64 = 5.0;

/// Smallest share of the rate that counts as free when the pause of a refusal is computed, however much other hosts
/// use.
const MIN_FREE_RATE_SHARE: f64 = 0.1;

/// Longest pause that a refusal states.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// Excess over an account's rate and burst that is tolerated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeterSettings {
    /// Length of the window in which usage is compared with the allowed units.
    pub window: Duration,
    /// Tolerated excess as a share of the allowed units.
    pub excess_share: f64,
    /// Tolerated excess in units, in addition to `excess_share`.
    pub excess_units: f64,
}

/// Why and for how long a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChargeRefusal {
    /// Estimated time until the request could be admitted; at most 8 s.
    pub again_in: Duration,
    /// Units that the account lacks for the request.
    pub missing: f64,
    /// True if the request was decided by this host's share of the rate, without a recent fleet level.
    pub is_local_share: bool,
}

/// Result of charging a request to a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChargeDecision {
    /// The request is charged and may run.
    Admitted,
    /// The coordinator or its stand-in must decide.
    Ask,
    /// The request is not charged and must not run.
    Refused(ChargeRefusal),
}

impl MeterSettings {
    /// Units beyond the rate and burst that are tolerated in one window.
    fn excess(&self, account: &AccountSpec) -> f64 {
        let allowed = account.rate_per_s as f64 * self.window.as_secs_f64() + account.burst as f64;
        self.excess_share * allowed + self.excess_units
    }

    /// Units by which the fleet level of an account may go below zero.
    pub fn level_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * LEVEL_SLACK_SHARE
    }

    /// Units that an account with a fleet level of `level` lacks for a request; at most 0 if it has enough.
    pub(crate) fn missing(&self, account: &AccountSpec, cost: u64, level: f64) -> f64 {
        // A request larger than the burst needs only a full bucket, or it would never be admitted.
        let needed = (cost as f64).min(account.burst as f64);
        needed - level - self.level_slack(account)
    }

    /// Level at which a new coordinator starts an account whose earlier usage it doesn't know. The former coordinator
    /// may have let the level go below zero, but rarely has.
    pub fn initial_level(&self, account: &AccountSpec) -> f64 {
        -self.excess(account) * INITIAL_DEBT_SHARE
    }

    /// Units by which the local buckets of all hosts together may go below zero.
    fn local_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * LOCAL_SLACK_SHARE
    }

    /// Units that the coordinator's stand-in may admit beyond what an account earns.
    pub(crate) fn stand_in_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * STAND_IN_SLACK_SHARE
    }
}

/// Keeps client accounts within their rates over all hosts together.
///
/// With a recent fleet level from the coordinator, an account may use what it has left over the whole fleet. Without
/// one, or when little is left, the coordinator is called. If no call succeeds, this host admits from a local bucket
/// that earns an equal share of the rate, so that all hosts together stay within it even if none reaches another.
#[derive(Debug)]
pub struct AccountMeter {
    settings: MeterSettings,
    hosts: u32,
    /// Time before which no call to the coordinator is made.
    coordinator_calls_from: MonotonicTime,
    /// True if no host has metered usage before, so that local buckets start with saved units.
    is_first_start: bool,
    records: HashMap<Name, MeterRecord>,
}

#[derive(Debug)]
struct MeterRecord {
    fleet: Option<FleetLevel>,
    /// This host's share of the rate, from which it admits while it has no recent fleet level.
    local: LocalBucket,
    /// Units charged here that the coordinator doesn't know of yet; negative after refunds.
    unreported: i64,
    /// Units that a stand-in charged for this host. The stand-in knows them itself if it becomes the next coordinator.
    stand_in_charges: Option<(HostId, i64)>,
}

/// What an account has left over all hosts, as estimated from the coordinator's last statement.
#[derive(Debug)]
struct FleetLevel {
    units: f64,
    /// Level as the coordinator stated it, for a successor.
    prior: i64,
    /// Units a second that the other hosts use.
    others_per_s: f64,
    /// Time up to which `units` is settled.
    at: MonotonicTime,
    received_at: MonotonicTime,
}

/// Token bucket of this host's share of an account's rate.
#[derive(Debug)]
struct LocalBucket {
    units: f64,
    at: MonotonicTime,
}

impl AccountMeter {
    /// Creates a meter that knows no usage. Set `is_first_start` only if the whole fleet starts for the first time;
    /// otherwise there was earlier usage, and local buckets start empty.
    pub fn new(settings: MeterSettings, is_first_start: bool) -> Self {
        Self {
            settings,
            hosts: 1,
            coordinator_calls_from: MonotonicTime::ZERO,
            is_first_start,
            records: HashMap::new(),
        }
    }

    /// Number of hosts that share the accounts' rates; at least 1.
    pub fn hosts(&self) -> u32 {
        self.hosts
    }

    /// Sets the number of hosts that share the accounts' rates; at least 1 is used.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Charges a request if a recent fleet level leaves enough, or refuses it if the level is too low. Otherwise the
    /// coordinator must decide, unless calls are paused.
    pub fn begin_charge(
        &mut self,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) -> ChargeDecision {
        let may_call_coordinator = now >= self.coordinator_calls_from;
        let record = self.records.get_mut(&account.name);
        let fleet = record.and_then(|record| record.fleet.as_mut());
        let fleet = fleet.filter(|fleet| now.since(fleet.received_at) < MAX_AMPLE_LEVEL_AGE);
        let is_ample = fleet.is_some_and(|fleet| {
            fleet.advance(account, now);
            fleet.units - cost as f64 >= account.burst as f64 * AMPLE_BURST_SHARE
        });
        if may_call_coordinator
            && !is_ample
            && account.rate_per_s > 0
            && !self.is_known_short(account, cost, now)
        {
            return ChargeDecision::Ask;
        }
        match self.charge(account, cost, now) {
            Ok(()) => ChargeDecision::Admitted,
            Err(refusal) => ChargeDecision::Refused(refusal),
        }
    }

    /// True if a recent fleet level is too low for the request.
    fn is_known_short(&self, account: &AccountSpec, cost: u64, now: MonotonicTime) -> bool {
        let fleet = self.records.get(&account.name);
        let fleet = fleet.and_then(|record| record.fleet.as_ref());
        let fleet = fleet.filter(|fleet| now.since(fleet.received_at) < MAX_LEVEL_AGE);
        fleet.is_some_and(|fleet| self.settings.missing(account, cost, fleet.units) > 0.0)
    }

    /// Applies the coordinator's decision on a request, with the fleet level after it. Returns the refusal if the
    /// request was not admitted.
    pub fn apply_coordinator_charge(
        &mut self,
        account: &AccountSpec,
        cost: u64,
        is_admitted: bool,
        level: &AccountLevel,
        now: MonotonicTime,
    ) -> Result<(), ChargeRefusal> {
        self.apply_levels(std::slice::from_ref(level), now);
        if is_admitted {
            return Ok(());
        }
        let missing = self.settings.missing(account, cost, level.level as f64);
        let free_rate = free_rate(account, level.others_per_s as f64);
        Err(ChargeRefusal::new(missing, free_rate, false))
    }

    /// Records that the coordinator's stand-in `host` charged a request. The next coordinator learns of it by a report,
    /// unless it is that host.
    pub fn apply_stand_in_charge(
        &mut self,
        host: &HostId,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) {
        let record = self.record(&account.name, 0.0, now);
        let before = match record.stand_in_charges.take() {
            Some((known, units)) if known == *host => units,
            Some((_, units)) => {
                record.unreported += units;
                0
            }
            None => 0,
        };
        record.stand_in_charges = Some((host.clone(), before + cost as i64));
    }

    /// Pauses calls after neither the coordinator nor its stand-in answered.
    pub fn pause_coordinator_calls(&mut self, now: MonotonicTime) {
        self.coordinator_calls_from = now + COORDINATOR_CALL_PAUSE;
    }

    /// Ends the pause, because a coordinator answered.
    pub fn resume_coordinator_calls(&mut self) {
        self.coordinator_calls_from = MonotonicTime::ZERO;
    }

    /// Charges a request by this host's own knowledge: a recent fleet level, or else the local bucket.
    pub fn charge(
        &mut self,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) -> Result<(), ChargeRefusal> {
        if account.rate_per_s == 0 {
            return Ok(());
        }
        let hosts = f64::from(self.hosts);
        let start_units = if self.is_first_start {
            account.burst as f64 / hosts * SAVED_BURST_SHARE
        } else {
            0.0
        };
        let settings = self.settings;
        let record = self.record(&account.name, start_units, now);
        record.advance(account, hosts, now);
        let rate = account.rate_per_s as f64;
        let fleet = record.fleet.as_ref();
        let fleet = fleet.filter(|fleet| now.since(fleet.received_at) < MAX_LEVEL_AGE);
        let (missing, free_rate, is_local_share) = match fleet {
            Some(fleet) => {
                let missing = settings.missing(account, cost, fleet.units);
                (missing, free_rate(account, fleet.others_per_s), false)
            }
            None => {
                let slack = settings.local_slack(account) / hosts;
                let most = account.burst as f64 / hosts * SAVED_BURST_SHARE + slack;
                let cost = cost as f64;
                // One request may be larger than a host's share of the burst. Later requests wait until it is paid off.
                let needed = if cost <= most * MAX_REQUEST_SHARES {
                    cost.min(most)
                } else {
                    cost
                };
                let missing = needed - record.local.units - slack;
                (missing, rate / hosts, true)
            }
        };
        if missing > 0.0 {
            return Err(ChargeRefusal::new(missing, free_rate, is_local_share));
        }
        record.use_units(cost as i64);
        Ok(())
    }

    /// Returns the account's record, created with `units` in its local bucket.
    fn record(&mut self, account: &Name, units: f64, now: MonotonicTime) -> &mut MeterRecord {
        self.records
            .entry(account.clone())
            .or_insert_with(|| MeterRecord {
                fleet: None,
                local: LocalBucket { units, at: now },
                unreported: 0,
                stand_in_charges: None,
            })
    }

    /// Takes back the charge of a request that did not run.
    pub fn refund(&mut self, account: &AccountSpec, cost: u64) {
        if account.rate_per_s == 0 {
            return;
        }
        if let Some(record) = self.records.get_mut(&account.name) {
            record.use_units(-(cost as i64));
        }
    }

    /// Takes the usage for the next report, to `coordinator`. Pass it to [`Self::return_unreported`] if the
    /// report fails, or it is lost.
    pub fn take_unreported(&mut self, coordinator: &str) -> Vec<AccountUse> {
        let records = self.records.iter_mut().map(|(account, record)| {
            if let Some((host, units)) = record.stand_in_charges.take()
                && *host != *coordinator
            {
                record.unreported += units;
            }
            (account, record)
        });
        let used = records.filter(|(_, record)| record.unreported != 0);
        used.map(|(account, record)| AccountUse {
            account: account.clone(),
            units: std::mem::take(&mut record.unreported),
        })
        .collect()
    }

    /// Puts back usage that could not be reported.
    pub fn return_unreported(&mut self, usage: Vec<AccountUse>) {
        for AccountUse { account, units } in usage {
            if let Some(record) = self.records.get_mut(&account) {
                record.unreported += units;
            }
        }
    }

    /// Levels that the last coordinator stated within [`MeterSettings::window`], for its successor.
    pub fn prior_levels(&self, now: MonotonicTime) -> Vec<PriorLevel> {
        let records = self.records.iter();
        let levels = records.filter_map(|(account, record)| {
            let fleet = record.fleet.as_ref()?;
            let is_recent = now.since(fleet.received_at) < self.settings.window;
            is_recent.then(|| PriorLevel {
                account: account.clone(),
                level: fleet.prior,
            })
        });
        levels.collect()
    }

    /// Applies fleet levels from an answer to a call sent at `asked_at`. Usage that is not reported yet is subtracted.
    pub fn apply_levels(&mut self, levels: &[AccountLevel], asked_at: MonotonicTime) {
        for AccountLevel {
            account,
            level,
            others_per_s,
        } in levels
        {
            let record = self.record(account, 0.0, asked_at);
            record.fleet = Some(FleetLevel {
                units: (level - record.unreported) as f64,
                prior: *level,
                others_per_s: *others_per_s as f64,
                at: asked_at,
                received_at: asked_at,
            });
            // The fleet level includes the whole burst, so units saved locally would count twice.
            record.local.units = record.local.units.min(0.0);
        }
    }
}

/// Units a second that an account is expected to earn for this host while other hosts use `others_per_s`; used for the
/// pause of a refusal.
fn free_rate(account: &AccountSpec, others_per_s: f64) -> f64 {
    let rate = account.rate_per_s as f64;
    (rate - others_per_s).max(rate * MIN_FREE_RATE_SHARE)
}

impl ChargeRefusal {
    fn new(missing: f64, free_rate: f64, is_local_share: bool) -> Self {
        let missing = missing.max(0.0);
        let again_in = Duration::from_secs_f64(missing / free_rate.max(1.0));
        Self {
            again_in: again_in.min(MAX_RETRY_AFTER),
            missing,
            is_local_share,
        }
    }
}

impl FleetLevel {
    /// Adds the units earned since the last call, less the expected use by other hosts.
    fn advance(&mut self, account: &AccountSpec, now: MonotonicTime) {
        let earned_per_s = account.rate_per_s as f64 - self.others_per_s;
        let elapsed = now.since(self.at).as_secs_f64();
        self.units = (self.units + earned_per_s * elapsed).min(account.burst as f64);
        self.at = now;
    }
}

impl MeterRecord {
    /// Adds the units earned since the last call to the fleet level and the local bucket.
    fn advance(&mut self, account: &AccountSpec, hosts: f64, now: MonotonicTime) {
        let rate = account.rate_per_s as f64;
        let burst = account.burst as f64;
        if let Some(fleet) = &mut self.fleet {
            fleet.advance(account, now);
        }
        let local = &mut self.local;
        let elapsed = now.since(local.at).as_secs_f64();
        local.units = (local.units + rate / hosts * elapsed).min(burst / hosts * SAVED_BURST_SHARE);
        local.at = now;
    }

    /// Subtracts units from both levels and adds them to the unreported usage; negative for a refund.
    fn use_units(&mut self, units: i64) {
        self.unreported += units;
        self.local.units -= units as f64;
        if let Some(fleet) = &mut self.fleet {
            fleet.units -= units as f64;
        }
    }
}
