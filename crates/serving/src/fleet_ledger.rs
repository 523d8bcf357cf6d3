use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::FleetReport;
use zinniahinge_types::HeardLevel;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AccountSpec;
use crate::AccountTable;
use crate::BackendHealth;
use crate::MeterSettings;
use crate::StandInMeter;
use crate::account_ledger::AccountLedger;
use crate::backend_totals::BackendTotals;
use crate::host_presence::HostPresence;

/// A host that has not reported for this long is not counted any more.
const HOST_LIMIT: Duration = Duration::from_secs(10);

/// Age up to which a host's requests under way count: two reports of a fleet of 400 hosts.
const LOAD_LIMIT: Duration = Duration::from_millis(2400);

/// How often what concerns all hosts or all servers is computed. Reports in between use the last result.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two reports that rates are computed over, seconds.
const MIN_INTERVAL_S: f64 = 0.05;

/// Weight of the newest report in a host's rate of use.
const RATE_WEIGHT: f64 = 0.4;

/// Rate of use below which it counts as none, units a second.
const MIN_RATE: f64 = 1.0;

/// Adds up what all hosts report: usage of client accounts, load and failures of backend servers.
///
/// One report costs what it holds itself, whatever the size of the fleet. What looks at all hosts or servers runs at most
/// once each 200 ms.
#[derive(Debug)]
pub struct FleetLedger {
    hosts: HashMap<HostId, HostRecord>,
    accounts: AccountLedger,
    presence: HostPresence,
    totals: BackendTotals,
    health: BackendHealth,
    settled_at: Option<MonotonicTime>,
}

#[derive(Debug, Default)]
struct HostRecord {
    seen_at: MonotonicTime,
    backends: Vec<BackendUse>,
    /// Units a second by client account.
    rates: HashMap<Name, f64>,
    /// Units that were charged here on the host's request since its last report.
    asked: HashMap<Name, u64>,
}

impl FleetLedger {
    /// A ledger of a new holder. What was used before is not known, so accounts start below zero, unless no holder was
    /// before: `starts_full`.
    pub fn new(settings: MeterSettings, starts_full: bool, now: MonotonicTime) -> Self {
        Self {
            hosts: HashMap::new(),
            accounts: AccountLedger::new(settings, starts_full, now),
            presence: HostPresence::new(now),
            totals: BackendTotals::default(),
            health: BackendHealth::default(),
            settled_at: None,
        }
    }

    /// Goes on from what this host admitted itself in place of the former holder.
    pub fn note_stand_in(
        &mut self,
        stand_in: &StandInMeter,
        accounts: &AccountTable,
        now: MonotonicTime,
    ) {
        for (account, units) in stand_in.levels() {
            if let Some(account) = accounts.get(account) {
                self.accounts.note_stood_in(account, units, now);
            }
        }
    }

    /// Sets the hosts of the fleet, with when each showed in the store that it lives.
    pub fn set_hosts(&mut self, shown: HashMap<HostId, MonotonicTime>) {
        self.presence.set_hosts(shown);
    }

    /// Does what looks at all hosts and servers, if it is due. `groups` lists servers that serve the same requests.
    pub fn settle(
        &mut self,
        accounts: &AccountTable,
        groups: impl FnOnce() -> Vec<Vec<Name>>,
        now: MonotonicTime,
    ) {
        if self
            .settled_at
            .is_some_and(|at| now.since(at) < SETTLE_INTERVAL)
        {
            return;
        }
        self.settled_at = Some(now);
        self.settle_shares(accounts, now);
        let health = &mut self.health;
        let groups = groups();
        let suspects = groups.iter().flat_map(|group| health.suspects(group, now));
        let suspects: HashSet<Name> = suspects.collect();
        self.totals.set_suspects(&suspects);
        self.forget_silent(now);
    }

    /// Counts the hosts that admit from their own shares.
    fn settle_shares(&mut self, accounts: &AccountTable, now: MonotonicTime) {
        let newly_silent = self.presence.check(now);
        let free_share = self.presence.free_share();
        self.accounts.settle(accounts, free_share, now);
        if !newly_silent.is_zero() {
            let share_s = newly_silent.as_secs_f64() / self.presence.host_count() as f64;
            self.accounts.take_shares(accounts, share_s, now);
        }
    }

    /// Takes out what hosts that report no more had under way and used.
    fn forget_silent(&mut self, now: MonotonicTime) {
        let Self {
            hosts,
            totals,
            accounts,
            ..
        } = self;
        for record in hosts.values_mut() {
            if now.since(record.seen_at) >= LOAD_LIMIT && !record.backends.is_empty() {
                totals.replace(&std::mem::take(&mut record.backends), &[]);
            }
        }
        hosts.retain(|_, record| {
            let stays = now.since(record.seen_at) < HOST_LIMIT;
            if !stays {
                for (account, rate) in &record.rates {
                    accounts.change_rate(account, -rate);
                }
            }
            stays
        });
    }

