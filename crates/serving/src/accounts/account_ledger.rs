use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;
use crate::AccountTable;
use crate::MeterSettings;

/// Interval in which a sudden rise of an account's usage shows: the time between two reports of a host in a small
/// fleet.
const RECENT_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a new coordinator accepts levels that hosts received from the former one. Each host reports within
/// it.
const PRIOR_LEVEL_TIME: Duration = Duration::from_secs(3);

/// Keeps what client accounts have left over all hosts, and their rates of use.
///
/// Sums are updated with each report, so that neither a report nor its answer needs to visit other hosts' data.
#[derive(Debug)]
pub(crate) struct AccountLedger {
    records: HashMap<Name, LedgerRecord>,
    settings: MeterSettings,
    /// True if no coordinator was before, so that accounts start with their full burst.
    starts_full: bool,
    started_at: MonotonicTime,
    /// Share of the rates that accounts earn here. The rest is for hosts that admit from their local buckets.
    coordinated_share: f64,
}

#[derive(Debug)]
struct LedgerRecord {
    units: f64,
    /// Time up to which `units` is settled.
    at: MonotonicTime,
    /// Sum of the hosts' average rates of use, units a second.
    rate: f64,
    recent: RecentUse,
    /// Lowest level that hosts received from the former coordinator.
    prior: Option<i64>,
}

/// Units that all hosts used in the current and the previous interval. A sudden rise shows here within one interval,
/// before the hosts' averages follow.
#[derive(Debug, Default)]
struct RecentUse {
    started_at: MonotonicTime,
    units: f64,
    previous_units: f64,
}

impl LedgerRecord {
    /// Adds units, up to the account's burst.
    fn credit(&mut self, account: &AccountSpec, units: f64) {
        self.units = (self.units + units).min(account.burst as f64);
    }
}

impl RecentUse {
    fn add(&mut self, units: f64, now: MonotonicTime) {
        self.roll(now);
        self.units += units;
    }

    /// Units a second over the current and the previous interval.
    fn rate(&mut self, now: MonotonicTime) -> f64 {
        self.roll(now);
        let elapsed = now.since(self.started_at) + RECENT_INTERVAL;
        (self.units + self.previous_units) / elapsed.as_secs_f64()
    }

    /// Starts a new interval if the current one has ended.
    fn roll(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.started_at);
        if elapsed < RECENT_INTERVAL {
            return;
        }
        let is_next = elapsed < RECENT_INTERVAL * 2;
        self.previous_units = if is_next { self.units } else { 0.0 };
        self.units = 0.0;
        self.started_at = now;
    }
}

impl AccountLedger {
    pub(crate) fn new(settings: MeterSettings, starts_full: bool, now: MonotonicTime) -> Self {
        Self {
            records: HashMap::new(),
            settings,
            starts_full,
            started_at: now,
            coordinated_share: 1.0,
        }
    }

    /// Credits all accounts with what they earned up to `now`. From then on they earn `coordinated_share` of their
    /// rates.
    pub(crate) fn settle(
        &mut self,
        accounts: &AccountTable,
        coordinated_share: f64,
        now: MonotonicTime,
    ) {
        for account in accounts.iter() {
            self.record(account, now);
        }
        self.coordinated_share = coordinated_share;
    }

    /// Subtracts what each account's rate earns in `share_seconds`; a negative value adds it.
    pub(crate) fn take_shares(
        &mut self,
        accounts: &AccountTable,
        share_seconds: f64,
        now: MonotonicTime,
    ) {
        for account in accounts.iter() {
            let taken = account.rate_per_s as f64 * share_seconds;
            self.record(account, now).credit(account, -taken);
        }
    }

    /// Adds what an account has left of the units that this host earned and admitted as stand-in of the former
    /// coordinator. Negative units count as used.
    pub(crate) fn credit_stand_in(
        &mut self,
        account: &AccountSpec,
        units: f64,
        now: MonotonicTime,
    ) {
        self.record(account, now).credit(account, units);
    }

    /// Applies a level that a host received from the former coordinator. An account continues from the lowest such
    /// level, less what may have been used since, instead of from the initial level.
    pub(crate) fn apply_prior_level(
        &mut self,
        account: &AccountSpec,
        prior: i64,
        now: MonotonicTime,
    ) {
        if self.starts_full || now.since(self.started_at) >= PRIOR_LEVEL_TIME {
            return;
        }
        let record = self.record(account, now);
        // The first such level raises the account's level from the one that assumes no knowledge.
        let before = record.prior.unwrap_or(0).max(0) as f64;
        let lowest = record.prior.map_or(prior, |known| known.min(prior));
        record.prior = Some(lowest);
        record.credit(account, lowest.max(0) as f64 - before);
    }

    /// Subtracts reported usage; negative if charged requests did not run.
    pub(crate) fn add_use(&mut self, account: &AccountSpec, units: f64, now: MonotonicTime) {
        let record = self.record(account, now);
        record.recent.add(units, now);
        record.units -= units;
    }

    /// Changes the sum of the hosts' average rates of use.
    pub(crate) fn change_rate(&mut self, account: &Name, units_per_s: f64) {
        if let Some(record) = self.records.get_mut(account) {
            record.rate = (record.rate + units_per_s).max(0.0);
        }
    }

    /// Charges a request at once; returns false if the account has too little left.
    pub(crate) fn charge(&mut self, account: &AccountSpec, cost: u64, now: MonotonicTime) -> bool {
        let settings = self.settings;
        let record = self.record(account, now);
        if settings.missing(account, cost, record.units) > 0.0 {
            return false;
        }
        record.recent.add(cost as f64, now);
        record.units -= cost as f64;
        true
    }

    /// What the account has left, for a host that itself uses `own_rate` units a second.
    pub(crate) fn level(
        &mut self,
        account: &AccountSpec,
        own_rate: f64,
        now: MonotonicTime,
    ) -> AccountLevel {
        let record = self.record(account, now);
        let others = record.rate.max(record.recent.rate(now)) - own_rate;
        AccountLevel {
            account: account.name.clone(),
            level: record.units as i64,
            others_per_s: others.max(0.0) as u64,
        }
    }

    /// Returns the account's record, settled up to `now`.
    fn record(&mut self, account: &AccountSpec, now: MonotonicTime) -> &mut LedgerRecord {
        let (units, at) = if self.starts_full {
            (account.burst as f64, now)
        } else {
            (self.settings.initial_level(account), self.started_at)
        };
        let coordinated_share = self.coordinated_share;
        let record = self
            .records
            .entry(account.name.clone())
            .or_insert_with(|| LedgerRecord {
                units,
                at,
                rate: 0.0,
                recent: RecentUse::default(),
                prior: None,
            });
        let elapsed = now.since(record.at).as_secs_f64();
        let earned = account.rate_per_s as f64 * coordinated_share * elapsed;
        record.credit(account, earned);
        record.at = record.at.max(now);
        record
    }
}
