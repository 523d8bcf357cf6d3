//! Checks that invalid settings are all reported in one run, with exit code 2, and how log lines are written.

use std::ffi::OsString;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use bpaf::Parser;
use googletest::prelude::*;
use zinniahinge_telemetry::CommonSettings;
use zinniahinge_telemetry::EXIT_BAD_SETTINGS;
use zinniahinge_telemetry::LogFormat;
use zinniahinge_telemetry::LogSettings;
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
    expected_flags: &'static [&'static str],
}

#[gtest]
fn all_faults_are_reported_at_once() {
    let cases = [
        FaultCase {
            guards: "only the first missing flag",
            arguments: "",
            expected_flags: &["--host", "--place", "--region", "--listen"],
        },
        FaultCase {
            guards: "parse faults hiding others",
            arguments: "--host a/b --place wien-a --listen 127.0.0.1 --log-format xml --log-level loud",
            expected_flags: &[
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
            expected_flags: &["--hots"],
        },
    ];
    for case in cases {
        let exit = parse(case.arguments).unwrap_err();
        expect_that!(exit.code, eq(EXIT_BAD_SETTINGS), "{}", case.guards);
        for flag in case.expected_flags {
            expect_that!(
                exit.text,
                contains_substring(*flag),
                "guards against: {}",
                case.guards
            );
        }
    }
}

/// Defaults must not change unnoticed, and `--help` must exit with code 0.
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

/// Collects what is written; each write fails if `closed` is set, as on a closed standard error.
#[derive(Clone, Default)]
struct Destination {
    closed: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl io::Write for Destination {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.closed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.text.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Log lines must carry the process, must not be lost when the process ends, and must respect the level. A closed
/// destination must not stop the process.
#[gtest]
fn logs_are_written_in_the_chosen_form() {
    for (format, expected) in [
        (LogFormat::Json, "\"process\":\"entry/a\""),
        (LogFormat::Text, "process: entry/a"),
    ] {
        for closed in [false, true] {
            let destination = Destination {
                closed,
                ..Destination::default()
            };
            let settings = LogSettings {
                format,
                level: slog::Level::Warning,
            };
            let (logger, guard) = settings.logger_to("entry/a", destination.clone());
            slog::warn!(logger, "shown");
            slog::info!(logger, "hidden");
            drop(logger);
            drop(guard);
            let text = destination.text.lock().unwrap().clone();
            let text = String::from_utf8(text).unwrap();
            expect_that!(text.contains(expected), eq(!closed), "{text}");
            expect_that!(text, not(contains_substring("hidden")));
        }
    }
}
