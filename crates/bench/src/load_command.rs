use std::path::PathBuf;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::SettingsError;

use crate::LoadPlan;
use crate::OverheadPlan;
use crate::SlopePlan;

/// Checked command of `zinniahinge-load`.
#[derive(Clone, Debug)]
pub enum LoadCommand {
    /// Sends load to given entry processes.
    Load {
        /// Load.
        plan: LoadPlan,
        /// File for the figures as JSON.
        json: Option<PathBuf>,
    },
    /// Measures what an entry process adds.
    Overhead {
        /// Measurement.
        plan: OverheadPlan,
        /// File for the figures as JSON.
        json: Option<PathBuf>,
    },
    /// Measures what control costs, by number of hosts.
    Slopes {
        /// Measurement.
        plan: SlopePlan,
        /// File for the figures as JSON.
        json: Option<PathBuf>,
    },
}

/// Flags as given, before the check.
#[derive(Clone, Debug)]
pub enum LoadArguments {
    /// Load on given entry processes.
    Load(PlainFlags),
    /// Subcommand `overhead`.
    Overhead(OverheadFlags),
    /// Subcommand `slopes`.
    Slopes(SlopeFlags),
}

/// Flags of a load run.
#[derive(Clone, Debug)]
pub struct PlainFlags {
    entry: Vec<String>,
    key: Option<String>,
    model: Vec<String>,
    rate: Option<String>,
    duration_s: Option<String>,
    zipf: Option<String>,
    tokens: Option<String>,
    stream: bool,
    timeout_ms: Option<String>,
    seed: Option<String>,
    json: Option<PathBuf>,
}

/// Flags of `overhead`.
#[derive(Clone, Debug)]
pub struct OverheadFlags {
    duration_s: Option<String>,
    repetitions: Option<String>,
    streams: Option<String>,
    json: Option<PathBuf>,
}

/// Flags of `slopes`.
#[derive(Clone, Debug)]
pub struct SlopeFlags {
    hosts: Vec<String>,
    window_s: Option<String>,
    rate: Option<String>,
    repetitions: Option<String>,
    json: Option<PathBuf>,
}

/// Parser of the program's flags. Parses no value, because bpaf stops at its first fault.
pub fn load_arguments() -> OptionParser<LoadArguments> {
    let overhead = overhead_flags()
        .map(LoadArguments::Overhead)
        .to_options()
        .descr("Measures what an entry process adds to a warm request")
        .command("overhead");
    let slopes = slope_flags()
        .map(LoadArguments::Slopes)
        .to_options()
        .descr("Measures what control costs, by number of hosts")
        .command("slopes");
    let plain = plain_flags().map(LoadArguments::Load);
    bpaf::construct!([overhead, slopes, plain])
        .to_options()
        .descr("Sends open-loop load and checks that every answer is whole and its own")
        .version(env!("CARGO_PKG_VERSION"))
}

fn plain_flags() -> impl Parser<PlainFlags> {
    let entry = text(
        "entry",
        "ADDR",
        "Address of an entry process; can be repeated",
    )
    .many();
    let key = text("key", "KEY", "Key of the client account").optional();
    let model = text(
        "model",
        "NAME",
        "Model, the most frequent one first; can be repeated",
    )
    .many();
    let rate = text("rate", "N", "Requests per second (default: 10)").optional();
    let duration_s = text("duration-s", "S", "Time of sending (default: 10)").optional();
    let zipf = text("zipf", "N", "Exponent of the model mix (default: 1.1)").optional();
    let tokens = text("tokens", "N", "Length of the answers (default: 16)").optional();
    let stream = bpaf::long("stream").help("Stream the answers").switch();
    let timeout_ms = text(
        "timeout-ms",
        "MS",
        "Longest wait for an answer (default: 90000)",
    )
    .optional();
    let seed = text("seed", "N", "Seed of arrivals and model mix (default: 1)").optional();
    let json = json_flag();
    bpaf::construct!(PlainFlags {
        entry,
        key,
        model,
        rate,
        duration_s,
        zipf,
        tokens,
        stream,
        timeout_ms,
        seed,
        json
    })
}

fn overhead_flags() -> impl Parser<OverheadFlags> {
    let duration_s = text(
        "duration-s",
        "S",
        "Time per repetition and number of connections (default: 10)",
    )
    .optional();
    let repetitions = text("repetitions", "N", "Repetitions (default: 3)").optional();
    let streams = text(
        "streams",
        "N",
        "Streams to hold open, 0 for none (default: 10000)",
    )
    .optional();
    let json = json_flag();
    bpaf::construct!(OverheadFlags {
        duration_s,
        repetitions,
        streams,
        json
    })
}

