use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::FleetReport;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;
use crate::AccountTable;
use crate::BackendHealth;
use crate::MeterSettings;
use crate::account_meter::LEVEL_LIMIT;

/// A host that has not reported for this long is not counted any more.
const HOST_LIMIT: Duration = Duration::from_secs(10);

/// Age up to which a host's requests under way count.
const LOAD_LIMIT: Duration = Duration::from_millis(1500);

/// A host that has not reported for this long admits from its own share of the rates by now.
const SILENT_AFTER: Duration = LEVEL_LIMIT;

/// A host that neither reported nor showed in the store that it lives for this long has ended. Hosts that reach no holder
/// show it each [`crate::SHOW_INTERVAL`].
const SHOWN_LIMIT: Duration = Duration::from_secs(8);

/// Levels are settled this often, so that a change in the number of silent hosts counts from when it came.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval over which a jump of an account's usage is seen: the time between two reports of a host.
const RECENT_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest time between two reports that rates are computed over, seconds.
const MIN_INTERVAL_S: f64 = 0.05;

/// Weight of the newest report in a host's rate of use.
const RATE_WEIGHT: f64 = 0.4;

/// Adds up what all hosts report: usage of client accounts, load and failures of backend servers.
#[derive(Debug)]
pub struct FleetLedger {
    hosts: HashMap<HostId, HostRecord>,
    levels: HashMap<Name, LedgerLevel>,
    health: BackendHealth,
    settings: MeterSettings,
    starts_full: bool,
    started_at: MonotonicTime,
    /// Hosts of the fleet and when each showed in the store that it lives.
    shown: HashMap<HostId, MonotonicTime>,
    settled_at: MonotonicTime,
    recent: HashMap<Name, RecentUse>,
}

#[derive(Debug, Default)]
struct HostRecord {
    seen_at: MonotonicTime,
    backends: Vec<BackendUse>,
    /// Units a second by client account.
    rates: HashMap<Name, f64>,
}

/// Units that all hosts reported lately. A jump shows here within one interval, before the hosts' averages follow.
#[derive(Debug, Default)]
struct RecentUse {
    started_at: MonotonicTime,
    units: f64,
    previous_units: f64,
}

#[derive(Debug)]
struct LedgerLevel {
    units: f64,
    at: MonotonicTime,
}

impl RecentUse {
    fn add(&mut self, units: f64, now: MonotonicTime) {
        self.roll(now);
        self.units += units;
    }

    /// Units a second over the present interval and the one before.
    fn rate(&mut self, now: MonotonicTime) -> f64 {
        self.roll(now);
        let elapsed = now.since(self.started_at) + RECENT_INTERVAL;
        (self.units + self.previous_units) / elapsed.as_secs_f64()
    }

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

impl FleetLedger {
    /// A ledger of a new holder. What was used before is not known, so accounts start below zero, unless no holder was
    /// before: `starts_full`.
    pub fn new(settings: MeterSettings, starts_full: bool, now: MonotonicTime) -> Self {
        Self {
            hosts: HashMap::new(),
            levels: HashMap::new(),
            health: BackendHealth::default(),
            settings,
            starts_full,
            started_at: now,
            shown: HashMap::new(),
            settled_at: now,
            recent: HashMap::new(),
        }
    }

    /// Sets the hosts of the fleet, with when each showed in the store that it lives.
    pub fn set_hosts(&mut self, shown: HashMap<HostId, MonotonicTime>) {
        self.shown = shown;
    }

    /// Part of each account's rate that is left for hosts that report. Those which live but don't report admit their share
    /// by themselves. Looks at every host, so callers compute it once for all accounts.
    fn free_share(&self, now: MonotonicTime) -> f64 {
        let silent = self.shown.keys().filter(|host| {
            let silent_for = now.since(self.seen_at(host));
            let is_alive = now.since(self.shown_at(host)) < SHOWN_LIMIT;
            silent_for >= SILENT_AFTER && is_alive
        });
        1.0 - silent.count() as f64 / self.shown.len().max(1) as f64
    }

    /// When the host last reported, or this holder started.
    fn seen_at(&self, host: &str) -> MonotonicTime {
        let seen = self.hosts.get(host).map(|record| record.seen_at);
        seen.unwrap_or(self.started_at).max(self.started_at)
    }

    /// When the host last reported or showed in the store that it lives.
    fn shown_at(&self, host: &str) -> MonotonicTime {
        let shown = self.shown.get(host).copied();
        shown.unwrap_or(self.started_at).max(self.seen_at(host))
    }

    /// Time for which a host that reports again had a part of the rates kept for it.
    fn kept_time(&self, host: &str, now: MonotonicTime) -> Duration {
        if !self.shown.contains_key(host) {
            return Duration::ZERO;
        }
        let silent_from = self.seen_at(host) + SILENT_AFTER;
        let until = now.min(self.shown_at(host) + SHOWN_LIMIT);
        until.since(silent_from)
    }

    /// Settles all levels up to `now`, before the number of silent hosts changes.
    fn settle(&mut self, accounts: &AccountTable, now: MonotonicTime) {
        let free_share = self.free_share(now);
        for account in accounts.iter() {
            let units = self.level(account, free_share, now);
            let level = LedgerLevel { units, at: now };
            self.levels.insert(account.name.clone(), level);
        }
    }

