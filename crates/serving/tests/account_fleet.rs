//! Simulates the rates of client accounts over fleets of 16 to 400 hosts, with requests of 9,000 tokens. Checks how many
//! of the requests within an account's rate are refused, and that no account gets more than is allowed. Hosts that call
//! the coordinator are compared with hosts that only use fleet levels and their own share.

mod common;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::AccountMeter;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::AccountTable;
use zinniahinge_serving::ChargeDecision;
use zinniahinge_serving::FleetLedger;
use zinniahinge_serving::QuotaUnit;
use zinniahinge_serving::StandInMeter;
use zinniahinge_types::FleetReport;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::common::METER_SETTINGS;

const COST: u64 = 9_000;

/// Stands in for the first coordinator, and becomes the next one.
const STAND_IN: &str = "stand-in";

const WINDOW_MS: u64 = 8_000;
const RUN_MS: u64 = 24_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(20_000 + millis)
}

/// How hosts decide on a request without a sufficient fleet level.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DecisionMode {
    /// By the fleet level, or without one by their own share.
    Levels,
    /// By a call to the coordinator, or to its stand-in.
    Calls,
}

struct TrafficCase {
    name: &'static str,
    hosts: usize,
    /// Requests a second of the quiet account, whose rate is 80,000 units a second.
    quiet_per_s: f64,
    /// Requests a second of the busy account from the fifth second on.
    busy_per_s: f64,
    /// Start and end of the time without a coordinator, milliseconds.
    coordinator_lost: Option<(u64, u64)>,
    /// Every n-th host reaches neither the coordinator nor its stand-in; start and end of that time, milliseconds.
    unreachable: Option<(usize, u64, u64)>,
    /// Largest share of the quiet account's requests that may be refused while the coordinator answers, and in the
    /// first 3 s after it is lost.
    max_refused: (f64, f64),
    /// Smallest share of its rate that the busy account must get from the fifth second on.
    min_used: f64,
}

struct SimulatedFleet {
    accounts: AccountTable,
    hosts: Vec<HostId>,
    meters: Vec<AccountMeter>,
    ledger: FleetLedger,
    stand_in: StandInMeter,
    /// For each host, whether the present coordinator has not answered it yet.
    has_new_coordinator: Vec<bool>,
    mode: DecisionMode,
}

/// Requests of one account: time, host, and whether it was admitted.
type Outcomes = Vec<(u64, usize, bool)>;

fn account(name: &str, rate: u64) -> AccountSpec {
    AccountSpec {
        name: name.into(),
        priority: None,
        unit: QuotaUnit::Tokens { unstated: 200 },
        rate_per_s: rate,
        burst: rate,
        homes: Default::default(),
    }
}

impl SimulatedFleet {
    fn new(hosts: usize, mode: DecisionMode) -> Self {
        let mut accounts = AccountTable::default();
        accounts.insert(account("quiet", 80_000), ["quiet-key"]);
        accounts.insert(account("busy", 80_000), ["busy-key"]);
        let hosts: Vec<HostId> = (0..hosts).map(|host| format!("h{host}").into()).collect();
        let meters = hosts.iter().map(|_| {
            let mut meter = AccountMeter::new(METER_SETTINGS, true);
            meter.set_hosts(hosts.len() as u32);
            meter
        });
        let mut ledger = FleetLedger::new(METER_SETTINGS, true, at(0));
        let shown = hosts.iter().map(|host| (host.clone(), at(0)));
        ledger.set_hosts(shown.collect());
        Self {
            meters: meters.collect(),
            accounts,
            ledger,
            stand_in: StandInMeter::new(METER_SETTINGS),
            has_new_coordinator: vec![false; hosts.len()],
            hosts,
            mode,
        }
    }

    fn charge(
        &mut self,
        name: &str,
        host: usize,
        now: u64,
        has_coordinator: bool,
        stand_in: bool,
    ) -> bool {
        let account = self.accounts.get(name).expect("defined above").clone();
        let now = at(now);
        let meter = &mut self.meters[host];
        if self.mode == DecisionMode::Levels {
            return meter.charge(&account, COST, now).is_ok();
        }
        match meter.begin_charge(&account, COST, now) {
            ChargeDecision::Admitted => return true,
            ChargeDecision::Refused(_) => return false,
            ChargeDecision::Ask => {}
        }
        let id = &self.hosts[host];
        if has_coordinator {
            let accounts = &self.accounts;
            self.ledger.settle(accounts, Vec::new, now);
            let admitted = self.ledger.charge(id, &account, COST, accounts, now);
            let level = self.ledger.level(id, &account, now);
            let charged = meter.apply_coordinator_charge(&account, COST, admitted, &level, now);
            return charged.is_ok();
        }
        if stand_in {
            let hosts = self.hosts.len() as u32;
            let charged = self.stand_in.charge(id, hosts, &account, COST, now);
            if charged.is_ok() {
                meter.apply_stand_in_charge(&STAND_IN.into(), &account, COST, now);
            }
            return charged.is_ok();
        }
        meter.pause_coordinator_calls(now);
        meter.charge(&account, COST, now).is_ok()
    }

