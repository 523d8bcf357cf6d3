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

/// A host that has not reported for this long is not counted any more.
const HOST_LIMIT: Duration = Duration::from_secs(10);

/// Age up to which a host's requests under way count.
const LOAD_LIMIT: Duration = Duration::from_millis(1500);

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
}

#[derive(Debug, Default)]
struct HostRecord {
    seen_at: MonotonicTime,
    backends: Vec<BackendUse>,
    /// Units a second by client account.
    rates: HashMap<Name, f64>,
}

#[derive(Debug)]
struct LedgerLevel {
    units: f64,
    at: MonotonicTime,
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
        }
    }

    /// Takes a report in.
    pub fn apply(&mut self, report: &FleetReport, accounts: &AccountTable, now: MonotonicTime) {
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
        for usage in &report.accounts {
            let Some(account) = accounts.get(&usage.account) else {
                continue;
            };
            let units = self.level(account, now) - usage.units as f64;
            let level = LedgerLevel { units, at: now };
            self.levels.insert(usage.account.clone(), level);
        }
    }

    /// Units that an account has left at `now`.
    fn level(&self, account: &AccountSpec, now: MonotonicTime) -> f64 {
        let burst = account.burst as f64;
        let (units, at) = match self.levels.get(&account.name) {
            Some(level) => (level.units, level.at),
            None if self.starts_full => return burst,
            None => (self.settings.unknown_level(account), self.started_at),
        };
        let earned = account.rate_per_s as f64 * now.since(at).as_secs_f64();
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
        &self,
        host: &str,
        accounts: &AccountTable,
        now: MonotonicTime,
    ) -> Vec<AccountLevel> {
        let limited = accounts.iter().filter(|account| account.rate_per_s > 0);
        let levels = limited.map(|account| {
            let level = self.level(account, now);
            let others = self.hosts.iter().filter(|(id, record)| {
                id.as_ref() != host && now.since(record.seen_at) < HOST_LIMIT
            });
            let rates = others.filter_map(|(_, record)| record.rates.get(&account.name));
            AccountLevel {
                account: account.name.clone(),
                level: level as i64,
                others_per_s: rates.sum::<f64>() as u64,
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
