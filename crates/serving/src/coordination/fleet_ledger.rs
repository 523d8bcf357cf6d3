use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use zinniahinge_types::AccountLevel;
use zinniahinge_types::BackendRun;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::FleetReport;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorLevel;

use crate::AccountSpec;
use crate::AccountTable;
use crate::BackendHealth;
use crate::MeterSettings;
use crate::RunSpeeds;
use crate::SpeedChange;
use crate::StandInMeter;
use crate::accounts::account_ledger::AccountLedger;
use crate::coordination::host_presence::HostPresence;
use crate::routing::backend_totals::BackendTotals;

/// Time without a report after which a host's record is dropped.
const MAX_HOST_SILENCE: Duration = Duration::from_secs(10);

/// Age up to which a host's running requests are counted: two reports in a fleet of 400 hosts.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2400);

/// Shortest time between two computations over all hosts or all servers. Reports in between use the last result.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two reports that rates are computed over, seconds.
const MIN_INTERVAL_S: f64 = 0.05;

/// Weight of the newest report in the moving average of a host's rate of use.
const RATE_WEIGHT: f64 = 0.4;

/// Rate of use below which a host's average is rounded down to zero, units a second.
const MIN_RATE: f64 = 1.0;

/// Sums up the reports of all hosts: usage of client accounts, load and failures of backend servers. Kept by the
/// coordinator.
///
/// The cost of one report depends on its own contents only, not on the size of the fleet. Computations over all hosts
/// or servers run at most once each 200 ms.
#[derive(Debug)]
pub struct FleetLedger {
    hosts: HashMap<HostId, HostRecord>,
    accounts: AccountLedger,
    presence: HostPresence,
    totals: BackendTotals,
    health: BackendHealth,
    speeds: RunSpeeds,
    speed_changes: Vec<SpeedChange>,
    settled_at: Option<MonotonicTime>,
}

#[derive(Debug, Default)]
struct HostRecord {
    /// Time of the last report, or of the first charge before any report.
    seen_at: MonotonicTime,
    backends: Vec<BackendUse>,
    /// Average rate of use by client account, units a second.
    rates: HashMap<Name, f64>,
    /// Units charged here at the host's request since its last report.
    charged: HashMap<Name, u64>,
}

impl FleetLedger {
    /// Creates the ledger of a new coordinator. Accounts start below zero because earlier usage is unknown; set
    /// `starts_full` only if there was no coordinator before.
    pub fn new(settings: MeterSettings, starts_full: bool, now: MonotonicTime) -> Self {
        Self {
            hosts: HashMap::new(),
            accounts: AccountLedger::new(settings, starts_full, now),
            presence: HostPresence::new(now),
            totals: BackendTotals::default(),
            health: BackendHealth::default(),
            speeds: RunSpeeds::default(),
            speed_changes: Vec::new(),
            settled_at: None,
        }
    }

    /// Continues from what this host admitted itself as stand-in of the former coordinator.
    pub fn record_stand_in(
        &mut self,
        stand_in: &StandInMeter,
        accounts: &AccountTable,
        now: MonotonicTime,
    ) {
        for (account, units) in stand_in.levels() {
            if let Some(account) = accounts.get(account) {
                self.accounts.credit_stand_in(account, units, now);
            }
        }
    }

    /// Sets the hosts of the fleet, each with when it last refreshed its record in the store.
    pub fn set_hosts(&mut self, alive_at: HashMap<HostId, MonotonicTime>) {
        self.presence.set_hosts(alive_at);
    }

