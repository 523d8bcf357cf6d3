//! Flags of the host process.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use zinniahinge_telemetry::LogArguments;
use zinniahinge_telemetry::LogSettings;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::SettingsError;
use zinniahinge_telemetry::log_arguments;

/// Time that a watch of the store waits by default. Two of them, one after the other, must fit into the time for which
/// a reading of the configuration is trusted.
const DEFAULT_WATCH_WAIT: Duration = Duration::from_millis(1200);

/// Longest wait of a watch that the store allows.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Default of loads from the weight store that run at full speed at once.
const DEFAULT_STORE_LOADS: usize = 4;

/// Default time between two reports to the coordinating host.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Flags as given, before the check.
#[derive(Clone, Debug)]
pub struct HostArguments {
    platform_settings: Option<PathBuf>,
    watch_wait: Option<String>,
    store_loads: Option<String>,
    report_interval: Option<String>,
    log: LogArguments,
}

/// Checked settings of the host process.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Settings file of the platform.
    pub platform_settings: PathBuf,
    /// Time that a watch of the store waits.
    pub watch_wait: Duration,
    /// Loads from the weight store that run at full speed at once.
    pub store_loads: usize,
    /// Time between two reports to the coordinating host.
    pub report_interval: Duration,
    /// Logging.
    pub log: LogSettings,
}

/// Parser of the flags.
pub fn host_arguments() -> OptionParser<HostArguments> {
    let platform_settings = bpaf::long("platform-settings")
        .env("ZINNIAHINGE_CONFIG")
        .help("Settings file that the platform writes (required)")
        .argument::<PathBuf>("FILE")
        .optional();
    let watch_wait = bpaf::long("watch-wait-ms")
        .env("ZINNIAHINGE_WATCH_WAIT_MS")
        .help("Time that a watch of the store waits (default: 1200)")
        .argument::<String>("MS")
        .optional();
    let store_loads = bpaf::long("store-loads-at-once")
        .env("ZINNIAHINGE_STORE_LOADS")
        .help("Loads from the weight store that run at once (default: 4)")
        .argument::<String>("COUNT")
        .optional();
    let report_interval = bpaf::long("report-interval-ms")
        .env("ZINNIAHINGE_REPORT_INTERVAL_MS")
        .help("Time between two reports to the coordinating host (default: 300)")
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
    /// Checks all flags and reports every fault at once.
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
            faults.add("--platform-settings", "is missing");
        }
        let watch_wait = faults.millis_or("--watch-wait-ms", watch_wait, DEFAULT_WATCH_WAIT);
        if watch_wait.is_some_and(|wait| wait.is_zero() || wait > MAX_WATCH_WAIT) {
            faults.add("--watch-wait-ms", "must lie between 1 and 30000");
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
            faults.add("--report-interval-ms", "must be at least 1");
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
