//! Simulates the rates of client accounts over several hosts, with and without a coordinator that sums up their usage.

mod common;

use googletest::prelude::*;
use zinniahinge_serving::AccountMeter;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::AccountTable;
use zinniahinge_serving::FleetLedger;
use zinniahinge_serving::QuotaUnit;
use zinniahinge_types::FleetReport;
use zinniahinge_types::MonotonicTime;

use crate::common::METER_SETTINGS;

const RATE: u64 = 60_000;
const BURST: u64 = 70_000;
const COST: u64 = 9_000;
const HOSTS: usize = 19;
const WINDOW_MS: u64 = 8_000;

fn account() -> AccountSpec {
    AccountSpec {
        name: "acme".into(),
        priority: None,
        unit: QuotaUnit::Tokens { unstated: 200 },
        rate_per_s: RATE,
        burst: BURST,
        homes: Default::default(),
    }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(20_000 + millis)
}

/// Most units allowed in any window, from the users' limits.
fn allowed() -> f64 {
    ((RATE * WINDOW_MS / 1000 + BURST) as f64) * 1.1 + 110_000.0
}

struct FleetCase {
    name: &'static str,
    hosts: usize,
    /// Requests a second over all hosts from the fourth second on. Two hosts get a tenth of them each, the others the
    /// rest.
    per_s: u64,
    /// Requests a second in the first four seconds.
    initial_per_s: u64,
    /// Start and end of the time in which a coordinator answers, milliseconds.
    coordinator: (u64, u64),
    /// Time at which all processes restart, milliseconds.
    killed_at: Option<u64>,
    /// The last hosts reach no coordinator during this time, milliseconds.
    unreachable: Option<UnreachableHosts>,
    /// Smallest share of the rate that must be used.
    min_share: f64,
}

#[derive(Clone, Copy)]
struct UnreachableHosts {
    count: usize,
    from: u64,
    until: u64,
}

/// Guards against accounts that get more than their rate when their load rises suddenly, when the coordinator is lost
/// or when all processes restart meanwhile, and against accounts that get far less.
#[test]
fn no_window_exceeds_the_allowed_units() {
    let cases = [
        FleetCase {
            name: "within the rate",
            hosts: HOSTS,
            per_s: 4,
            initial_per_s: 4,
            coordinator: (0, 40_000),
            killed_at: None,
            unreachable: None,
            min_share: 0.55,
        },
        FleetCase {
            name: "seven times the usual load",
            hosts: HOSTS,
            per_s: 30,
            initial_per_s: 30,
            coordinator: (0, 40_000),
            killed_at: None,
            unreachable: None,
            min_share: 0.95,
        },
        FleetCase {
            name: "no coordinator",
            hosts: HOSTS,
            per_s: 30,
            initial_per_s: 30,
            coordinator: (0, 0),
            killed_at: None,
            unreachable: None,
            min_share: 0.5,
        },
        FleetCase {
            name: "coordinator lost",
            hosts: HOSTS,
            per_s: 30,
            initial_per_s: 30,
            coordinator: (0, 10_000),
            killed_at: None,
            unreachable: None,
            min_share: 0.5,
        },
        FleetCase {
            name: "all processes restarted",
            hosts: HOSTS,
            per_s: 30,
            initial_per_s: 30,
            coordinator: (0, 40_000),
            killed_at: Some(9_000),
            unreachable: None,
            min_share: 0.7,
        },
        FleetCase {
            name: "all processes restarted, coordinator late",
            hosts: HOSTS,
            per_s: 30,
            initial_per_s: 30,
            coordinator: (12_000, 40_000),
            killed_at: Some(9_000),
            unreachable: None,
            min_share: 0.4,
        },
        FleetCase {
            name: "a third unreachable",
            hosts: HOSTS,
            per_s: 60,
            initial_per_s: 60,
            coordinator: (0, 40_000),
            killed_at: None,
            unreachable: Some(UnreachableHosts {
                count: 7,
                from: 1_000,
                until: 13_000,
            }),
            min_share: 0.85,
        },
        FleetCase {
            name: "half unreachable for long",
            hosts: HOSTS,
            per_s: 60,
            initial_per_s: 60,
            coordinator: (0, 40_000),
            killed_at: None,
            unreachable: Some(UnreachableHosts {
                count: 9,
                from: 2_000,
                until: 29_000,
            }),
            min_share: 0.75,
        },
        FleetCase {
            name: "load rises over many hosts",
            hosts: 96,
            per_s: 80,
            initial_per_s: 4,
            coordinator: (0, 40_000),
            killed_at: None,
            unreachable: None,
            min_share: 0.9,
        },
    ];
    for case in cases {
        let admitted = simulate(&case);
        let worst = worst_window(&admitted);
        assert_that!(
            worst as f64 <= allowed(),
            eq(true),
            "{}: {worst} units in a window, {} allowed",
            case.name,
            allowed()
        );
        let used: u64 = admitted.iter().map(|(_, units)| units).sum();
        let share = used as f64 / (RATE * 30) as f64;
        assert_that!(
            share >= case.min_share,
            eq(true),
            "{}: {share:.2} of the rate used",
            case.name
        );
    }
}