    /// Runs the computations over all hosts and servers, if they are due. `groups` lists servers that serve the same
    /// requests; those that fail more than their group are marked.
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
        self.settle_host_shares(accounts, now);
        let health = &mut self.health;
        let groups = groups();
        let suspects = groups.iter().flat_map(|group| health.suspects(group, now));
        let suspects: HashSet<Name> = suspects.collect();
        self.totals.set_suspects(&suspects);
        self.drop_silent_hosts(now);
    }

    /// Reserves the rate shares of hosts that admit from their local buckets.
    fn settle_host_shares(&mut self, accounts: &AccountTable, now: MonotonicTime) {
        let newly_silent = self.presence.check(now);
        let coordinated_share = self.presence.coordinated_share();
        self.accounts.settle(accounts, coordinated_share, now);
        if !newly_silent.is_zero() {
            let share_s = newly_silent.as_secs_f64() / self.presence.host_count() as f64;
            self.accounts.take_shares(accounts, share_s, now);
        }
    }

    /// Removes the running requests, and later the usage, of hosts that have stopped reporting.
    fn drop_silent_hosts(&mut self, now: MonotonicTime) {
        let Self {
            hosts,
            totals,
            accounts,
            ..
        } = self;
        for record in hosts.values_mut() {
            if now.since(record.seen_at) >= MAX_LOAD_AGE && !record.backends.is_empty() {
                totals.replace(&std::mem::take(&mut record.backends), &[]);
            }
        }
        hosts.retain(|_, record| {
            let stays = now.since(record.seen_at) < MAX_HOST_SILENCE;
            if !stays {
                for (account, rate) in &record.rates {
                    accounts.change_rate(account, -rate);
                }
            }
            stays
        });
    }

    /// Applies a host's report.
    pub fn apply(&mut self, report: &FleetReport, accounts: &AccountTable, now: MonotonicTime) {
        self.record_contact(&report.host, accounts, now);
        for PriorLevel { account, level } in &report.heard {
            if let Some(account) = accounts.get(account) {
                self.accounts.apply_prior_level(account, *level, now);
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
        for times in &report.run_times {
            if let Some(change) = self.speeds.record(times, now) {
                self.totals
                    .set_time_percent(&change.backend, change.born_ms, change.percent);
                self.speed_changes.push(change);
            }
        }
        let record = self.hosts.entry(report.host.clone()).or_default();
        self.totals.replace(&record.backends, &report.backends);
        record.backends.clone_from(&report.backends);
        let elapsed = now.since(record.seen_at).as_secs_f64();
        record.seen_at = now;
        record.apply_rates(report, elapsed, &mut self.accounts);
    }

    /// Continues from a time factor that an earlier coordinator learned.
    pub fn assume_speed(&mut self, run: &BackendRun, factor: f64, now: MonotonicTime) {
        let percent = self.speeds.assume(run, factor, now);
        self.totals
            .set_time_percent(&run.backend, run.born_ms, percent);
    }

    /// Returns the changes of learned speeds since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.speed_changes)
    }

    /// Records that a host reached the coordinator, and frees the rate share that was reserved for it.
    fn record_contact(&mut self, host: &str, accounts: &AccountTable, now: MonotonicTime) {
        let kept = self.presence.record_contact(host, now);
        if kept.is_zero() {
            return;
        }
        self.settle_host_shares(accounts, now);
        // The host's report states what it used meanwhile, so its reserved share is returned.
        let share_s = kept.as_secs_f64() / self.presence.host_count() as f64;
        self.accounts.take_shares(accounts, -share_s, now);
    }

    /// Charges a request for a host that has no recent fleet level, or whose account is near its limit. Returns true if
    /// the request is admitted.
    pub fn charge(
        &mut self,
        host: &HostId,
        account: &AccountSpec,
        cost: u64,
        accounts: &AccountTable,
        now: MonotonicTime,
    ) -> bool {
        self.record_contact(host, accounts, now);
        let is_admitted = self.accounts.charge(account, cost, now);
        if is_admitted {
            let record = self
                .hosts
                .entry(host.clone())
                .or_insert_with(|| HostRecord {
                    seen_at: now,
                    ..HostRecord::default()
                });
            let charged = record.charged.entry(account.name.clone()).or_default();
            *charged = charged.saturating_add(cost);
        }
        is_admitted
    }

    /// Time of the host's last report, or of its first charge before any report; `None` if its record was dropped.
    pub fn last_report_at(&self, host: &str) -> Option<MonotonicTime> {
        self.hosts.get(host).map(|record| record.seen_at)
    }

    /// Number of hosts that reported recently.
    pub fn host_count(&self) -> u32 {
        self.hosts.len() as u32
    }

    /// What one client account has left, for `host`.
    pub fn level(&mut self, host: &str, account: &AccountSpec, now: MonotonicTime) -> AccountLevel {
        let record = self.hosts.get(host);
        let own_rate = record.and_then(|record| record.rates.get(&account.name));
        let own_rate = own_rate.copied().unwrap_or_default();
        self.accounts.level(account, own_rate, now)
    }

    /// What all client accounts with a rate limit have left, for `host`.
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

    /// Totals over all hosts of the backend servers that changed after `version`, and the newest version.
    pub fn totals_since(&self, version: u64) -> (Vec<BackendTotal>, u64) {
        self.totals.since(version)
    }

    /// Drops the backend servers for which `keep` returns false.
    pub fn retain_backends(&mut self, keep: impl Fn(&Name) -> bool) {
        self.health.retain(&keep);
        self.speeds.retain(&keep);
        self.totals.retain(&keep);
    }
}

impl HostRecord {
    /// Updates the host's average rates of use, and the sums that contain them.
    fn apply_rates(&mut self, report: &FleetReport, elapsed_s: f64, accounts: &mut AccountLedger) {
        let elapsed_s = elapsed_s.clamp(MIN_INTERVAL_S, MAX_HOST_SILENCE.as_secs_f64());
        let mut used: HashMap<&Name, f64> = HashMap::new();
        let charged = std::mem::take(&mut self.charged);
        for (account, units) in &charged {
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
