//! Settings of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use zinniahinge_authority::AuthoritySettings;
use zinniahinge_telemetry::CommonArguments;
use zinniahinge_telemetry::CommonSettings;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::SettingsError;
use zinniahinge_telemetry::common_arguments;

/// Flags as given, before the check.
#[derive(Clone, Debug)]
pub struct ControlArguments {
    common: CommonArguments,
    kv: Vec<String>,
    hostlist: Option<String>,
    peer_keys: Option<String>,
    term_ms: Option<String>,
    heartbeat_ms: Option<String>,
    settle_ms: Option<String>,
    drain_limit_ms: Option<String>,
}

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Host, place, address for peers, logging.
    pub common: CommonSettings,
    /// Addresses of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Address of the host list.
    pub hostlist: SocketAddr,
    /// File with the peer keys.
    pub peer_keys: PathBuf,
    /// Times of the authority protocol; the same on all hosts.
    pub authority: AuthoritySettings,
    /// Longest time to hand the shards over on a planned stop.
    pub drain_limit: Duration,
}

/// Parser of the flags.
pub fn control_arguments() -> OptionParser<ControlArguments> {
    let common = common_arguments();
    let kv = bpaf::long("kv")
        .env("ZINNIAHINGE_KV")
        .help("IP address and port of the key-value service; can be repeated")
        .argument::<String>("ADDR")
        .many();
    let hostlist = bpaf::long("hostlist")
        .env("ZINNIAHINGE_HOSTLIST")
        .help("IP address and port of the platform's host list")
        .argument::<String>("ADDR")
        .optional();
    let peer_keys = bpaf::long("peer-keys")
        .env("ZINNIAHINGE_PEER_KEYS")
        .help("Keys that authenticate messages between processes")
        .argument::<String>("FILE")
        .optional();
    let term_ms = bpaf::long("term-ms")
        .env("ZINNIAHINGE_TERM_MS")
        .help("How long an acknowledged heartbeat lasts; the same on all hosts (default: 3000)")
        .argument::<String>("MS")
        .optional();
    let heartbeat_ms = bpaf::long("heartbeat-ms")
        .env("ZINNIAHINGE_HEARTBEAT_MS")
        .help("Time between two heartbeats (default: 1000)")
        .argument::<String>("MS")
        .optional();
    let settle_ms = bpaf::long("settle-ms")
        .env("ZINNIAHINGE_SETTLE_MS")
        .help("Time without joins and deaths before shards are rebalanced (default: 5000)")
        .argument::<String>("MS")
        .optional();
    let drain_limit_ms = bpaf::long("drain-limit-ms")
        .env("ZINNIAHINGE_DRAIN_LIMIT_MS")
        .help("Longest time to hand the shards over at a stop (default: 15000)")
        .argument::<String>("MS")
        .optional();
    bpaf::construct!(ControlArguments {
        common,
        kv,
        hostlist,
        peer_keys,
        term_ms,
        heartbeat_ms,
        settle_ms,
        drain_limit_ms
    })
    .to_options()
    .descr("Owns shards: limits, queues, loads and idempotency keys")
    .version(env!("CARGO_PKG_VERSION"))
}

impl ControlArguments {
    /// Checks the flags and reports all faults at once.
    pub fn check(self) -> Result<ControlSettings, SettingsError> {
        let mut faults = SettingFaults::default();
        let settings = self.check_into(&mut faults);
        faults.finish(settings)
    }

    fn check_into(self, faults: &mut SettingFaults) -> Option<ControlSettings> {
        let Self {
            common,
            kv,
            hostlist,
            peer_keys,
            term_ms,
            heartbeat_ms,
            settle_ms,
            drain_limit_ms,
        } = self;
        let common = common.check(faults);
        let kv = check_endpoints(faults, kv);
        let hostlist = faults.parsed("--hostlist", hostlist.map(strip_scheme));
        let peer_keys = faults.required("--peer-keys", peer_keys);
        let term = faults.millis_or("--term-ms", term_ms, Duration::from_millis(3000));
        let heartbeat =
            faults.millis_or("--heartbeat-ms", heartbeat_ms, Duration::from_millis(1000));
        let settle = faults.millis_or("--settle-ms", settle_ms, Duration::from_millis(5000));
        let drain_limit = faults.millis_or(
            "--drain-limit-ms",
            drain_limit_ms,
            Duration::from_millis(15_000),
        );
        let authority = AuthoritySettings::default()
            .with_term(term?)
            .with_heartbeat_interval(heartbeat?)
            .with_settle_time(settle?);
        let authority = match authority.check() {
            Ok(authority) => Some(authority),
            Err(error) => {
                faults.add("--term-ms, --heartbeat-ms", error.to_string());
                None
            }
        };
        Some(ControlSettings {
            common: common?,
            kv: kv?,
            hostlist: hostlist?,
            peer_keys: peer_keys?.into(),
            authority: authority?,
            drain_limit: drain_limit?,
        })
    }
}

/// Addresses may be given as URLs, as the key-value service's own tools take them.
fn strip_scheme(address: String) -> String {
    let bare = address.strip_prefix("http://").unwrap_or(&address);
    bare.trim_end_matches('/').to_owned()
}

fn check_endpoints(faults: &mut SettingFaults, endpoints: Vec<String>) -> Option<Vec<SocketAddr>> {
    if endpoints.is_empty() {
        faults.add("--kv", "is missing");
        return None;
    }
    let parsed = endpoints
        .into_iter()
        .flat_map(|given| given.split(',').map(str::to_owned).collect::<Vec<String>>());
    parsed
        .map(|endpoint| faults.parsed("--kv", Some(strip_scheme(endpoint))))
        .collect()
}
