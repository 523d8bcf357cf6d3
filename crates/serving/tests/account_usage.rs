//! Rates of client accounts over several hosts, with and without a holder that adds them up.

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
    }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(20_000 + millis)
}

/// Most that any window may hold, from the users' bounds.
fn allowed() -> f64 {
    ((RATE * WINDOW_MS / 1000 + BURST) as f64) * 1.1 + 110_000.0
}

struct FleetCase {
    name: &'static str,
    hosts: usize,
    /// Requests a second over all hosts from the fourth second on; a tenth of them at each of two hosts, the rest spread.
    per_s: u64,
    /// Requests a second before.
    usual_per_s: u64,
    /// The holder answers from, and until, then, milliseconds.
    holder: (u64, u64),
    /// All processes start anew then.
    killed_at: Option<u64>,
    /// The last hosts can't reach the holder from and until then, milliseconds.
    cut: Option<CutHosts>,
    /// Share of the rate that is used at least.
    least: f64,
}

#[derive(Clone, Copy)]
struct CutHosts {
    count: usize,
    from: u64,
    until: u64,
}

/// Guards against accounts that get more than their rate when their load jumps, when the holder is lost, and when all
/// processes are killed meanwhile; and against ones that get far less.
#[test]
fn no_window_holds_more_than_is_allowed() {
    let cases = [
        FleetCase {
            name: "within the rate",
            hosts: HOSTS,
            per_s: 4,
            usual_per_s: 4,
            holder: (0, 40_000),
            killed_at: None,
            cut: None,
            least: 0.55,
        },
        FleetCase {
            name: "seven times the usual",
            hosts: HOSTS,
            per_s: 30,
            usual_per_s: 30,
            holder: (0, 40_000),
            killed_at: None,
            cut: None,
            least: 0.95,
        },
        FleetCase {
            name: "no holder",
            hosts: HOSTS,
            per_s: 30,
            usual_per_s: 30,
            holder: (0, 0),
            killed_at: None,
            cut: None,
            least: 0.5,
        },
        FleetCase {
            name: "holder lost",
            hosts: HOSTS,
            per_s: 30,
            usual_per_s: 30,
            holder: (0, 10_000),
            killed_at: None,
            cut: None,
            least: 0.5,
        },
        FleetCase {
            name: "all killed",
            hosts: HOSTS,
            per_s: 30,
            usual_per_s: 30,
            holder: (0, 40_000),
            killed_at: Some(9_000),
            cut: None,
            least: 0.7,
        },
        FleetCase {
            name: "all killed, holder late",
            hosts: HOSTS,
            per_s: 30,
            usual_per_s: 30,
            holder: (12_000, 40_000),
            killed_at: Some(9_000),
            cut: None,
            least: 0.4,
        },
        FleetCase {
            name: "a third cut off",
            hosts: HOSTS,
            per_s: 60,
            usual_per_s: 60,
            holder: (0, 40_000),
            killed_at: None,
            cut: Some(CutHosts {
                count: 7,
                from: 1_000,
                until: 13_000,
            }),
            least: 0.85,
        },
        FleetCase {
            name: "half cut off for long",
            hosts: HOSTS,
            per_s: 60,
            usual_per_s: 60,
            holder: (0, 40_000),
            killed_at: None,
            cut: Some(CutHosts {
                count: 9,
                from: 2_000,
                until: 29_000,
            }),
            least: 0.75,
        },
        FleetCase {
            name: "load jumps over many hosts",
            hosts: 96,
            per_s: 80,
            usual_per_s: 4,
            holder: (0, 40_000),
            killed_at: None,
            cut: None,
            least: 0.9,
        },
    ];
    for case in cases {
        let admitted = play(&case);
        let worst = worst_window(&admitted);
        assert_that!(
            worst as f64 <= allowed(),
            eq(true),
            "{}: {worst} of {}",
            case.name,
            allowed()
        );
        let used: u64 = admitted.iter().map(|(_, units)| units).sum();
        let share = used as f64 / (RATE * 30) as f64;
        assert_that!(
            share >= case.least,
            eq(true),
            "{}: {share:.2} of the rate",
            case.name
        );
    }
}

/// Most units that any window holds.
fn worst_window(admitted: &[(u64, u64)]) -> u64 {
    let windows = admitted.iter().enumerate().map(|(index, (start, _))| {
        let window = admitted[index..].iter();
        let window = window.take_while(|(at, _)| *at < start + WINDOW_MS);
        window.map(|(_, units)| units).sum()
    });
    windows.max().unwrap_or(0)
}

/// Guards against hosts that go on using old levels after they were cut off, while the load jumps.
#[test]
fn a_jump_of_load_as_hosts_are_cut_off_stays_within_the_rate() {
    let case = FleetCase {
        name: "a third cut off as the load jumps",
        hosts: 135,
        per_s: 80,
        usual_per_s: 4,
        holder: (0, 40_000),
        killed_at: None,
        cut: Some(CutHosts {
            count: 47,
            from: 3_900,
            until: 14_000,
        }),
        least: 0.5,
    };
    let worst = worst_window(&play(&case));
    let allowed = allowed();
    assert_that!(
        worst as f64 <= allowed,
        eq(true),
        "{}: {worst} of {allowed}",
        case.name
    );
}

/// Plays 30 s; returns when how many units were admitted.
fn play(case: &FleetCase) -> Vec<(u64, u64)> {
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
            case.usual_per_s
        } else {
            case.per_s
        };
        while number * 100 < due {
            // Callers are uneven: every fifth request goes to one of the first two hosts.
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
        let answers = (case.holder.0..case.holder.1).contains(&now);
        for (index, meter) in meters.iter_mut().enumerate() {
            let is_cut = case.cut.is_some_and(|cut| {
                index >= case.hosts - cut.count && (cut.from..cut.until).contains(&now)
            });
            // A host that reaches no holder shows in the store each five seconds that it lives.
            if is_cut && now % 5_000 == 0 {
                shown[index] = at(now);
            }
            if is_cut || !answers || (now / 10) as usize % 30 != index % 30 {
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

/// Guards against usage that is lost with a report that failed, and against refunds that are kept.
#[test]
fn usage_is_reported_once_and_refunds_come_back() {
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
