use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::AccountUse;
use zinniahinge_types::HeardLevel;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;

/// Age up to which the fleet's levels are used.
const LEVEL_LIMIT: Duration = Duration::from_millis(900);

/// Age up to which a request is admitted by a level without asking. What all hosts admit within it, while the load of an
/// account jumps, must stay within the tolerated excess.
const AMPLE_LIMIT: Duration = Duration::from_millis(600);

/// Part of the burst that must be left for a request to be admitted without asking. Other hosts use the rest meanwhile.
const NEAR_SHARE: f64 = 0.5;

/// Time for which nobody is asked after a question failed, so that requests don't wait one after the other.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// Time between two signs of life in the store of a host that reaches no holder, so that its share of the rates is kept
/// for it.
pub const LIVENESS_INTERVAL: Duration = Duration::from_secs(5);

/// Part of the tolerated excess that levels may go below zero. What hosts admit between two reports while the load jumps
/// needs the rest.
const LEVEL_SLACK_SHARE: f64 = 0.1;

/// Part of the tolerated excess that hosts share which reach neither the holder nor its stand-in.
const BLIND_SLACK_SHARE: f64 = 0.2;

/// Part of the tolerated excess that the holder's stand-in may give away.
const STAND_IN_SLACK_SHARE: f64 = 0.15;

/// Part of the tolerated excess that is taken for used when the holder changes. With what hosts admit meanwhile it stays
/// under the whole.
const UNKNOWN_DEBT_SHARE: f64 = 0.25;

/// Part of its share of the burst that a host saves up: when the holder is lost, some hosts have used more than their share.
const SAVED_BURST_SHARE: f64 = 0.5;

/// Largest request that a host without levels admits, in shares of the burst.
const MAX_SHARE_DEBT: f64 = 5.0;

/// Part of the rate that counts as free, however much the other hosts use, when a refusal names a pause.
const MIN_FREE_SHARE: f64 = 0.1;

/// Longest pause that a refusal names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// What is tolerated beyond an account's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeterSettings {
    /// Window over which usage is judged.
    pub window: Duration,
    /// Share of the allowed units that may be exceeded.
    pub excess_share: f64,
    /// Units that may be exceeded besides.
    pub excess_units: f64,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChargeRefusal {
    /// When it could be.
    pub again_in: Duration,
    /// Units missing.
    pub missing: f64,
    /// True if this host had no recent levels and admitted only its own share.
    pub is_local_share: bool,
}

/// What to do with a request of a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChargeDecision {
    /// It is charged.
    Admitted,
    /// The holder must decide.
    Ask,
    /// It is not admitted.
    Refused(ChargeRefusal),
}

impl MeterSettings {
    /// Units beyond rate and burst that are tolerated in one window.
    fn excess(&self, account: &AccountSpec) -> f64 {
        let allowed = account.rate_per_s as f64 * self.window.as_secs_f64() + account.burst as f64;
        self.excess_share * allowed + self.excess_units
    }

    /// Units that the fleet's level of an account may go below zero.
    pub fn level_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * LEVEL_SLACK_SHARE
    }

    /// Units that an account with `level` units left over the fleet lacks for a request; at most 0 if it has enough.
    pub(crate) fn missing(&self, account: &AccountSpec, cost: u64, level: f64) -> f64 {
        // A request larger than the burst needs a full bucket, or it would never be admitted.
        let needed = (cost as f64).min(account.burst as f64);
        needed - level - self.level_slack(account)
    }

    /// Level at which a new holder starts an account, of whose usage it knows nothing: the former holder may have let it go
    /// below zero, and mostly has not.
    pub fn initial_level(&self, account: &AccountSpec) -> f64 {
        -self.excess(account) * UNKNOWN_DEBT_SHARE
    }

    fn blind_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * BLIND_SLACK_SHARE
    }

    /// Units that the holder's stand-in may admit beyond what an account earns.
    pub(crate) fn stand_in_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * STAND_IN_SLACK_SHARE
    }
}

