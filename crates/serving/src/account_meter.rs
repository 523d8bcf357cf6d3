use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::AccountUse;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;

/// Age up to which the fleet's levels are used. Several reports have failed then.
const LEVEL_LIMIT: Duration = Duration::from_millis(1500);

/// Part of the tolerated excess that levels may go below zero: what hosts admit between two reports uses the rest.
const LEVEL_SLACK_SHARE: f64 = 0.25;

/// Part of the tolerated excess that hosts without levels share.
const BLIND_SLACK_SHARE: f64 = 0.7;

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

/// Keeps client accounts within their rate over all hosts together.
///
/// With recent levels from the host that adds up the reports, an account may use what the fleet has left. Without, this
/// host admits an equal share of what the window allows, so that all hosts together stay within it even if each is alone.
#[derive(Debug)]
pub struct AccountMeter {
    settings: MeterSettings,
    hosts: u32,
    records: HashMap<Name, MeterRecord>,
}

#[derive(Debug, Default)]
struct MeterRecord {
    level: Option<KnownLevel>,
    /// Usage that the fleet doesn't know yet.
    unreported: i64,
    window: VecDeque<(MonotonicTime, u64)>,
}

#[derive(Debug)]
struct KnownLevel {
    units: f64,
    others_per_s: f64,
    at: MonotonicTime,
    heard_at: MonotonicTime,
}

impl AccountMeter {
    /// A meter that knows no usage. `hosts` is the number of hosts that share the accounts.
    pub fn new(settings: MeterSettings, hosts: u32) -> Self {
        Self {
            settings,
            hosts: hosts.max(1),
            records: HashMap::new(),
        }
    }

    /// Sets the number of hosts.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Charges a request; `Err` says when it could be admitted.
    pub fn charge(
        &mut self,
        account: &AccountSpec,
        cost: u64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        if account.rate_per_s == 0 {
            return Ok(());
        }
        let allowed = allowed_units(&self.settings, account);
        let excess = self.settings.over_share * allowed + self.settings.slack;
        let record = self.records.entry(account.name.clone()).or_default();
        record.forget(self.settings.window, now);
        record.advance(account, now);
        let missing = match &record.level {
            Some(level) if now.since(level.heard_at) < LEVEL_LIMIT => {
                let needed = (cost as f64).min(account.burst as f64);
                let missing = needed - level.units - excess * LEVEL_SLACK_SHARE;
                let free_rate = account.rate_per_s as f64 - level.others_per_s;
                missing / free_rate.max(account.rate_per_s as f64 * 0.1)
            }
            _ => {
                let share = (allowed + excess * BLIND_SLACK_SHARE) / f64::from(self.hosts);
                let used: u64 = record.window.iter().map(|used| used.1).sum();
                let missing = used as f64 + cost as f64 - share;
                missing * f64::from(self.hosts) / account.rate_per_s as f64
            }
        };
        if missing > 0.0 {
            return Err(Duration::from_secs_f64(missing).min(MAX_RETRY_AFTER));
        }
        record.window.push_back((now, cost));
        record.use_units(cost as i64);
        Ok(())
    }

    /// Takes back the charge of a request that did not run.
    pub fn refund(&mut self, account: &AccountSpec, cost: u64) {
        if account.rate_per_s == 0 {
            return;
        }
        if let Some(record) = self.records.get_mut(&account.name) {
            record.use_units(-(cost as i64));
            if let Some(index) = record.window.iter().rposition(|used| used.1 == cost) {
                record.window.remove(index);
            }
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

    /// Usage of the whole window, for a holder that knows nothing of this host.
    pub fn take_window(&mut self, now: MonotonicTime) -> Vec<AccountUse> {
        let window = self.settings.window;
        let records = self.records.iter_mut().map(|(account, record)| {
            record.unreported = 0;
            record.forget(window, now);
            let units: u64 = record.window.iter().map(|used| used.1).sum();
            AccountUse {
                account: account.clone(),
                units: units as i64,
            }
        });
        records.filter(|usage| usage.units != 0).collect()
    }

    /// Takes usage back that could not be reported.
    pub fn return_unreported(&mut self, usage: Vec<AccountUse>) {
        for AccountUse { account, units } in usage {
            self.records.entry(account).or_default().unreported += units;
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
            let record = self.records.entry(account.clone()).or_default();
            record.level = Some(KnownLevel {
                units: (level - record.unreported) as f64,
                others_per_s: *others_per_s as f64,
                at: asked_at,
                heard_at: asked_at,
            });
        }
    }
}

impl MeterRecord {
    fn forget(&mut self, window: Duration, now: MonotonicTime) {
        while self
            .window
            .front()
            .is_some_and(|used| now.since(used.0) >= window)
        {
            self.window.pop_front();
        }
    }

    /// Credits the time since the last call, less what the other hosts probably used.
    fn advance(&mut self, account: &AccountSpec, now: MonotonicTime) {
        if let Some(level) = &mut self.level {
            let elapsed = now.since(level.at).as_secs_f64();
            let earned = (account.rate_per_s as f64 - level.others_per_s) * elapsed;
            level.units = (level.units + earned).min(account.burst as f64);
            level.at = now;
        }
    }

    fn use_units(&mut self, units: i64) {
        self.unreported += units;
        if let Some(level) = &mut self.level {
            level.units -= units as f64;
        }
    }
}

fn allowed_units(settings: &MeterSettings, account: &AccountSpec) -> f64 {
    account.rate_per_s as f64 * settings.window.as_secs_f64() + account.burst as f64
}
