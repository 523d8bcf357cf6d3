use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::SettingsError;

use crate::EventFilter;

/// Default bound on each request to a process.
const DEFAULT_TIMEOUT_MS: u64 = 2000;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Lines for people.
    #[default]
    Text,
    /// JSON lines.
    Json,
}

impl FromStr for OutputFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json"),
        }
    }
}

/// Settings of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineSettings {
    /// Processes to read.
    pub processes: Vec<SocketAddr>,
    /// Saved events to read.
    pub files: Vec<PathBuf>,
    /// Events to show.
    pub filter: EventFilter,
    /// Form of the output.
    pub format: OutputFormat,
    /// Draw the trace as a chart.
    pub chart: bool,
    /// Bound on each request to a process.
    pub timeout: Duration,
}

/// Flags as given, before the check.
#[derive(Clone, Debug)]
pub struct TimelineArguments {
    process: Vec<String>,
    file: Vec<PathBuf>,
    trace: Option<String>,
    since: Option<String>,
    subject: Option<String>,
    format: Option<String>,
    timeout_ms: Option<String>,
    chart: bool,
}

/// Parser of the program's flags.
pub fn timeline_arguments() -> OptionParser<TimelineArguments> {
    let process = bpaf::long("process")
        .help("IP address and port of a process to read; may be repeated")
        .argument::<String>("ADDR")
        .many();
    let file = bpaf::long("file")
        .help("File of JSON lines saved from /events; may be repeated")
        .argument::<PathBuf>("PATH")
        .many();
    let trace = bpaf::long("trace")
        .help("Show only this trace id (32 hex digits)")
        .argument::<String>("ID")
        .optional();
    let since = bpaf::long("since")
        .help("Show only the last part before the newest event, for example 500ms, 30s, 5m, 2h")
        .argument::<String>("TIME")
        .optional();
    let subject = bpaf::long("subject")
        .help("Show only events about this model, account, shard or host")
        .argument::<String>("NAME")
        .optional();
    let format = bpaf::long("format")
        .help("Form of the output: text or json (default: text)")
        .argument::<String>("FORMAT")
        .optional();
    let timeout_ms = bpaf::long("timeout-ms")
        .help("Longest wait for each answer (default: 2000)")
        .argument::<String>("MS")
        .optional();
    let chart = bpaf::long("chart")
        .help("Draw the trace given by --trace as a bar chart")
        .switch();
    bpaf::construct!(TimelineArguments {
        process,
        file,
        trace,
        since,
        subject,
        format,
        timeout_ms,
        chart
    })
    .to_options()
    .descr("Merges the events of many processes into one time line")
}

impl TimelineArguments {
    /// Checks the flags and reports all faults.
    pub fn check(self) -> Result<TimelineSettings, SettingsError> {
        let mut faults = SettingFaults::default();
        let settings = self.check_into(&mut faults);
        faults.finish(settings)
    }

    fn check_into(self, faults: &mut SettingFaults) -> Option<TimelineSettings> {
        let Self {
            process,
            file,
            trace,
            since,
            subject,
            format,
            timeout_ms,
            chart,
        } = self;
        if process.is_empty() && file.is_empty() {
            faults.add("--process", "neither --process nor --file is given");
        }
        if chart && trace.is_none() {
            faults.add("--chart", "needs --trace");
        }
        let processes = process.into_iter();
        let processes = processes.filter_map(|address| faults.parsed("--process", Some(address)));
        let processes = processes.collect();
        let trace_id = trace.and_then(|trace| faults.parsed("--trace", Some(trace)));
        let since = since.and_then(|text| {
            let since = parse_duration(&text);
            if since.is_none() {
                faults.add(
                    "--since",
                    format!("`{text}`: expected a number and ms, s, m or h"),
                );
            }
            since
        });
        let format = faults.parsed_or("--format", format, OutputFormat::Text);
        let timeout_ms = faults.parsed_or("--timeout-ms", timeout_ms, DEFAULT_TIMEOUT_MS);
        Some(TimelineSettings {
            processes,
            files: file,
            filter: EventFilter {
                trace_id,
                since,
                subject,
            },
            format: format?,
            chart,
            timeout: Duration::from_millis(timeout_ms?),
        })
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(millis).map(Duration::from_millis)
}
