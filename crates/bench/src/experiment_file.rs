use std::time::Duration;

use toml::Table;
use toml::Value;
use zinniahinge_telemetry::SettingFaults;
use zinniahinge_telemetry::SettingsError;

use crate::Deployment;

/// Largest number of hosts; with their backend servers about 60 processes.
const MAX_HOSTS: f64 = 18.0;

/// Longest run of one seed.
const MAX_DURATION_S: f64 = 3600.0;

/// Checked experiment file.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentFile {
    /// Name, also of the output files.
    pub name: String,
    /// Deployment whose document, places and backend servers are used.
    pub deployment: Deployment,
    /// Hosts.
    pub hosts: usize,
    /// Time in which requests are sent.
    pub duration: Duration,
    /// One run per seed.
    pub seeds: Vec<u64>,
    /// Steady load.
    pub accounts: Vec<AccountLoad>,
    /// Requests for one model at the same time at many entry processes.
    pub bursts: Vec<RequestBurst>,
    /// Faults at stated times.
    pub faults: Vec<PlannedFault>,
}

/// Load of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountLoad {
    /// Account of the deployment's document.
    pub name: String,
    /// Mean rate.
    pub requests_per_second: f64,
    /// Exponent of the Zipf distribution over the models.
    pub zipf: f64,
    /// Models, the most frequent one first.
    pub models: Vec<String>,
    /// Length of the answers.
    pub tokens: u64,
    /// Time in which the rate is multiplied.
    pub surge: Option<RateSurge>,
    /// Whether a further run shows what the account sees alone.
    pub alone: bool,
}

/// Time in which an account sends a multiple of its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateSurge {
    /// Start.
    pub at: Duration,
    /// Length.
    pub length: Duration,
    /// Multiple.
    pub factor: f64,
}

/// Requests for one model at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestBurst {
    /// When.
    pub at: Duration,
    /// Account, one of the experiment's.
    pub account: String,
    /// Model.
    pub model: String,
    /// Number, spread over all entry processes.
    pub requests: usize,
}

/// A fault at a stated time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When.
    pub at: Duration,
    /// What.
    pub action: FaultAction,
    /// Process, for example `control-2`, `kv` or `store`.
    pub target: String,
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// Ends at once and stays away.
    Kill,
    /// Stops for a time and goes on.
    Pause(Duration),
    /// Refuses connections for a time; stand-ins only.
    Down(Duration),
    /// Runs slower by a factor for a time; stand-ins only.
    Slow(Duration, f64),
}

impl ExperimentFile {
    /// Reads and checks a file's text. All faults are reported at once.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut faults = SettingFaults::default();
        let file = match text.parse::<Table>() {
            Ok(table) => read_file(&mut FileReader::new("", table, &mut faults)),
            Err(error) => {
                faults.add("file", error.to_string());
                None
            }
        };
        faults.finish(file)
    }
}

fn read_file(reader: &mut FileReader<'_>) -> Option<ExperimentFile> {
    let name = reader.text("name");
    let deployment = reader.text("deployment").and_then(|text| {
        let deployment = Deployment::named(&text);
        if deployment.is_none() {
            reader.fault(
                "deployment",
                format!("`{text}`: expected gaspruef or kerbrat"),
            );
        }
        deployment
    });
    let hosts = reader.number("hosts", 1.0, MAX_HOSTS, None);
    let duration = reader.number("duration_s", 1.0, MAX_DURATION_S, None);
    let seeds = read_seeds(reader);
    let accounts = reader.tables("accounts", read_account);
    let bursts = reader.tables("bursts", read_burst);
    let planned = reader.tables("faults", read_fault);
    reader.finish();
    if let Some(accounts) = &accounts
        && accounts.is_empty()
    {
        reader.fault("accounts", "is empty");
    }
    let known = accounts.clone().unwrap_or_default();
    // Accounts that cannot be read are no reason to call those of the bursts unknown.
    let checked = bursts.iter().filter(|_| accounts.is_some());
    for (index, burst) in checked.flatten().enumerate() {
        if !known.iter().any(|account| account.name == burst.account) {
            let problem = format!("`{}` is none of the accounts", burst.account);
            reader.fault(&format!("bursts[{index}].account"), problem);
        }
    }
    if let Some(deployment) = deployment {
        for (index, account) in known.iter().enumerate() {
            for problem in deployment.account_faults(account) {
                reader.fault(&format!("accounts[{index}]"), problem);
            }
        }
    }
    Some(ExperimentFile {
        name: name?,
        deployment: deployment?,
        hosts: hosts? as usize,
        duration: Duration::from_secs_f64(duration?),
        seeds: seeds?,
        accounts: accounts?,
        bursts: bursts?,
        faults: planned?,
    })
}

fn read_seeds(reader: &mut FileReader<'_>) -> Option<Vec<u64>> {
    let seeds = match reader.take("seeds") {
        Some(Value::Array(list)) => list
            .into_iter()
            .map(|seed| seed.as_integer().and_then(|seed| u64::try_from(seed).ok()))
            .collect(),
        _ => None,
    };
    match seeds {
        Some(seeds) if !Vec::is_empty(&seeds) => Some(seeds),
        _ => {
            reader.fault("seeds", "expected a list of whole numbers");
            None
        }
    }
}

