use std::net::SocketAddr;

use bpaf::Parser;
use zinniahinge_types::HostId;
use zinniahinge_types::Name;

use crate::LogArguments;
use crate::LogSettings;
use crate::SettingFaults;
use crate::log_arguments;

/// Flags that every server program takes, as given, before the check.
#[derive(Clone, Debug, Default)]
pub struct CommonArguments {
    host: Option<String>,
    place: Option<String>,
    region: Option<String>,
    listen: Option<String>,
    log: LogArguments,
}

/// Settings that every server program has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// Name of the host, stable over restarts.
    pub host: HostId,
    /// Data centre.
    pub place: Name,
    /// Region of the data centre.
    pub region: Name,
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Logging.
    pub log: LogSettings,
}

/// Parser of `--host`, `--place`, `--region`, `--listen` and the log flags.
///
/// Parses no value and requires none, because bpaf stops at its first fault. The check of
/// [`CommonArguments::check`] reports all faults.
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
    /// Checks the flags. Returns `None` after adding at least one fault.
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

/// Names become part of record keys and of event lines.
fn check_name(faults: &mut SettingFaults, setting: &str, value: Option<String>) -> Option<Name> {
    let name = faults.required(setting, value)?;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !name.chars().all(plain) {
        let problem = format!("`{name}`: expected ASCII letters, digits, `-`, `_` or `.`");
        faults.add(setting, problem);
        return None;
    }
    Some(name.into())
}
