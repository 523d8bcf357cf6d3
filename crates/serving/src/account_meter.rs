use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::AccountUse;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;

/// Age up to which the fleet's levels are used. Two reports have failed then.
pub(crate) const LEVEL_LIMIT: Duration = Duration::from_millis(900);

/// Time between two signs of life in the store of a host that reaches no holder, so that its share of the rates is kept
/// for it.
pub const SHOW_INTERVAL: Duration = Duration::from_secs(5);

/// Part of the tolerated excess that levels may go below zero. What hosts admit between two reports while the load jumps
/// needs the rest.
const LEVEL_SLACK_SHARE: f64 = 0.1;

/// Part of the tolerated excess that hosts without levels share.
const BLIND_SLACK_SHARE: f64 = 0.3;

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
    pub over_share: f64,
    /// Units that may be exceeded besides.
    pub slack: f64,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChargeRefusal {
    /// When it could be.
    pub again_in: Duration,
    /// Units missing.
    pub missing: f64,
    /// True if this host had no recent levels and admitted only its own share.
    pub is_blind: bool,
}

impl MeterSettings {
    /// Units beyond rate and burst that are tolerated in one window.
    fn excess(&self, account: &AccountSpec) -> f64 {
        let allowed = account.rate_per_s as f64 * self.window.as_secs_f64() + account.burst as f64;
        self.over_share * allowed + self.slack
    }

    /// Units that the fleet's level of an account may go below zero.
    pub fn level_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * LEVEL_SLACK_SHARE
    }

    /// Level at which a new holder starts an account, of whose usage it knows nothing: the former holder may have let it go
    /// below zero, and mostly has not.
    pub fn unknown_level(&self, account: &AccountSpec) -> f64 {
        -self.excess(account) * UNKNOWN_DEBT_SHARE
    }

    fn blind_slack(&self, account: &AccountSpec) -> f64 {
        self.excess(account) * BLIND_SLACK_SHARE
    }
}

/// Keeps client accounts within their rate over all hosts together.
///
/// With recent levels from the host that adds up the reports, an account may use what the fleet has left. Without, this
/// host admits from a bucket that earns an equal share of the rate, so that all hosts together stay within it even if each
/// is alone.
#[derive(Debug)]
pub struct AccountMeter {
    settings: MeterSettings,
    hosts: u32,
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
}

#[derive(Debug)]
struct FleetLevel {
    units: f64,
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
            is_first_start,
            records: HashMap::new(),
        }
    }

    /// Sets the number of hosts that share the accounts.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Charges a request.
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
        let (missing, free_rate, is_blind) = match fleet {
            Some(fleet) => {
                // A request larger than the burst needs a full bucket, or it would never be admitted.
                let needed = (cost as f64).min(account.burst as f64);
                let missing = needed - fleet.units - settings.level_slack(account);
                let free_rate = (rate - fleet.others_per_s).max(rate * MIN_FREE_SHARE);
                (missing, free_rate, false)
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
            let again_in = Duration::from_secs_f64(missing / free_rate);
            return Err(ChargeRefusal {
                again_in: again_in.min(MAX_RETRY_AFTER),
                missing,
                is_blind,
            });
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

    /// Usage for the next report. If the report fails, [`Self::return_unreported`] takes it back.
    pub fn take_unreported(&mut self) -> Vec<AccountUse> {
        let records = self.records.iter_mut();
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
                others_per_s: *others_per_s as f64,
                at: asked_at,
                heard_at: asked_at,
            });
            // The fleet's level holds the whole burst; a share of it besides would count twice.
            record.share.units = record.share.units.min(0.0);
        }
    }
}

impl MeterRecord {
    /// Credits the time since the last call, less what the other hosts probably used.
    fn advance(&mut self, account: &AccountSpec, hosts: f64, now: MonotonicTime) {
        let rate = account.rate_per_s as f64;
        let burst = account.burst as f64;
        if let Some(fleet) = &mut self.fleet {
            let elapsed = now.since(fleet.at).as_secs_f64();
            fleet.units = (fleet.units + (rate - fleet.others_per_s) * elapsed).min(burst);
            fleet.at = now;
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