fn read_account(reader: &mut FileReader<'_>) -> Option<AccountLoad> {
    let name = reader.text("name");
    let rate = reader.number("requests_per_second", 0.001, 10_000.0, None);
    let zipf = reader.number("zipf", 0.0, 5.0, Some(1.1));
    let tokens = reader.number("tokens", 1.0, 1024.0, Some(32.0));
    let models = reader.texts("models");
    let alone = matches!(reader.take("alone"), Some(Value::Boolean(true)));
    let surge = reader.optional_table("surge", |reader| {
        let at = reader.seconds("at_s");
        let length = reader.seconds("for_s");
        let factor = reader.number("factor", 1.0, 100.0, None);
        Some(RateSurge {
            at: at?,
            length: length?,
            factor: factor?,
        })
    });
    Some(AccountLoad {
        name: name?,
        requests_per_second: rate?,
        zipf: zipf?,
        models: models?,
        tokens: tokens? as u64,
        surge: surge?,
        alone,
    })
}

fn read_burst(reader: &mut FileReader<'_>) -> Option<RequestBurst> {
    let at = reader.seconds("at_s");
    let account = reader.text("account");
    let model = reader.text("model");
    let requests = reader.number("requests", 1.0, 10_000.0, None);
    Some(RequestBurst {
        at: at?,
        account: account?,
        model: model?,
        requests: requests? as usize,
    })
}

fn read_fault(reader: &mut FileReader<'_>) -> Option<PlannedFault> {
    let at = reader.seconds("at_s");
    let target = reader.text("target");
    let action = reader.text("action");
    let action = match action?.as_str() {
        "kill" => Some(FaultAction::Kill),
        "pause" => reader.seconds("for_s").map(FaultAction::Pause),
        "down" => reader.seconds("for_s").map(FaultAction::Down),
        "slow" => {
            let length = reader.seconds("for_s");
            let factor = reader.number("factor", 1.0, 100.0, None);
            length
                .zip(factor)
                .map(|(length, factor)| FaultAction::Slow(length, factor))
        }
        other => {
            reader.fault(
                "action",
                format!("`{other}`: expected kill, pause, down or slow"),
            );
            // Unknown keys of an unknown action are no further faults.
            reader.table.clear();
            None
        }
    };
    Some(PlannedFault {
        at: at?,
        action: action?,
        target: target?,
    })
}

// ----------------------------------------------------------------------------------------------

/// Takes the entries of one table and notes what is wrong with them.
struct FileReader<'a> {
    path: String,
    table: Table,
    faults: &'a mut SettingFaults,
}

impl<'a> FileReader<'a> {
    fn new(path: &str, table: Table, faults: &'a mut SettingFaults) -> Self {
        Self {
            path: path.to_owned(),
            table,
            faults,
        }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.table.remove(key)
    }

    fn fault(&mut self, key: &str, problem: impl Into<String>) {
        let setting = format!("{}{key}", self.path);
        self.faults.add(&setting, problem);
    }

    fn text(&mut self, key: &str) -> Option<String> {
        match self.take(key) {
            Some(Value::String(text)) if !text.is_empty() => return Some(text),
            Some(_) => self.fault(key, "expected a text"),
            None => self.fault(key, "is missing"),
        }
        None
    }

    fn texts(&mut self, key: &str) -> Option<Vec<String>> {
        let texts: Option<Vec<String>> = match self.take(key) {
            Some(Value::Array(list)) => list
                .into_iter()
                .map(|text| text.as_str().map(str::to_owned))
                .collect(),
            _ => None,
        };
        if texts.as_ref().is_none_or(Vec::is_empty) {
            self.fault(key, "expected a list of texts");
            return None;
        }
        texts
    }

    fn number(&mut self, key: &str, least: f64, most: f64, default: Option<f64>) -> Option<f64> {
        let number = match self.take(key) {
            Some(Value::Integer(number)) => Some(number as f64),
            Some(Value::Float(number)) => Some(number),
            Some(_) => None,
            None if default.is_some() => return default,
            None => {
                self.fault(key, "is missing");
                return None;
            }
        };
        match number {
            Some(number) if number >= least && number <= most => Some(number),
            _ => {
                self.fault(key, format!("expected a number from {least} to {most}"));
                None
            }
        }
    }

    fn seconds(&mut self, key: &str) -> Option<Duration> {
        let seconds = self.number(key, 0.0, MAX_DURATION_S, None)?;
        Some(Duration::from_secs_f64(seconds))
    }

    /// All tables of a list, which may be missing.
    fn tables<T>(
        &mut self,
        key: &str,
        read: impl Fn(&mut FileReader<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let list = match self.take(key) {
            None => return Some(Vec::new()),
            Some(Value::Array(list)) => list,
            Some(_) => {
                self.fault(key, "expected tables");
                return None;
            }
        };
        // All are read before one that is missing ends the list, so that no fault is left out.
        let entries: Vec<Option<T>> = list
            .into_iter()
            .enumerate()
            .map(|(index, value)| self.table(&format!("{key}[{index}]"), value, &read))
            .collect();
        entries.into_iter().collect()
    }

    /// The outer `None` means a fault, the inner one that the table is not there.
    fn optional_table<T>(
        &mut self,
        key: &str,
        read: impl Fn(&mut FileReader<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.take(key) {
            None => Some(None),
            Some(value) => self.table(key, value, read).map(Some),
        }
    }

    fn table<T>(
        &mut self,
        key: &str,
        value: Value,
        read: impl Fn(&mut FileReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let Value::Table(table) = value else {
            self.fault(key, "expected a table");
            return None;
        };
        let path = format!("{}{key}.", self.path);
        let mut reader = FileReader::new(&path, table, self.faults);
        let entry = read(&mut reader);
        reader.finish();
        entry
    }

    /// Notes the keys that nobody asked for.
    fn finish(&mut self) {
        for key in std::mem::take(&mut self.table).keys() {
            self.fault(key, "is unknown");
        }
    }
}