/// Most units admitted in any window.
fn worst_window(admitted: &[(u64, u64)]) -> u64 {
    let windows = admitted.iter().enumerate().map(|(index, (start, _))| {
        let window = admitted[index..].iter();
        let window = window.take_while(|(at, _)| *at < start + WINDOW_MS);
        window.map(|(_, units)| units).sum()
    });
    windows.max().unwrap_or(0)
}

/// Guards against hosts that go on using old fleet levels after they lost contact, while the load rises suddenly.
#[test]
fn a_load_spike_while_hosts_are_unreachable_stays_within_the_rate() {
    let case = FleetCase {
        name: "a third unreachable while the load rises",
        hosts: 135,
        per_s: 80,
        initial_per_s: 4,
        coordinator: (0, 40_000),
        killed_at: None,
        unreachable: Some(UnreachableHosts {
            count: 47,
            from: 3_900,
            until: 14_000,
        }),
        min_share: 0.5,
    };
    let worst = worst_window(&simulate(&case));
    let allowed = allowed();
    assert_that!(
        worst as f64 <= allowed,
        eq(true),
        "{}: {worst} units in a window, {allowed} allowed",
        case.name
    );
}

/// Simulates 30 s; returns the times and units of admitted requests.
fn simulate(case: &FleetCase) -> Vec<(u64, u64)> {
    let account = account();
    let mut accounts = AccountTable::default();
    accounts.insert(account.clone(), ["key"]);
    let meter = |is_first| {
        let mut meter = AccountMeter::new(METER_SETTINGS, is_first);
        meter.set_hosts(case.hosts as u32);
        meter
    };
    let mut meters: Vec<AccountMeter> = (0..case.hosts).map(|_| meter(true)).collect();
    let mut ledger = FleetLedger::new(METER_SETTINGS, true, at(0));
    let mut shown = vec![at(0); case.hosts];
    let mut admitted = Vec::new();
    let mut number = 0;
    let mut due = 0;
    for now in (0..30_000).step_by(10) {
        if case.killed_at == Some(now) {
            meters = (0..case.hosts).map(|_| meter(false)).collect();
            ledger = FleetLedger::new(METER_SETTINGS, false, at(now));
        }
        due += if now < 4_000 {
            case.initial_per_s
        } else {
            case.per_s
        };
        while number * 100 < due {
            // Load is uneven: every fifth request goes to one of the first two hosts.
            let host = if number % 5 == 0 {
                (number / 5 % 2) as usize
            } else {
                number as usize * 7 % case.hosts
            };
            if meters[host].charge(&account, COST, at(now)).is_ok() {
                admitted.push((now, COST));
            }
            number += 1;
        }
        let answers = (case.coordinator.0..case.coordinator.1).contains(&now);
        for (index, meter) in meters.iter_mut().enumerate() {
            let is_unreachable = case.unreachable.is_some_and(|unreachable| {
                index >= case.hosts - unreachable.count
                    && (unreachable.from..unreachable.until).contains(&now)
            });
            // A host that reaches no coordinator refreshes its record in the store each five seconds.
            if is_unreachable && now % 5_000 == 0 {
                shown[index] = at(now);
            }
            if is_unreachable || !answers || (now / 10) as usize % 30 != index % 30 {
                continue;
            }
            let hosts = (0..case.hosts).map(|index| (format!("h{index}").into(), shown[index]));
            ledger.set_hosts(hosts.collect());
            let report = FleetReport {
                host: format!("h{index}").into(),
                accounts: meter.take_unreported("h0"),
                ..FleetReport::default()
            };
            ledger.settle(&accounts, Vec::new, at(now));
            ledger.apply(&report, &accounts, at(now));
            let levels = ledger.levels(&report.host, &accounts, at(now));
            meter.apply_levels(&levels, at(now));
        }
    }
    admitted
}

/// Guards against usage that is lost with a failed report, and against refunds that are not subtracted.
#[test]
fn usage_is_reported_once_and_refunds_are_subtracted() {
    let account = account();
    let mut meter = AccountMeter::new(METER_SETTINGS, true);
    assert_that!(meter.charge(&account, 500, at(0)).is_ok(), eq(true));
    let usage = meter.take_unreported("h0");
    assert_that!(usage[0].units, eq(500));
    meter.return_unreported(usage);
    meter.refund(&account, 200);
    assert_that!(meter.take_unreported("h0")[0].units, eq(300));
    assert_that!(meter.take_unreported("h0").len(), eq(0));
}
