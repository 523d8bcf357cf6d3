use std::net::SocketAddr;

use bpaf::Parser;
use zinniahinge_types::HostId;
use zinniahinge_types::Name;

use crate::LogArguments;
use crate::LogSettings;
use crate::SettingFaults;
use crate::log_arguments;

/// Holds the flags that every server program takes, as given and not yet checked.
#[derive(Clone, Debug, Default)]
pub struct CommonArguments {
    host: Option<String>,
    place: Option<String>,
    region: Option<String>,
    listen: Option<String>,
    log: LogArguments,
}

/// Holds the checked settings that every server program has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// Name of the host, which must be unique in the fleet and stay the same over restarts.
    pub host: HostId,
    /// Data centre of the host.
    pub place: Name,
    /// Region of the data centre.
    pub region: Name,
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Format and level of log lines.
    pub log: LogSettings,
}

/// Builds the parser of `--host`, `--place`, `--region`, `--listen` and the log flags.
///
/// The parser takes any text and requires no flag, because bpaf stops at the first error. [`CommonArguments::check`]
/// then reports all errors together.
pub fn common_arguments() -> impl Parser<CommonArguments> {
    let host = bpaf::long("host")
        .env("ZINNIAHINGE_HOST")
        .help("Name of this host, stable over restarts")
        .argument::<String>("NAME")
        .optional();
    let place = bpaf::long("place")
        .env("ZINNIAHINGE_PLACE")
        .help("Data centre of this host")
        .argument::<String>("NAME")
        .optional();
    let region = bpaf::long("region")
        .env("ZINNIAHINGE_REGION")
        .help("Region of the data centre")
        .argument::<String>("NAME")
        .optional();
    let listen = bpaf::long("listen")
        .env("ZINNIAHINGE_LISTEN")
        .help("IP address and port to listen on")
        .argument::<String>("ADDR")
        .optional();
    let log = log_arguments();
    bpaf::construct!(CommonArguments {
        host,
        place,
        region,
        listen,
        log
    })
}

impl CommonArguments {
    /// Checks the flags. Returns `None` if one is missing or invalid, after adding a fault for each of them.
    pub fn check(self, faults: &mut SettingFaults) -> Option<CommonSettings> {
        let Self {
            host,
            place,
            region,
            listen,
            log,
        } = self;
        let host = check_name(faults, "--host", host);
        let place = check_name(faults, "--place", place);
        let region = check_name(faults, "--region", region);
        let listen = faults.parsed("--listen", listen);
        let log = log.check(faults);
        Some(CommonSettings {
            host: host?,
            place: place?,
            region: region?,
            listen: listen?,
            log: log?,
        })
    }
}

/// Checks a name. Names become part of record keys and event lines, so only characters that are safe there are allowed.
fn check_name(faults: &mut SettingFaults, setting: &str, value: Option<String>) -> Option<Name> {
    let name = faults.required(setting, value)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !name.chars().all(is_allowed) {
        let problem = format!("`{name}`: expected ASCII letters, digits, `-`, `_` or `.`");
        faults.add(setting, problem);
        return None;
    }
    Some(name.into())
}