    /// Takes a report in.
    pub fn apply(&mut self, report: &FleetReport, accounts: &AccountTable, now: MonotonicTime) {
        self.note_seen(&report.host, accounts, now);
        for HeardLevel { account, level } in &report.heard {
            if let Some(account) = accounts.get(account) {
                self.accounts.note_heard(account, *level, now);
            }
        }
        for usage in &report.accounts {
            if let Some(account) = accounts.get(&usage.account) {
                self.accounts.add_use(account, usage.units as f64, now);
            }
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
        let record = self.hosts.entry(report.host.clone()).or_default();
        self.totals.replace(&record.backends, &report.backends);
        record.backends.clone_from(&report.backends);
        let elapsed = now.since(record.seen_at).as_secs_f64();
        record.seen_at = now;
        record.apply_rates(report, elapsed, &mut self.accounts);
    }

    fn note_seen(&mut self, host: &str, accounts: &AccountTable, now: MonotonicTime) {
        let kept = self.presence.note_seen(host, now);
        if kept.is_zero() {
            return;
        }
        self.settle_shares(accounts, now);
        // Its report names what it used meanwhile, so what was kept for it comes back.
        let share_s = kept.as_secs_f64() / self.presence.host_count() as f64;
        self.accounts.take_shares(accounts, -share_s, now);
    }

    /// Charges a request for a host that has no recent level, or whose account is near its limit. True if it is admitted.
    pub fn charge(
        &mut self,
        host: &HostId,
        account: &AccountSpec,
        cost: u64,
        accounts: &AccountTable,
        now: MonotonicTime,
    ) -> bool {
        self.note_seen(host, accounts, now);
        let is_admitted = self.accounts.charge(account, cost, now);
        if is_admitted {
            let record = self
                .hosts
                .entry(host.clone())
                .or_insert_with(|| HostRecord {
                    seen_at: now,
                    ..HostRecord::default()
                });
            let asked = record.asked.entry(account.name.clone()).or_default();
            *asked = asked.saturating_add(cost);
        }
        is_admitted
    }

    /// When a host last reported.
    pub fn last_report_at(&self, host: &str) -> Option<MonotonicTime> {
        self.hosts.get(host).map(|record| record.seen_at)
    }

    /// Hosts that reported lately.
    pub fn host_count(&self) -> u32 {
        self.hosts.len() as u32
    }

    /// What one client account may still use, for `host`.
    pub fn level(&mut self, host: &str, account: &AccountSpec, now: MonotonicTime) -> AccountLevel {
        let record = self.hosts.get(host);
        let own_rate = record.and_then(|record| record.rates.get(&account.name));
        let own_rate = own_rate.copied().unwrap_or_default();
        self.accounts.level(account, own_rate, now)
    }

    /// What client accounts may still use, for `host`.
    pub fn levels(
        &mut self,
        host: &str,
        accounts: &AccountTable,
        now: MonotonicTime,
    ) -> Vec<AccountLevel> {
        let limited = accounts.iter().filter(|account| account.rate_per_s > 0);
        limited
            .map(|account| self.level(host, account, now))
            .collect()
    }

    /// What all hosts have on backend servers, as far as it changed after `version`, and the newest version.
    pub fn totals_since(&self, version: u64) -> (Vec<BackendTotal>, u64) {
        self.totals.since(version)
    }

    /// Forgets backend servers that are gone.
    pub fn retain_backends(&mut self, keep: impl Fn(&Name) -> bool) {
        self.health.retain(&keep);
        self.totals.retain(&keep);
    }
}

impl HostRecord {
    /// Brings the host's averages up to date, and their sums with them.
    fn apply_rates(&mut self, report: &FleetReport, elapsed_s: f64, accounts: &mut AccountLedger) {
        let elapsed_s = elapsed_s.clamp(MIN_INTERVAL_S, HOST_LIMIT.as_secs_f64());
        let mut used: HashMap<&Name, f64> = HashMap::new();
        let asked = std::mem::take(&mut self.asked);
        for (account, units) in &asked {
            *used.entry(account).or_default() += *units as f64;
        }
        for usage in &report.accounts {
            *used.entry(&usage.account).or_default() += usage.units.max(0) as f64;
        }
        for (account, rate) in &mut self.rates {
            let units = used.remove(account).unwrap_or_default();
            let newest = *rate * (1.0 - RATE_WEIGHT) + RATE_WEIGHT * units / elapsed_s;
            let newest = if newest < MIN_RATE { 0.0 } else { newest };
            accounts.change_rate(account, newest - *rate);
            *rate = newest;
        }
        self.rates.retain(|_, rate| *rate > 0.0);
        for (account, units) in used {
            let rate = RATE_WEIGHT * units / elapsed_s;
            if rate >= MIN_RATE {
                accounts.change_rate(account, rate);
                self.rates.insert(account.clone(), rate);
            }
        }
    }
}