/// Keeps client accounts within their rate over all hosts together.
///
/// With recent levels from the host that adds up the reports, an account may use what the fleet has left. Without, or
/// when little is left, that host is asked. If nobody answers, this host admits from a bucket that earns an equal share of
/// the rate, so that all hosts together stay within it even if each is alone.
#[derive(Debug)]
pub struct AccountMeter {
    settings: MeterSettings,
    hosts: u32,
    /// Nobody is asked until then.
    asks_from: MonotonicTime,
    /// True if there was no usage before the meter.
    is_first_start: bool,
    records: HashMap<Name, MeterRecord>,
}

#[derive(Debug)]
struct MeterRecord {
    fleet: Option<FleetLevel>,
    /// This host's share, from which it admits while it knows no level of the fleet.
    share: ShareLevel,
    /// Usage that the fleet doesn't know yet.
    unreported: i64,
    /// Usage that a stand-in for the holder charged; it knows that itself if it is the next holder.
    stood_in: Option<(HostId, i64)>,
}

#[derive(Debug)]
struct FleetLevel {
    units: f64,
    /// What the holder said.
    heard: i64,
    others_per_s: f64,
    at: MonotonicTime,
    heard_at: MonotonicTime,
}

#[derive(Debug)]
struct ShareLevel {
    units: f64,
    at: MonotonicTime,
}

impl AccountMeter {
    /// A meter that knows no usage. Unless the whole fleet starts for the first time, there was usage before, and shares
    /// start empty.
    pub fn new(settings: MeterSettings, is_first_start: bool) -> Self {
        Self {
            settings,
            hosts: 1,
            asks_from: MonotonicTime::ZERO,
            is_first_start,
            records: HashMap::new(),
        }
    }

    /// Sets the number of hosts that share the accounts.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Charges a request, or says who must decide.
    pub fn begin_charge(
        &mut self,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) -> ChargeDecision {
        let asks = now >= self.asks_from;
        let record = self.records.get_mut(&account.name);
        let fleet = record.and_then(|record| record.fleet.as_mut());
        let fleet = fleet.filter(|fleet| now.since(fleet.heard_at) < AMPLE_LIMIT);
        let is_ample = fleet.is_some_and(|fleet| {
            fleet.advance(account, now);
            fleet.units - cost as f64 >= account.burst as f64 * NEAR_SHARE
        });
        if asks && !is_ample && account.rate_per_s > 0 && !self.is_known_empty(account, cost, now) {
            return ChargeDecision::Ask;
        }
        match self.charge(account, cost, now) {
            Ok(()) => ChargeDecision::Admitted,
            Err(refusal) => ChargeDecision::Refused(refusal),
        }
    }

    /// True if a recent level says that the request can't be admitted yet.
    fn is_known_empty(&self, account: &AccountSpec, cost: u64, now: MonotonicTime) -> bool {
        let fleet = self.records.get(&account.name);
        let fleet = fleet.and_then(|record| record.fleet.as_ref());
        let fleet = fleet.filter(|fleet| now.since(fleet.heard_at) < LEVEL_LIMIT);
        fleet.is_some_and(|fleet| self.settings.missing(account, cost, fleet.units) > 0.0)
    }

    /// Takes in that a request was charged by the holder, or refused, with the level after it.
    pub fn apply_holder_charge(
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

    /// Takes in that a request was charged by `host`, the holder's stand-in. The next holder learns of it by a report,
    /// unless it is that host.
    pub fn apply_stand_in_charge(
        &mut self,
        host: &HostId,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) {
        let record = self.record(&account.name, 0.0, now);
        let before = match record.stood_in.take() {
            Some((known, units)) if known == *host => units,
            Some((_, units)) => {
                record.unreported += units;
                0
            }
            None => 0,
        };
        record.stood_in = Some((host.clone(), before + cost as i64));
    }

    /// Notes that neither the holder nor its stand-in answered.
    pub fn pause_coordinator_calls(&mut self, now: MonotonicTime) {
        self.asks_from = now + ASK_PAUSE;
    }

    /// Notes that a holder answers.
    pub fn resume_coordinator_calls(&mut self) {
        self.asks_from = MonotonicTime::ZERO;
    }

    /// Charges a request by what this host knows itself.
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
        let fleet = fleet.filter(|fleet| now.since(fleet.heard_at) < LEVEL_LIMIT);
        let (missing, free_rate, is_local_share) = match fleet {
            Some(fleet) => {
                let missing = settings.missing(account, cost, fleet.units);
                (missing, free_rate(account, fleet.others_per_s), false)
            }
            None => {
                let slack = settings.blind_slack(account) / hosts;
                let most = account.burst as f64 / hosts * SAVED_BURST_SHARE + slack;
                let cost = cost as f64;
                // One request may be larger than a host's share of the burst; it is paid for before the next.
                let needed = if cost <= most * MAX_SHARE_DEBT {
                    cost.min(most)
                } else {
                    cost
                };
                let missing = needed - record.share.units - slack;
                (missing, rate / hosts, true)
            }
        };
        if missing > 0.0 {
            return Err(ChargeRefusal::new(missing, free_rate, is_local_share));
        }
        record.use_units(cost as i64);
        Ok(())
    }

