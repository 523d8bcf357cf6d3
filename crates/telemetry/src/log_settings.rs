use std::io;
use std::str::FromStr;
use std::sync::Mutex;

use bpaf::Parser;
use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_async::AsyncGuard;

use crate::SettingFaults;

/// Largest number of log lines that wait for the writing thread. If it is reached, slog drops and counts further lines,
/// so that a blocked terminal never blocks a request.
const CHANNEL_LINES: usize = 4096;

/// Selects the format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for people to read.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json"),
        }
    }
}

/// Holds the log flags as given and not yet checked.
#[derive(Clone, Debug, Default)]
pub struct LogArguments {
    format: Option<String>,
    level: Option<String>,
}

/// Builds the parser of `--log-format` and `--log-level`.
pub fn log_arguments() -> impl Parser<LogArguments> {
    let format = bpaf::long("log-format")
        .env("ZINNIAHINGE_LOG_FORMAT")
        .help("Format of log lines: text or json (default: text)")
        .argument::<String>("FORMAT")
        .optional();
    let level = bpaf::long("log-level")
        .env("ZINNIAHINGE_LOG_LEVEL")
        .help("Least severe level: error, warning, info or debug (default: info)")
        .argument::<String>("LEVEL")
        .optional();
    bpaf::construct!(LogArguments { format, level })
}

impl LogArguments {
    /// Checks the flags. Returns `None` if one is invalid, after adding a fault for it.
    pub fn check(self, faults: &mut SettingFaults) -> Option<LogSettings> {
        let Self { format, level } = self;
        let format = faults.parsed_or("--log-format", format, LogFormat::Text);
        let level = match level {
            None => Some(Level::Info),
            Some(text) => {
                let level = parse_level(&text);
                if level.is_none() {
                    let problem = format!("`{text}`: expected error, warning, info or debug");
                    faults.add("--log-level", problem);
                }
                level
            }
        };
        Some(LogSettings {
            format: format?,
            level: level?,
        })
    }
}

fn parse_level(text: &str) -> Option<Level> {
    match text {
        "error" => Some(Level::Error),
        "warning" | "warn" => Some(Level::Warning),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        _ => None,
    }
}

/// Holds the checked log settings of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is written; lines below it are discarded.
    pub level: Level,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: Level::Info,
        }
    }
}

impl LogSettings {
    /// Creates a logger to standard error that adds the name of the process to each line.
    ///
    /// The caller must keep the guard until the process ends: dropping it writes the lines that still wait.
    pub fn logger(&self, process: &str) -> (Logger, AsyncGuard) {
        self.logger_to(process, io::stderr())
    }

    /// Creates a logger like [`Self::logger`] that writes to `destination`.
    ///
    /// Failed writes are ignored, because a closed standard error must not stop a process.
    pub fn logger_to<W>(&self, process: &str, destination: W) -> (Logger, AsyncGuard)
    where
        W: io::Write + Send + 'static,
    {
        let (drain, guard) = match self.format {
            LogFormat::Text => {
                let decorator = slog_term::PlainDecorator::new(destination);
                self.build_async(slog_term::FullFormat::new(decorator).build())
            }
            LogFormat::Json => self.build_async(Mutex::new(slog_json::Json::default(destination))),
        };
        let drain = drain.ignore_res();
        let logger = Logger::root(drain, o!("process" => process.to_owned()));
        (logger, guard)
    }

    fn build_async<D>(&self, drain: D) -> (Async, AsyncGuard)
    where
        D: Drain + Send + 'static,
    {
        let drain = LevelFilter::new(drain, self.level).ignore_res();
        Async::new(drain)
            .chan_size(CHANNEL_LINES)
            .build_with_guard()
    }
}
