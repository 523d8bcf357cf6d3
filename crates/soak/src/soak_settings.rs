use std::path::PathBuf;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;

/// Shortest run: a few faults and their ends must fit in.
const MIN_SECONDS: u64 = 5;

/// Largest fleet: each host takes eight of the ports that one process of stand-ins has, and restarts take more.
const MAX_HOSTS: usize = 16;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Decides faults and requests.
    pub seed: u64,
    /// Time for which faults strike.
    pub fault_time: Duration,
    /// Host processes.
    pub hosts: usize,
    /// Callers, each with a connection that it uses until it ends.
    pub callers: usize,
    /// True if servers only refuse requests and send their refusals once more; the other faults don't strike.
    pub only_refusals: bool,
    /// True if servers only name limits; the other faults don't strike.
    pub only_limits: bool,
    /// True if servers only become cold, and start again cold; the other faults don't strike.
    pub only_cold: bool,
    /// Program of the hosts.
    pub program: PathBuf,
    /// Folder for the hosts' logs of a run that broke a promise; `None` if they aren't kept.
    pub keep_logs: Option<PathBuf>,
}

/// Parser of the flags.
pub fn soak_arguments() -> OptionParser<SoakSettings> {
    let seed = bpaf::long("seed")
        .help("Decides faults and requests (required)")
        .argument::<u64>("NUMBER");
    let fault_time = bpaf::long("seconds")
        .help("Time for which faults strike, 5 or more (default: 20)")
        .argument::<u64>("SECONDS")
        .guard(|seconds| *seconds >= MIN_SECONDS, "must be 5 or more")
        .fallback(20)
        .map(Duration::from_secs);
    let hosts = bpaf::long("hosts")
        .help("Host processes, 1 to 16 (default: 4)")
        .argument::<usize>("COUNT")
        .guard(|count| (1..=MAX_HOSTS).contains(count), "must be 1 to 16")
        .fallback(4);
    let callers = bpaf::long("callers")
        .help("Callers (default: 12)")
        .argument::<usize>("COUNT")
        .fallback(12);
    let only_refusals = bpaf::long("only-refusals")
        .help("Servers refuse requests and send their refusals once more; no other faults")
        .switch();
    let only_limits = bpaf::long("only-limits")
        .help("Servers name limits, change and lift them; no other faults")
        .switch();
    let only_cold = bpaf::long("only-cold")
        .help("Servers become cold, and start again cold; no other faults")
        .switch();
    let program = bpaf::long("program")
        .help("Program of the hosts (default: zinniahinge-host beside this program)")
        .argument::<PathBuf>("FILE")
        .fallback_with(default_program);
    let keep_logs = bpaf::long("keep-logs")
        .help("Folder for the hosts' logs of a run that broke a promise")
        .argument::<PathBuf>("FOLDER")
        .optional();
    bpaf::construct!(SoakSettings {
        seed,
        fault_time,
        hosts,
        callers,
        only_refusals,
        only_limits,
        only_cold,
        program,
        keep_logs,
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Plays one seed of faults against real host processes; fails if a promise is broken")
}

fn default_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    Ok(own.with_file_name("zinniahinge-host"))
}