    fn record(&mut self, account: &Name, units: f64, now: MonotonicTime) -> &mut MeterRecord {
        self.records
            .entry(account.clone())
            .or_insert_with(|| MeterRecord {
                fleet: None,
                share: ShareLevel { units, at: now },
                unreported: 0,
                stood_in: None,
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

    /// Usage for the next report, to `holder`. If the report fails, [`Self::return_unreported`] takes it back.
    pub fn take_unreported(&mut self, holder: &str) -> Vec<AccountUse> {
        let records = self.records.iter_mut().map(|(account, record)| {
            if let Some((host, units)) = record.stood_in.take()
                && *host != *holder
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

    /// Takes usage back that could not be reported.
    pub fn return_unreported(&mut self, usage: Vec<AccountUse>) {
        for AccountUse { account, units } in usage {
            if let Some(record) = self.records.get_mut(&account) {
                record.unreported += units;
            }
        }
    }

    /// Levels that the last holder told within the window over which usage is judged, for its successor.
    pub fn prior_levels(&self, now: MonotonicTime) -> Vec<HeardLevel> {
        let records = self.records.iter();
        let levels = records.filter_map(|(account, record)| {
            let fleet = record.fleet.as_ref()?;
            let is_recent = now.since(fleet.heard_at) < self.settings.window;
            is_recent.then(|| HeardLevel {
                account: account.clone(),
                level: fleet.heard,
            })
        });
        levels.collect()
    }

    /// Takes in the fleet's levels as of `asked_at`.
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
                heard: *level,
                others_per_s: *others_per_s as f64,
                at: asked_at,
                heard_at: asked_at,
            });
            // The fleet's level holds the whole burst; a share of it besides would count twice.
            record.share.units = record.share.units.min(0.0);
        }
    }
}

/// Units a second that an account is taken to earn while other hosts use `others_per_s`, when a refusal names a pause.
fn free_rate(account: &AccountSpec, others_per_s: f64) -> f64 {
    let rate = account.rate_per_s as f64;
    (rate - others_per_s).max(rate * MIN_FREE_SHARE)
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
    /// Credits the time since the last call, less what the other hosts probably used.
    fn advance(&mut self, account: &AccountSpec, now: MonotonicTime) {
        let earned_per_s = account.rate_per_s as f64 - self.others_per_s;
        let elapsed = now.since(self.at).as_secs_f64();
        self.units = (self.units + earned_per_s * elapsed).min(account.burst as f64);
        self.at = now;
    }
}

impl MeterRecord {
    /// Credits the time since the last call.
    fn advance(&mut self, account: &AccountSpec, hosts: f64, now: MonotonicTime) {
        let rate = account.rate_per_s as f64;
        let burst = account.burst as f64;
        if let Some(fleet) = &mut self.fleet {
            fleet.advance(account, now);
        }
        let share = &mut self.share;
        let elapsed = now.since(share.at).as_secs_f64();
        share.units = (share.units + rate / hosts * elapsed).min(burst / hosts * SAVED_BURST_SHARE);
        share.at = now;
    }

    fn use_units(&mut self, units: i64) {
        self.unreported += units;
        self.share.units -= units as f64;
        if let Some(fleet) = &mut self.fleet {
            fleet.units -= units as f64;
        }
    }
}
