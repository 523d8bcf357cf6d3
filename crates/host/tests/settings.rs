//! Invalid settings end the process with an error that names the setting.

mod common;

use std::process::Command;

use googletest::prelude::*;
use zinniahinge_platform_standins::HostFleet;
use zinniahinge_platform_standins::PlatformStore;

use crate::common::Outcome;

/// A change that makes the settings invalid.
struct SettingsCase {
    name: &'static str,
    /// Text in the settings file and its replacement.
    change: (&'static str, &'static str),
    /// Additional flags.
    arguments: &'static [&'static str],
    /// Text that the error must contain.
    expected: &'static str,
}

/// Guards against a host that starts with invalid settings, or that doesn't say which one is invalid.
#[tokio::test]
async fn invalid_settings_are_named_in_the_error() -> Outcome {
    let cases = [
        SettingsCase {
            name: "missing field",
            change: ("node_name = \"h1\"\n", ""),
            arguments: &[],
            expected: "node_name",
        },
        SettingsCase {
            name: "other type",
            change: ("grace_period_s = 8", "grace_period_s = \"8\""),
            arguments: &[],
            expected: "grace_period_s",
        },
        SettingsCase {
            name: "negative time",
            change: ("drain_deadline_ms = 2000", "drain_deadline_ms = -1"),
            arguments: &[],
            expected: "drain_deadline_ms",
        },
        SettingsCase {
            name: "no ports",
            change: ("port_range = [12502,12506]", "port_range = [7,7]"),
            arguments: &[],
            expected: "port_range",
        },
        SettingsCase {
            name: "not TOML",
            change: ("node_name", "= ="),
            arguments: &[],
            expected: "settings",
        },
        SettingsCase {
            name: "bad flag",
            change: ("", ""),
            arguments: &["--watch-wait-ms", "0"],
            expected: "--watch-wait-ms",
        },
        SettingsCase {
            name: "unknown flag",
            change: ("", ""),
            arguments: &["--frobnicate"],
            expected: "frobnicate",
        },
    ];
    let store = PlatformStore::start().await?;
    let program = env!("CARGO_BIN_EXE_zinniahinge-host");
    let fleet = HostFleet::new(program, &store)?;
    let folder = tempfile::tempdir()?;
    for case in cases {
        let text = fleet
            .settings_text("h1", 12_500, true)
            .replace(case.change.0, case.change.1);
        let path = folder.path().join("settings.toml");
        std::fs::write(&path, text)?;
        let output = Command::new(program)
            .arg("--platform-settings")
            .arg(&path)
            .args(case.arguments)
            .output()?;
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_that!(output.status.success(), eq(false), "{}", case.name);
        assert_that!(
            error.contains(case.expected),
            eq(true),
            "{}: {error}",
            case.name
        );
    }
    let missing = Command::new(program)
        .env_remove("ZINNIAHINGE_CONFIG")
        .output()?;
    assert_that!(missing.status.code(), some(eq(2)));
    Ok(())
}
