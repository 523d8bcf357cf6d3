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

/// Log lines that wait for the writing thread. Beyond, lines are dropped and counted by slog, so
/// that a blocked terminal never blocks a request.
const CHANNEL_LINES: usize = 4096;

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
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

/// Log flags as given, before the check.
#[derive(Clone, Debug, Default)]
pub struct LogArguments {
    format: Option<String>,
    level: Option<String>,
}

/// Parser of `--log-format` and `--log-level`.
pub fn log_arguments() -> impl Parser<LogArguments> {
    let format = bpaf::long("log-format")
        .env("ZINNIAHINGE_LOG_FORMAT")
        .help("Form of log lines: text or json (default: text)")
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
    /// Checks the flags.
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

/// How a process logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of log lines.
    pub format: LogFormat,
    /// Least severe level that is written.
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
    /// Logger to standard error, with the name of the process in each line.
    ///
    /// Keep the guard until the process ends; dropping it writes the waiting lines.
    pub fn logger(&self, process: &str) -> (Logger, AsyncGuard) {
        self.logger_to(process, io::stderr())
    }

    /// [`Self::logger`] to another destination.
    ///
    /// Failed writes are ignored: a closed standard error must not stop a process.
    pub fn logger_to<W>(&self, process: &str, destination: W) -> (Logger, AsyncGuard)
    where
        W: io::Write + Send + 'static,
    {
        let (drain, guard) = match self.format {
            LogFormat::Text => {
                let decorator = slog_term::PlainDecorator::new(destination);
                self.wrap(slog_term::FullFormat::new(decorator).build())
            }
            LogFormat::Json => self.wrap(Mutex::new(slog_json::Json::default(destination))),
        };
        let drain = drain.ignore_res();
        let logger = Logger::root(drain, o!("process" => process.to_owned()));
        (logger, guard)
    }

    fn wrap<D>(&self, drain: D) -> (Async, AsyncGuard)
    where
        D: Drain + Send + 'static,
    {
        let drain = LevelFilter::new(drain, self.level).ignore_res();
        Async::new(drain)
            .chan_size(CHANNEL_LINES)
            .build_with_guard()
    }
}