    fn report(&mut self, host: usize, now: u64) {
        let meter = &mut self.meters[host];
        let has_new_coordinator = std::mem::replace(&mut self.has_new_coordinator[host], false);
        let prior_levels = if has_new_coordinator && self.mode == DecisionMode::Calls {
            meter.prior_levels(at(now))
        } else {
            Vec::new()
        };
        let report = FleetReport {
            host: self.hosts[host].clone(),
            accounts: meter.take_unreported(STAND_IN),
            heard: prior_levels,
            ..FleetReport::default()
        };
        self.ledger.settle(&self.accounts, Vec::new, at(now));
        self.ledger.apply(&report, &self.accounts, at(now));
        let levels = self.ledger.levels(&report.host, &self.accounts, at(now));
        meter.apply_levels(&levels, at(now));
        meter.resume_coordinator_calls();
    }
}

/// Simulates 24 s; returns the outcomes of the quiet account and of the busy one.
fn simulate(case: &TrafficCase, mode: DecisionMode, seed: u64) -> (Outcomes, Outcomes) {
    let mut fleet = SimulatedFleet::new(case.hosts, mode);
    let mut random = StdRng::seed_from_u64(seed);
    let interval = 300.max(3 * case.hosts as u64).next_multiple_of(10);
    let (mut quiet, mut busy) = (Vec::new(), Vec::new());
    for now in (0..RUN_MS).step_by(10) {
        let has_coordinator = case
            .coordinator_lost
            .is_none_or(|(from, until)| !(from..until).contains(&now));
        if case.coordinator_lost.is_some_and(|(_, until)| until == now) {
            // The stand-in becomes the coordinator.
            fleet.has_new_coordinator.fill(true);
            fleet.ledger = FleetLedger::new(METER_SETTINGS, false, at(now));
            let stand_in =
                std::mem::replace(&mut fleet.stand_in, StandInMeter::new(METER_SETTINGS));
            let accounts = &fleet.accounts;
            fleet.ledger.record_stand_in(&stand_in, accounts, at(now));
            let shown = fleet.hosts.iter().map(|host| (host.clone(), at(now)));
            fleet.ledger.set_hosts(shown.collect());
        }
        let is_unreachable = |host: usize| {
            case.unreachable.is_some_and(|(every, from, until)| {
                host.is_multiple_of(every) && (from..until).contains(&now)
            })
        };
        let busy_per_s = if now < 5_000 { 4.0 } else { case.busy_per_s };
        for (name, per_s, outcomes) in [
            ("quiet", case.quiet_per_s, &mut quiet),
            ("busy", busy_per_s, &mut busy),
        ] {
            let mut due = per_s / 100.0;
            while due > 0.0 {
                if random.random_bool(due.min(1.0)) {
                    let host = random.random_range(0..case.hosts);
                    let reaches = !is_unreachable(host);
                    let admitted =
                        fleet.charge(name, host, now, has_coordinator && reaches, reaches);
                    outcomes.push((now, host, admitted));
                }
                due -= 1.0;
            }
        }
        for host in 0..case.hosts {
            let is_due = (now + host as u64 * 10).is_multiple_of(interval);
            if is_due && !is_unreachable(host) {
                if has_coordinator {
                    fleet.report(host, now);
                } else {
                    let id = &fleet.hosts[host];
                    fleet.stand_in.record_host(id, case.hosts as u32, at(now));
                }
            }
        }
    }
    (quiet, busy)
}

/// Most units admitted in any window.
fn worst_window(outcomes: &Outcomes) -> u64 {
    let admitted: Vec<u64> = outcomes
        .iter()
        .filter(|(.., admitted)| *admitted)
        .map(|(at, ..)| *at)
        .collect();
    let windows = admitted.iter().enumerate().map(|(index, start)| {
        let window = admitted[index..].iter();
        window.take_while(|at| **at < start + WINDOW_MS).count() as u64
    });
    windows.max().unwrap_or(0) * COST
}

fn refused_share(outcomes: &Outcomes, counts: impl Fn(u64, usize) -> bool) -> f64 {
    let counted = outcomes.iter().filter(|(at, host, _)| counts(*at, *host));
    let (mut all, mut refused) = (0.0, 0.0);
    for (.., admitted) in counted {
        all += 1.0;
        refused += f64::from(u8::from(!admitted));
    }
    refused / f64::max(all, 1.0)
}

const STEADY: TrafficCase = TrafficCase {
    name: "steady",
    hosts: 16,
    quiet_per_s: 4.5,
    busy_per_s: 4.5,
    coordinator_lost: None,
    unreachable: None,
    max_refused: (0.005, 1.0),
    min_used: 0.0,
};

/// Creates the same case for four fleet sizes.
fn for_fleet_sizes(make_case: impl Fn(usize) -> TrafficCase) -> Vec<TrafficCase> {
    [16, 126, 295, 400].map(make_case).into()
}