    /// Takes a report in.
    pub fn apply(&mut self, report: &FleetReport, accounts: &AccountTable, now: MonotonicTime) {
        let kept_s = self.kept_time(&report.host, now).as_secs_f64();
        if now.since(self.settled_at) >= SETTLE_INTERVAL || kept_s > 0.0 {
            self.settle(accounts, now);
            self.settled_at = now;
        }
        let hosts = self.shown.len().max(1) as f64;
        let record = self.hosts.entry(report.host.clone()).or_default();
        let elapsed = now.since(record.seen_at).as_secs_f64();
        let elapsed = elapsed.clamp(MIN_INTERVAL_S, HOST_LIMIT.as_secs_f64());
        record.seen_at = now;
        for rate in record.rates.values_mut() {
            *rate *= 1.0 - RATE_WEIGHT;
        }
        for usage in &report.accounts {
            let rate = record.rates.entry(usage.account.clone()).or_default();
            *rate += RATE_WEIGHT * (usage.units.max(0) as f64) / elapsed;
        }
        for usage in &report.backends {
            let BackendUse {
                backend,
                succeeded,
                failed,
                ..
            } = usage;
            self.health.add(backend, *succeeded, *failed, now);
        }
        record.backends = report.backends.clone();
        if kept_s > 0.0 {
            // Its report names what it used meanwhile, so what was kept for it comes back.
            for account in accounts.iter() {
                if let Some(level) = self.levels.get_mut(&account.name) {
                    let kept = account.rate_per_s as f64 / hosts * kept_s;
                    level.units = (level.units + kept).min(account.burst as f64);
                }
            }
        }
        let free_share = self.free_share(now);
        for usage in &report.accounts {
            let Some(account) = accounts.get(&usage.account) else {
                continue;
            };
            let recent = self.recent.entry(usage.account.clone()).or_default();
            recent.add(usage.units as f64, now);
            let units = self.level(account, free_share, now) - usage.units as f64;
            let level = LedgerLevel { units, at: now };
            self.levels.insert(usage.account.clone(), level);
        }
    }

    /// Units that an account has left at `now`.
    fn level(&self, account: &AccountSpec, free_share: f64, now: MonotonicTime) -> f64 {
        let burst = account.burst as f64;
        let (units, at) = match self.levels.get(&account.name) {
            Some(level) => (level.units, level.at),
            None if self.starts_full => return burst,
            None => (self.settings.unknown_level(account), self.started_at),
        };
        let earned = account.rate_per_s as f64 * free_share * now.since(at).as_secs_f64();
        (units + earned).min(burst)
    }

    /// Hosts that reported lately.
    pub fn host_count(&mut self, now: MonotonicTime) -> u32 {
        self.hosts
            .retain(|_, record| now.since(record.seen_at) < HOST_LIMIT);
        self.hosts.len() as u32
    }

    /// What client accounts may still use, for `host`.
    pub fn levels(
        &mut self,
        host: &str,
        accounts: &AccountTable,
        now: MonotonicTime,
    ) -> Vec<AccountLevel> {
        let free_share = self.free_share(now);
        let limited = accounts.iter().filter(|account| account.rate_per_s > 0);
        let levels = limited.map(|account| {
            let level = self.level(account, free_share, now);
            let heard = self.hosts.iter();
            let heard = heard.filter(|(_, record)| now.since(record.seen_at) < HOST_LIMIT);
            let (mut own, mut others) = (0.0, 0.0);
            for (id, record) in heard {
                let rate = record.rates.get(&account.name).copied().unwrap_or_default();
                if id.as_ref() == host {
                    own = rate;
                } else {
                    others += rate;
                }
            }
            let recent = self.recent.get_mut(&account.name);
            let recent = recent.map_or(0.0, |recent| recent.rate(now));
            AccountLevel {
                account: account.name.clone(),
                level: level as i64,
                others_per_s: others.max(recent - own) as u64,
            }
        });
        levels.collect()
    }

    /// What the other hosts have on backend servers, for `host`. `groups` lists servers that serve the same requests.
    pub fn backends(
        &mut self,
        host: &str,
        groups: &[Vec<Name>],
        now: MonotonicTime,
    ) -> Vec<BackendTotal> {
        let mut totals: HashMap<&Name, (u32, u64)> = HashMap::new();
        let others = self
            .hosts
            .iter()
            .filter(|(id, record)| id.as_ref() != host && now.since(record.seen_at) < LOAD_LIMIT);
        for usage in others.flat_map(|(_, record)| &record.backends) {
            let total = totals.entry(&usage.backend).or_default();
            total.0 += usage.in_flight;
            total.1 += usage.pending_tokens;
        }
        let health = &mut self.health;
        let suspects: Vec<Name> = groups
            .iter()
            .flat_map(|group| health.suspects(group, now))
            .collect();
        let listed = groups.iter().flatten().map(|backend| {
            let (in_flight, pending_tokens) = totals.get(backend).copied().unwrap_or_default();
            BackendTotal {
                backend: backend.clone(),
                in_flight,
                pending_tokens,
                is_suspect: suspects.contains(backend),
            }
        });
        listed
            .filter(|total| total.in_flight > 0 || total.is_suspect)
            .collect()
    }

    /// Forgets backend servers that are gone.
    pub fn retain_backends(&mut self, keep: impl Fn(&Name) -> bool) {
        self.health.retain(keep);
    }
}
