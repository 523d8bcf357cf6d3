//! Command-line flags of the host process.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use zinniahinge_telemetry::LogArguments;
use zinniahinge_telemetry::LogSettings;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::SettingsError;
use zinniahinge_telemetry::log_arguments;

/// Default wait of a watch call on the store. Two such waits in a row must fit into the time for which a confirmed
/// configuration is relied on.
const DEFAULT_WATCH_WAIT: Duration = Duration::from_millis(1200);

/// Longest wait of a watch call that the store allows.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Default number of loads from the weight store that run at full speed at once.
const DEFAULT_STORE_LOADS: usize = 4;

/// Default time between two reports to the coordinator.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Flags as parsed, before they are checked.
#[derive(Clone, Debug)]
pub struct HostArguments {
    platform_settings: Option<PathBuf>,
    watch_wait: Option<String>,
    store_loads: Option<String>,
    report_interval: Option<String>,
    log: LogArguments,
}

/// Settings of the host process after the check.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Settings file that the platform writes.
    pub platform_settings: PathBuf,
    /// Longest wait of one watch call on the store; between 1 ms and 30 s.
    pub watch_wait: Duration,
    /// Number of loads from the weight store that run at full speed at once; at least 1.
    pub store_loads: usize,
    /// Shortest time between two reports to the coordinator; at least 1 ms.
    pub report_interval: Duration,
    /// Level and format of the log.
    pub log: LogSettings,
}

/// Returns the parser of the flags, which may also be given as environment variables.
pub fn host_arguments() -> OptionParser<HostArguments> {
    let platform_settings = bpaf::long("platform-settings")
        .env("ZINNIAHINGE_CONFIG")
        .help("Settings file that the platform writes (required)")
        .argument::<PathBuf>("FILE")
        .optional();
    let watch_wait = bpaf::long("watch-wait-ms")
        .env("ZINNIAHINGE_WATCH_WAIT_MS")
        .help("Longest wait of a watch call on the store (default: 1200)")
        .argument::<String>("MS")
        .optional();
    let store_loads = bpaf::long("store-loads-at-once")
        .env("ZINNIAHINGE_STORE_LOADS")
        .help("Loads from the weight store that run at once (default: 4)")
        .argument::<String>("COUNT")
        .optional();
    let report_interval = bpaf::long("report-interval-ms")
        .env("ZINNIAHINGE_REPORT_INTERVAL_MS")
        .help("Time between two reports to the coordinator (default: 300)")
        .argument::<String>("MS")
        .optional();
    let log = log_arguments();
    bpaf::construct!(HostArguments {
        platform_settings,
        watch_wait,
        store_loads,
        report_interval,
        log,
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Serves callers of rarely used models and plain services")
}

impl HostArguments {
    /// Checks all flags. The error lists every invalid flag, not only the first.
    pub fn check(self) -> Result<HostSettings, SettingsError> {
        let Self {
            platform_settings,
            watch_wait,
            store_loads,
            report_interval,
            log,
        } = self;
        let mut faults = SettingFaults::default();
        if platform_settings.is_none() {
            faults.add("--platform-settings", "is required");
        }
        let watch_wait = faults.millis_or("--watch-wait-ms", watch_wait, DEFAULT_WATCH_WAIT);
        if watch_wait.is_some_and(|wait| wait.is_zero() || wait > MAX_WATCH_WAIT) {
            faults.add("--watch-wait-ms", "must be between 1 and 30000 ms");
        }
        let store_loads =
            faults.parsed_or("--store-loads-at-once", store_loads, DEFAULT_STORE_LOADS);
        if store_loads == Some(0) {
            faults.add("--store-loads-at-once", "must be at least 1");
        }
        let report_interval = faults.millis_or(
            "--report-interval-ms",
            report_interval,
            DEFAULT_REPORT_INTERVAL,
        );
        if report_interval.is_some_and(|interval| interval.is_zero()) {
            faults.add("--report-interval-ms", "must be at least 1 ms");
        }
        let log = log.check(&mut faults);
        let settings = platform_settings.zip(watch_wait).zip(store_loads);
        let settings = settings.zip(report_interval).zip(log);
        let settings = settings.map(
            |((((platform_settings, watch_wait), store_loads), report_interval), log)| {
                HostSettings {
                    platform_settings,
                    watch_wait,
                    store_loads,
                    report_interval,
                    log,
                }
            },
        );
        faults.finish(settings)
    }
}
