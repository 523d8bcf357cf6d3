//! Guards the settings: every fault is reported in one run, with exit code 2.

use std::ffi::OsString;

use bpaf::Parser;
use googletest::prelude::*;
use zinniahinge_telemetry::CommonSettings;
use zinniahinge_telemetry::EXIT_BAD_SETTINGS;
use zinniahinge_telemetry::LogFormat;
use zinniahinge_telemetry::ParseExit;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::common_arguments;
use zinniahinge_telemetry::try_parse_arguments;

fn parse(arguments: &str) -> std::result::Result<CommonSettings, ParseExit> {
    let arguments: Vec<OsString> = arguments.split_whitespace().map(Into::into).collect();
    let parser = common_arguments().to_options();
    try_parse_arguments(&parser, &arguments, |arguments| {
        let mut faults = SettingFaults::default();
        let settings = arguments.check(&mut faults);
        faults.finish(settings)
    })
}

const GOOD: &str = "--host h-1 --place wien-a --region at-east --listen 127.0.0.1:8080";

struct FaultCase {
    guards: &'static str,
    arguments: &'static str,
    named: &'static [&'static str],
}

#[gtest]
fn all_faults_are_reported_at_once() {
    let cases = [
        FaultCase {
            guards: "only the first missing flag",
            arguments: "",
            named: &["--host", "--place", "--region", "--listen"],
        },
        FaultCase {
            guards: "parse faults hiding others",
            arguments: "--host a/b --place wien-a --listen 127.0.0.1 --log-format xml --log-level loud",
            named: &[
                "--host",
                "--region",
                "--listen",
                "--log-format",
                "--log-level",
            ],
        },
        FaultCase {
            guards: "unknown flags accepted",
            arguments: "--hots a",
            named: &["--hots"],
        },
    ];
    for case in cases {
        let exit = parse(case.arguments).unwrap_err();
        expect_that!(exit.code, eq(EXIT_BAD_SETTINGS), "{}", case.guards);
        for flag in case.named {
            expect_that!(
                exit.text,
                contains_substring(*flag),
                "guards against: {}",
                case.guards
            );
        }
    }
}

/// Guards against defaults that change unnoticed, and against help that counts as a fault.
#[gtest]
fn good_settings_and_help_are_accepted() {
    let settings = parse(GOOD).unwrap();
    expect_that!(settings.log.format, eq(LogFormat::Text));
    expect_that!(&*settings.place, eq("wien-a"));
    expect_that!(parse("--help").unwrap_err().code, eq(0));
    expect_that!(
        parse("--help").unwrap_err().text,
        contains_substring("ZINNIAHINGE_HOST")
    );
}
