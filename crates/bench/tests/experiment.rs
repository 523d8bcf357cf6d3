//! Guards experiment files and the lower bound that results are compared with.

use std::fs;
use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_bench::ColdRequest;
use zinniahinge_bench::ExperimentFile;
use zinniahinge_bench::FaultAction;
use zinniahinge_bench::StoreBound;
use zinniahinge_bench::cold_bounds;

const GOOD: &str = r#"
name = "trial"
deployment = "gaspruef"
hosts = 2
duration_s = 10
seeds = [1, 2]

[[accounts]]
name = "inspectors"
requests_per_second = 0.5
models = ["report-1b", "report-8b:stalls"]
surge = { at_s = 2, for_s = 3, factor = 5 }
alone = true

[[bursts]]
at_s = 1
account = "inspectors"
model = "report-1b"
requests = 4

[[faults]]
at_s = 3
action = "slow"
target = "store"
for_s = 2
factor = 2.5
"#;

/// Guards against settings that are read as others.
#[gtest]
fn good_file_is_read() {
    let file = ExperimentFile::parse(GOOD).expect("good file");
    expect_that!(file.seeds, elements_are![eq(&1), eq(&2)]);
    expect_that!(file.accounts[0].requests_per_second, eq(0.5));
    expect_true!(file.accounts[0].alone);
    let surge = file.accounts[0].surge.expect("surge");
    expect_that!(surge.length, eq(Duration::from_secs(3)));
    let slow = FaultAction::Slow(Duration::from_secs(2), 2.5);
    expect_that!(file.faults[0].action, eq(slow));
}

struct FaultCase {
    from: &'static str,
    to: &'static str,
    setting: &'static str,
}

const FAULT_CASES: [FaultCase; 10] = [
    FaultCase {
        from: "name = \"trial\"",
        to: "",
        setting: "name",
    },
    FaultCase {
        from: "gaspruef",
        to: "elsewhere",
        setting: "deployment",
    },
    FaultCase {
        from: "hosts = 2",
        to: "hosts = 1000",
        setting: "hosts",
    },
    FaultCase {
        from: "seeds = [1, 2]",
        to: "seeds = []",
        setting: "seeds",
    },
    FaultCase {
        from: "requests_per_second = 0.5",
        to: "requests_per_second = nan",
        setting: "accounts[0].requests_per_second",
    },
    FaultCase {
        from: "report-8b:stalls",
        to: "report-8b:nothing",
        setting: "accounts[0]",
    },
    FaultCase {
        from: "alone = true",
        to: "lonely = true",
        setting: "accounts[0].lonely",
    },
    FaultCase {
        from: "account = \"inspectors\"",
        to: "account = \"nobody\"",
        setting: "bursts[0].account",
    },
    FaultCase {
        from: "action = \"slow\"",
        to: "action = \"melt\"",
        setting: "faults[0].action",
    },
    FaultCase {
        from: "factor = 2.5",
        to: "",
        setting: "faults[0].factor",
    },
];

/// Guards against files that run with something else than what they say.
#[gtest]
fn each_fault_is_named() {
    for case in FAULT_CASES {
        let text = GOOD.replace(case.from, case.to);
        let report = ExperimentFile::parse(&text).expect_err(case.setting);
        let settings: Vec<&str> = report.faults.iter().map(|f| f.setting.as_str()).collect();
        expect_that!(settings, elements_are![eq(&case.setting)], "{}", case.to);
    }
}

/// Guards against one fault per attempt.
#[gtest]
fn all_faults_are_reported_at_once() {
    let cases = FAULT_CASES.iter().filter(|case| {
        // Where the deployment is unknown, its accounts and models cannot be checked.
        case.setting != "deployment"
            // A missing key of an action that is itself unknown is no fault.
            && case.setting != "faults[0].factor"
            // Models and bursts are checked only where the accounts can be read.
            && case.setting != "accounts[0]"
            && case.setting != "bursts[0].account"
    });
    let cases: Vec<&FaultCase> = cases.collect();
    let mut text = GOOD.to_owned();
    for case in &cases {
        text = text.replace(case.from, case.to);
    }
    let report = ExperimentFile::parse(&text).expect_err("bad file");
    for case in cases {
        let is_named = report.faults.iter().any(|f| f.setting == case.setting);
        expect_true!(is_named, "{}", case.setting);
    }
}

/// Guards against files in the repository that no longer fit the example documents.
#[gtest]
fn files_of_the_repository_are_good() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut count = 0;
    for entry in fs::read_dir(folder).expect("folder") {
        let path = entry.expect("entry").path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            let text = fs::read_to_string(&path).expect("text");
            let file = ExperimentFile::parse(&text);
            expect_that!(file, ok(anything()), "{}", path.display());
            count += 1;
        }
    }
    expect_that!(count, gt(0));
}

// ----------------------------------------------------------------------------------------------

fn cold(model: &str, arrived_s: u64, served_s: u64) -> ColdRequest {
    ColdRequest {
        model: model.to_owned(),
        arrived: Duration::from_secs(arrived_s),
        served: Duration::from_secs(served_s),
    }
}

/// Guards against a bound that flatters: it must count one load per cold period, permits at the
/// store's rate, and no more loads at once than run at full speed.
#[gtest]
fn bound_follows_permits_and_places() {
    let store = StoreBound {
        loads_per_second: 1.0,
        at_once: 2,
        load_time: Duration::from_secs(5),
    };
    let requests = [
        // Load from 0 to 5.
        cold("a", 0, 6),
        // The same load.
        cold("a", 3, 6),
        // Permit at 1, load to 6.
        cold("b", 0, 8),
        // Both places are taken until 5; load to 10.
        cold("c", 0, 11),
        // Cold again; a place is free at 20.
        cold("a", 20, 30),
    ];
    let bounds = cold_bounds(&requests, &store);
    let seconds: Vec<u64> = bounds.iter().map(Duration::as_secs).collect();
    // In the order of arrival: a, b, c, the second request for a, a again.
    expect_that!(seconds, eq(&vec![5, 6, 10, 2, 5]));
}
