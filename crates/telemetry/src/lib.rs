//! Provides what every process needs to be observed and configured: events, logs, metrics, trace context, admin routes
//! and common settings.

mod admin_routes;
mod boot_clock;
mod clock_reading;
mod common_arguments;
mod event_log;
mod log_settings;
mod metrics_registry;
mod parse_arguments;
mod setting_faults;
mod trace_context;

pub use admin_routes::AdminState;
pub use admin_routes::Readiness;
pub use admin_routes::add_admin_routes;
pub use boot_clock::BootClock;
pub use clock_reading::ClockReading;
pub use clock_reading::wall_clock_us;
pub use common_arguments::CommonArguments;
pub use common_arguments::CommonSettings;
pub use common_arguments::common_arguments;
pub use event_log::EventLog;
pub use log_settings::LogArguments;
pub use log_settings::LogFormat;
pub use log_settings::LogSettings;
pub use log_settings::log_arguments;
pub use metrics_registry::LATENCY_BUCKETS_S;
pub use metrics_registry::MetricError;
pub use metrics_registry::MetricsRegistry;
pub use parse_arguments::EXIT_BAD_SETTINGS;
pub use parse_arguments::ParseExit;
pub use parse_arguments::parse_arguments;
pub use parse_arguments::try_parse_arguments;
pub use setting_faults::SettingFault;
pub use setting_faults::SettingFaults;
pub use setting_faults::SettingsError;
pub use trace_context::TraceContext;
