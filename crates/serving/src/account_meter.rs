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
const LEVEL_SLACK_SHARE: f64 = 0.5;

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

/// Keeps client accounts within their rate over all hosts together.
///
/// With recent levels from the host that adds up the reports, an account may use what the fleet has left. Without, this
/// host admits an equal share of what the window allows, so that all hosts together stay within it even if each is alone.
#[derive(Debug)]
pub struct AccountMeter {
    settings: MeterSettings,
    hosts: u32,
    /// True if there was no usage before `started_at`.
    is_first_start: bool,
    started_at: MonotonicTime,
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
    /// A meter that starts at `now`. Unless the whole fleet starts for the first time, usage before is not known, and
    /// counts as an equal share of all that was allowed.
    pub fn new(settings: MeterSettings, is_first_start: bool, now: MonotonicTime) -> Self {
        Self {
            settings,
            hosts: 1,
            is_first_start,
            started_at: now,
            records: HashMap::new(),
        }
    }

    /// Sets the number of hosts.
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
        let allowed = allowed_units(&self.settings, account);
        let excess = self.settings.over_share * allowed + self.settings.slack;
        let record = self.records.entry(account.name.clone()).or_default();
        record.forget(self.settings.window, now);
        record.advance(account, now);
        let rate = account.rate_per_s as f64;
        let (missing, free_rate, is_blind) = match &record.level {
            Some(level) if now.since(level.heard_at) < LEVEL_LIMIT => {
                let needed = (cost as f64).min(account.burst as f64);
                let missing = needed - level.units - excess * LEVEL_SLACK_SHARE;
                (missing, (rate - level.others_per_s).max(rate * 0.1), false)
            }
            _ => {
                let known = now.since(self.started_at).as_secs_f64();
                let known_share = if self.is_first_start {
                    1.0
                } else {
                    (known / self.settings.window.as_secs_f64()).min(1.0)
                };
                let share = allowed * known_share + excess * BLIND_SLACK_SHARE;
                let share = share / f64::from(self.hosts);
                let used: u64 = record.window.iter().map(|used| used.1).sum();
                let missing = used as f64 + cost as f64 - share;
                (missing, rate / f64::from(self.hosts), true)
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
