//! Settings of an entry process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use zinniahinge_telemetry::CommonArguments;
use zinniahinge_telemetry::CommonSettings;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::SettingsError;
use zinniahinge_telemetry::common_arguments;

use crate::caller_listener::CertificateFiles;
use crate::entry_state::RequestLimits;

/// Flags as given, before the check.
#[derive(Clone, Debug)]
pub struct EntryArguments {
    common: CommonArguments,
    admin: Option<String>,
    control: Option<String>,
    peer_keys: Option<String>,
    tls_certificate: Option<String>,
    tls_key: Option<String>,
    max_body_bytes: Option<String>,
    default_deadline_ms: Option<String>,
    drain_lead_ms: Option<String>,
    drain_limit_ms: Option<String>,
}

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Host, place, address for callers, logging.
    pub common: CommonSettings,
    /// Address of the admin routes.
    pub admin: SocketAddr,
    /// Control process of the same host.
    pub control: SocketAddr,
    /// File with the peer keys.
    pub peer_keys: PathBuf,
    /// Certificate for callers; without one, connections are not encrypted.
    pub certificate: Option<CertificateFiles>,
    /// Limits of requests.
    pub limits: RequestLimits,
    /// Time between becoming not ready and refusing new connections, so that the balancer notices.
    pub drain_lead: Duration,
    /// Longest time for open requests to finish on a planned stop.
    pub drain_limit: Duration,
}

/// Parser of the flags.
pub fn entry_arguments() -> OptionParser<EntryArguments> {
    let common = common_arguments();
    let admin = text(
        "admin",
        "ADDR",
        "IP address and port of metrics, health and events",
    );
    let control = text(
        "control",
        "ADDR",
        "IP address and port of this host's control process",
    );
    let peer_keys = text(
        "peer-keys",
        "FILE",
        "Keys that authenticate messages between processes",
    );
    let tls_certificate = text(
        "tls-certificate",
        "FILE",
        "Certificate chain for callers, PEM",
    );
    let tls_key = text("tls-key", "FILE", "Private key of the certificate, PEM");
    let max_body_bytes = text(
        "max-body-bytes",
        "BYTES",
        "Largest request body (default: 16777216)",
    );
    let default_deadline_ms = text(
        "default-deadline-ms",
        "MS",
        "Deadline of model requests without a route (default: 60000)",
    );
    let drain_lead_ms = text(
        "drain-lead-ms",
        "MS",
        "Time between not ready and the end of new connections (default: 1000)",
    );
    let drain_limit_ms = text(
        "drain-limit-ms",
        "MS",
        "Longest wait for open requests at a stop (default: 60000)",
    );
    bpaf::construct!(EntryArguments {
        common,
        admin,
        control,
        peer_keys,
        tls_certificate,
        tls_key,
        max_body_bytes,
        default_deadline_ms,
        drain_lead_ms,
        drain_limit_ms
    })
    .to_options()
    .descr("Takes requests from callers and forwards them to backend servers")
    .version(env!("CARGO_PKG_VERSION"))
}

fn text(name: &'static str, meta: &'static str, help: &'static str) -> impl Parser<Option<String>> {
    let variable = match name {
        "admin" => "ZINNIAHINGE_ADMIN",
        "control" => "ZINNIAHINGE_CONTROL",
        "peer-keys" => "ZINNIAHINGE_PEER_KEYS",
        "tls-certificate" => "ZINNIAHINGE_TLS_CERTIFICATE",
        "tls-key" => "ZINNIAHINGE_TLS_KEY",
        "max-body-bytes" => "ZINNIAHINGE_MAX_BODY_BYTES",
        "default-deadline-ms" => "ZINNIAHINGE_DEFAULT_DEADLINE_MS",
        "drain-lead-ms" => "ZINNIAHINGE_DRAIN_LEAD_MS",
        _ => "ZINNIAHINGE_DRAIN_LIMIT_MS",
    };
    bpaf::long(name)
        .env(variable)
        .help(help)
        .argument::<String>(meta)
        .optional()
}

impl EntryArguments {
    /// Checks the flags and reports all faults at once.
    pub fn check(self) -> Result<EntrySettings, SettingsError> {
        let mut faults = SettingFaults::default();
        let settings = self.check_into(&mut faults);
        faults.finish(settings)
    }

    fn check_into(self, faults: &mut SettingFaults) -> Option<EntrySettings> {
        let Self {
            common,
            admin,
            control,
            peer_keys,
            tls_certificate,
            tls_key,
            max_body_bytes,
            default_deadline_ms,
            drain_lead_ms,
            drain_limit_ms,
        } = self;
        let defaults = RequestLimits::default();
        let common = common.check(faults);
        let admin = faults.parsed("--admin", admin);
        let control = faults.parsed("--control", control);
        let peer_keys = faults.required("--peer-keys", peer_keys);
        let certificate = check_certificate(faults, tls_certificate, tls_key);
        let max_body_bytes =
            faults.parsed_or("--max-body-bytes", max_body_bytes, defaults.max_body_bytes);
        let default_deadline = faults.millis_or(
            "--default-deadline-ms",
            default_deadline_ms,
            defaults.default_deadline,
        );
        let drain_lead = faults.millis_or("--drain-lead-ms", drain_lead_ms, Duration::from_secs(1));
        let drain_limit =
            faults.millis_or("--drain-limit-ms", drain_limit_ms, Duration::from_secs(60));
        Some(EntrySettings {
            common: common?,
            admin: admin?,
            control: control?,
            peer_keys: peer_keys?.into(),
            certificate: certificate?,
            limits: RequestLimits {
                max_body_bytes: max_body_bytes?,
                default_deadline: default_deadline?,
                ..defaults
            },
            drain_lead: drain_lead?,
            drain_limit: drain_limit?,
        })
    }
}

/// Both files or none; the outer `None` means that a fault was added.
fn check_certificate(
    faults: &mut SettingFaults,
    certificate: Option<String>,
    key: Option<String>,
) -> Option<Option<CertificateFiles>> {
    match (certificate, key) {
        (None, None) => Some(None),
        (Some(certificate), Some(key)) => Some(Some(CertificateFiles {
            certificate: certificate.into(),
            key: key.into(),
        })),
        (Some(_), None) => {
            faults.add("--tls-key", "is missing; --tls-certificate is given");
            None
        }
        (None, Some(_)) => {
            faults.add("--tls-certificate", "is missing; --tls-key is given");
            None
        }
    }
}