fn check(cases: &[TrafficCase]) {
    let allowed = (80_000 * WINDOW_MS / 1000 + 80_000) as f64 * 1.1 + 110_000.0;
    for case in cases {
        let (mut quiet_all, mut busy_all) = (Vec::new(), Vec::new());
        for seed in 0..8 {
            let (quiet, busy) = simulate(case, DecisionMode::Calls, seed);
            for (name, outcomes) in [("quiet", &quiet), ("busy", &busy)] {
                let worst = worst_window(outcomes) as f64;
                let bound = format!(
                    "{} with {} hosts, account {name}: {worst} units in a window, {allowed} allowed",
                    case.name, case.hosts
                );
                assert_that!(worst <= allowed, eq(true), "{bound}, seed {seed}");
            }
            quiet_all.extend(quiet);
            busy_all.extend(busy);
        }
        let is_lost = |at: u64| {
            let lost = case.coordinator_lost;
            lost.is_some_and(|(from, _)| (from..from + 3_000).contains(&at))
        };
        let is_reached = |host: usize| {
            case.unreachable
                .is_none_or(|(every, ..)| !host.is_multiple_of(every))
        };
        let answered = refused_share(&quiet_all, |at, host| !is_lost(at) && is_reached(host));
        let lost = refused_share(&quiet_all, |at, _| is_lost(at));
        let used = busy_all.iter().filter(|(at, _, ok)| *at >= 5_000 && *ok);
        let used = used.count() as f64 * COST as f64 / (8.0 * 19.0 * 80_000.0);
        let found = format!(
            "{} with {} hosts: {answered:.4} refused while the coordinator answers, {lost:.4} without, {used:.3} of the rate used",
            case.name, case.hosts
        );
        let (most_answered, most_lost) = case.max_refused;
        assert_that!(answered <= most_answered, eq(true), "{found}");
        assert_that!(lost <= most_lost, eq(true), "{found}");
        assert_that!(used >= case.min_used, eq(true), "{found}");
    }
}

/// Guards against refusals of accounts within their rate because no host knows what they have left.
#[test]
fn an_account_within_its_rate_is_rarely_refused() {
    check(&for_fleet_sizes(|hosts| TrafficCase { hosts, ..STEADY }));
}

/// Guards against an account at seven times its rate that uses up what others may use, gets too much or far too little.
#[test]
fn an_account_far_above_its_rate_gets_its_rate_and_does_not_affect_others() {
    check(&for_fleet_sizes(|hosts| TrafficCase {
        name: "one account at seven times its rate",
        hosts,
        busy_per_s: 62.0,
        min_used: 0.95,
        ..STEADY
    }));
}

/// Guards against a fleet that refuses large requests, or admits too many, while there is no coordinator.
#[test]
fn few_requests_are_refused_after_the_coordinator_is_lost() {
    check(&for_fleet_sizes(|hosts| TrafficCase {
        name: "coordinator lost while the load of one account rises",
        hosts,
        busy_per_s: 62.0,
        coordinator_lost: Some((7_000, 10_500)),
        max_refused: (0.02, 0.05),
        min_used: 0.85,
        ..STEADY
    }));
}

/// Guards against hosts that reach no coordinator and admit more than their reserved shares.
#[test]
fn unreachable_hosts_stay_within_their_shares() {
    check(&for_fleet_sizes(|hosts| TrafficCase {
        name: "a third unreachable while the load of one account rises",
        hosts,
        busy_per_s: 62.0,
        unreachable: Some((3, 4_900, 14_000)),
        max_refused: (0.05, 1.0),
        ..STEADY
    }));
}

/// Compares with the baseline: hosts that only use fleet levels and their own share.
#[test]
fn hosts_that_call_the_coordinator_refuse_less() {
    let case = TrafficCase {
        name: "coordinator lost",
        hosts: 295,
        coordinator_lost: Some((7_000, 10_500)),
        ..STEADY
    };
    let is_lost = |at: u64, _: usize| (7_000..10_000).contains(&at);
    let refused = [DecisionMode::Levels, DecisionMode::Calls].map(|mode| {
        let mut all = Vec::new();
        for seed in 0..8 {
            all.extend(simulate(&case, mode, seed).0);
        }
        refused_share(&all, is_lost)
    });
    let [levels, calls] = refused;
    assert_that!(
        levels > 5.0 * calls,
        eq(true),
        "{levels} refused by levels only, {calls} with calls"
    );
}

/// Guards against a stand-in that admits a whole rate to a few hosts.
#[test]
fn a_stand_in_admits_only_the_asking_hosts_share() {
    let spec = account("quiet", 80_000);
    let mut stand_in = StandInMeter::new(METER_SETTINGS);
    let host: Name = "h1".into();
    let mut admitted = 0;
    for now in (0..10_000).step_by(50) {
        let charged = stand_in.charge(&host, 100, &spec, COST, at(now));
        admitted += u64::from(charged.is_ok()) * COST;
    }
    // A hundredth of the rate for 10 s, and the stand-in's part of the tolerated excess.
    let most = 80_000.0 / 100.0 * 10.0 + 0.15 * (0.1 * 9.0 * 80_000.0 + 110_000.0);
    assert_that!(
        admitted as f64 <= most,
        eq(true),
        "{admitted} units admitted, {most} allowed"
    );
}
