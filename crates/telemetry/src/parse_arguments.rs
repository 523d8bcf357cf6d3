use std::ffi::OsString;
use std::process;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::ParseFailure;
use miette::Report;

use crate::SettingsError;

/// Exit code of a process whose settings are invalid.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// States the exit code and output of a program that must not start: after `--help`, `--version` or invalid settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseExit {
    /// Exit code: 0 after help or version, otherwise [`EXIT_BAD_SETTINGS`].
    pub code: i32,
    /// Text to print: to standard output if `code` is 0, otherwise to standard error.
    pub text: String,
}

/// Parses and checks the flags of this process. On `--help`, `--version` or invalid settings, prints the text or all
/// faults and exits the process.
pub fn parse_arguments<A, T>(
    parser: &OptionParser<A>,
    check: impl FnOnce(A) -> Result<T, SettingsError>,
) -> T {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    match try_parse_arguments(parser, &arguments, check) {
        Ok(settings) => settings,
        Err(ParseExit { code: 0, text }) => {
            println!("{text}");
            process::exit(0);
        }
        Err(ParseExit { code, text }) => {
            eprintln!("{text}");
            process::exit(code);
        }
    }
}

/// Parses and checks `arguments` like [`parse_arguments`], but returns the exit code and text instead of exiting.
pub fn try_parse_arguments<A, T>(
    parser: &OptionParser<A>,
    arguments: &[OsString],
    check: impl FnOnce(A) -> Result<T, SettingsError>,
) -> Result<T, ParseExit> {
    let exit = |code, text| ParseExit { code, text };
    let arguments = parser
        .run_inner(Args::from(arguments))
        .map_err(|failure| match failure {
            ParseFailure::Stdout(text, full) => exit(0, text.monochrome(full)),
            ParseFailure::Completion(text) => exit(0, text),
            ParseFailure::Stderr(text) => exit(EXIT_BAD_SETTINGS, text.monochrome(true)),
        })?;
    check(arguments).map_err(|report| {
        let text = format!("{:?}", Report::new(report));
        exit(EXIT_BAD_SETTINGS, text)
    })
}