fn slope_flags() -> impl Parser<SlopeFlags> {
    let hosts = text(
        "hosts",
        "N",
        "Number of hosts; can be repeated (default: 3, 6, 12, 18)",
    )
    .many();
    let window_s = text(
        "window-s",
        "S",
        "Time at rest, and time under load (default: 10)",
    )
    .optional();
    let rate = text("rate", "N", "Requests per second under load (default: 40)").optional();
    let repetitions = text("repetitions", "N", "Repetitions (default: 1)").optional();
    let json = json_flag();
    bpaf::construct!(SlopeFlags {
        hosts,
        window_s,
        rate,
        repetitions,
        json
    })
}

fn text(name: &'static str, meta: &'static str, help: &'static str) -> impl Parser<String> {
    bpaf::long(name).help(help).argument::<String>(meta)
}

fn json_flag() -> impl Parser<Option<PathBuf>> {
    bpaf::long("json")
        .help("File for the figures as JSON")
        .argument::<PathBuf>("FILE")
        .optional()
}

// ----------------------------------------------------------------------------------------------

impl LoadArguments {
    /// Checks the flags and reports all faults at once.
    pub fn check(self) -> Result<LoadCommand, SettingsError> {
        let mut faults = SettingFaults::default();
        let command = match self {
            Self::Load(flags) => flags.check(&mut faults),
            Self::Overhead(flags) => flags.check(&mut faults),
            Self::Slopes(flags) => flags.check(&mut faults),
        };
        faults.finish(command)
    }
}

impl PlainFlags {
    fn check(self, faults: &mut SettingFaults) -> Option<LoadCommand> {
        let Self {
            entry,
            key,
            model,
            rate,
            duration_s,
            zipf,
            tokens,
            stream,
            timeout_ms,
            seed,
            json,
        } = self;
        if entry.is_empty() {
            faults.add("--entry", "is missing");
        }
        if model.is_empty() {
            faults.add("--model", "is missing");
        }
        let entries = entry.into_iter();
        let entries: Vec<_> = entries
            .filter_map(|address| faults.parsed("--entry", Some(address)))
            .collect();
        let key = faults.required("--key", key);
        let rate = positive(faults, "--rate", rate, 10.0);
        let duration_s = positive(faults, "--duration-s", duration_s, 10.0);
        let zipf_exponent = faults.parsed_or("--zipf", zipf, 1.1);
        let max_tokens = faults.parsed_or("--tokens", tokens, 16);
        let timeout_ms = faults.parsed_or("--timeout-ms", timeout_ms, 90_000);
        let seed = faults.parsed_or("--seed", seed, 1);
        let plan = LoadPlan {
            entries,
            key: key?,
            models: model,
            rate: rate?,
            duration: Duration::from_secs_f64(duration_s?),
            zipf_exponent: zipf_exponent?,
            max_tokens: max_tokens?,
            stream,
            timeout: Duration::from_millis(timeout_ms?),
            seed: seed?,
        };
        Some(LoadCommand::Load { plan, json })
    }
}

impl OverheadFlags {
    fn check(self, faults: &mut SettingFaults) -> Option<LoadCommand> {
        let Self {
            duration_s,
            repetitions,
            streams,
            json,
        } = self;
        let duration_s = positive(faults, "--duration-s", duration_s, 10.0);
        let repetitions = faults.parsed_or("--repetitions", repetitions, 3);
        let streams = faults.parsed_or("--streams", streams, 10_000);
        let plan = OverheadPlan {
            connections: vec![1, 64],
            duration: Duration::from_secs_f64(duration_s?),
            repetitions: repetitions?,
            streams: streams?,
        };
        Some(LoadCommand::Overhead { plan, json })
    }
}

impl SlopeFlags {
    fn check(self, faults: &mut SettingFaults) -> Option<LoadCommand> {
        let Self {
            hosts,
            window_s,
            rate,
            repetitions,
            json,
        } = self;
        let hosts = hosts.into_iter();
        let mut hosts: Vec<usize> = hosts
            .filter_map(|number| faults.parsed("--hosts", Some(number)))
            .collect();
        if hosts.contains(&0) {
            faults.add("--hosts", "`0`: expected a number above 0");
        }
        if hosts.is_empty() {
            hosts = vec![3, 6, 12, 18];
        }
        let window_s = positive(faults, "--window-s", window_s, 10.0);
        let rate = positive(faults, "--rate", rate, 40.0);
        let repetitions = faults.parsed_or("--repetitions", repetitions, 1);
        let plan = SlopePlan {
            hosts,
            window: Duration::from_secs_f64(window_s?),
            rate: rate?,
            repetitions: repetitions?,
        };
        Some(LoadCommand::Slopes { plan, json })
    }
}

/// A finite number above 0. Others would stop the arrivals or make them endless.
fn positive(
    faults: &mut SettingFaults,
    setting: &str,
    value: Option<String>,
    default: f64,
) -> Option<f64> {
    let number: f64 = faults.parsed_or(setting, value, default)?;
    if number.is_finite() && number > 0.0 {
        return Some(number);
    }
    faults.add(setting, format!("`{number}`: expected a number above 0"));
    None
}
