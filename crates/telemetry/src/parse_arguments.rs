use std::ffi::OsString;
use std::process;

use bpaf::Args;
use bpaf::OptionParser;
use bpaf::ParseFailure;
use miette::Report;

use crate::SettingsError;

/// Exit code for bad settings.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// Why a program ends before it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseExit {
    /// Exit code: 0 after help or version, otherwise [`EXIT_BAD_SETTINGS`].
    pub code: i32,
    /// Text to print.
    pub text: String,
}

/// Reads the process's flags and checks them. Prints help, version or all faults and exits where
/// the program cannot go on.
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

/// [`parse_arguments`] without effects.
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
