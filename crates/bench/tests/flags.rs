//! Guards the settings of `zinniahinge-load`: a run with settings that were misread is wasted.

use std::ffi::OsString;

use googletest::prelude::*;
use zinniahinge_bench::LoadArguments;
use zinniahinge_bench::load_arguments;
use zinniahinge_telemetry::try_parse_arguments;

fn parse(flags: &[&str]) -> std::result::Result<(), (i32, String)> {
    let flags: Vec<OsString> = flags.iter().map(OsString::from).collect();
    try_parse_arguments(&load_arguments(), &flags, LoadArguments::check)
        .map(drop)
        .map_err(|exit| (exit.code, exit.text))
}

/// Guards against one fault per attempt.
#[gtest]
fn all_faults_are_reported_at_once() {
    let faults = parse(&["--entry", "here", "--rate", "0", "--duration-s", "NaN"]);
    let (code, text) = faults.expect_err("bad flags");
    expect_that!(code, eq(2));
    for setting in ["--entry", "--model", "--key", "--rate", "--duration-s"] {
        expect_that!(text, contains_substring(setting));
    }
}

#[gtest]
fn good_flags_are_accepted() {
    let run = ["--entry", "127.0.0.1:1", "--key", "k", "--model", "m"];
    expect_that!(parse(&run), ok(anything()));
    expect_that!(parse(&["overhead", "--streams", "0"]), ok(anything()));
    expect_that!(parse(&["overhead", "--repetitions", "x"]), err(anything()));
}
