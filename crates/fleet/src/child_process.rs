use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use volo_http::client::Client;

use crate::FleetError;
use crate::ProgramSpec;
use crate::fleet_error::Result;
use crate::fleet_error::system;

/// Pause between two looks at a process that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for one answer to a readiness check; a stopped process accepts but never answers.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Lines of a log that an error shows.
const ERROR_LOG_LINES: usize = 20;

/// One started process. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    spec: ProgramSpec,
    log_path: PathBuf,
    child: Child,
}

impl ChildProcess {
    /// Starts the process. Its output is appended to `<name>.log` in `folder`.
    pub(crate) fn start(spec: ProgramSpec, folder: &Path) -> Result<Self> {
        let log_path = folder.join(format!("{}.log", spec.name));
        let child = spawn(&spec, &log_path)?;
        Ok(Self {
            spec,
            log_path,
            child,
        })
    }

    /// How it was started.
    pub fn spec(&self) -> &ProgramSpec {
        &self.spec
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its output so far, over all starts.
    pub fn log(&self) -> String {
        let bytes = fs::read(&self.log_path).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Exit status if it has ended.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        self.child.try_wait().map_err(system("look at a process"))
    }

    // ----------------------------------------------------------------------------------------

    /// Ends it at once (SIGKILL) and waits until it is gone. Does nothing if it has ended.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().map_err(system("kill a process"))?;
        self.child.wait().map_err(system("wait for a process"))?;
        Ok(())
    }

    /// Pauses it (SIGSTOP): it keeps its connections and answers nothing.
    pub fn pause(&mut self) -> Result<()> {
        self.signal(Signal::SIGSTOP)?;
        // The signal acts on each thread a little later; until then the process may still answer.
        let started = Instant::now();
        while !self.is_stopped() && started.elapsed() < CHECK_TIMEOUT {
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// True once every thread is stopped, by the state that the system shows after the name.
    fn is_stopped(&self) -> bool {
        let Ok(threads) = fs::read_dir(format!("/proc/{}/task", self.id())) else {
            return false;
        };
        threads.flatten().all(|thread| {
            let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit(')').next().unwrap_or_default();
            state.trim_start().starts_with('T')
        })
    }

    /// Lets it go on (SIGCONT).
    pub fn resume(&mut self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks it for a graceful shutdown (SIGTERM).
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Starts it again with the same arguments; kills it first if it runs.
    pub fn restart(&mut self) -> Result<()> {
        self.kill()?;
        self.child = spawn(&self.spec, &self.log_path)?;
        Ok(())
    }

    /// Waits until it is ready.
    pub async fn wait_ready(&mut self, limit: Duration) -> Result<()> {
        let started = Instant::now();
        let client = Client::default();
        loop {
            if let Some(status) = self.exit_status()? {
                return Err(self.ended(status));
            }
            let check = self.spec.ready.is_ready(&client);
            if let Ok(true) = tokio::time::timeout(CHECK_TIMEOUT, check).await {
                return Ok(());
            }
            self.check_limit(started, limit, "ready")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until it has ended.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            self.check_limit(started, limit, "ended")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    // ----------------------------------------------------------------------------------------

    /// Sends a signal. A process that has ended gets none, because its id may be in use again.
    fn signal(&mut self, signal: Signal) -> Result<()> {
        if let Some(status) = self.exit_status()? {
            return Err(self.ended(status));
        }
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).map_err(|source| FleetError::Signal {
            name: self.spec.name.clone(),
            source,
        })
    }

    fn check_limit(&self, started: Instant, limit: Duration, state: &'static str) -> Result<()> {
        if started.elapsed() < limit {
            return Ok(());
        }
        Err(FleetError::Late {
            name: self.spec.name.clone(),
            state,
            waited: limit,
            log: self.log_end(),
        })
    }

    pub(crate) fn ended(&self, status: ExitStatus) -> FleetError {
        FleetError::Ended {
            name: self.spec.name.clone(),
            status: status.to_string(),
            log: self.log_end(),
        }
    }

    fn log_end(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        let from = lines.len().saturating_sub(ERROR_LOG_LINES);
        lines[from..].join("\n")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Nothing can be done about a failure here.
        let _ = self.kill();
    }
}

fn spawn(spec: &ProgramSpec, log_path: &Path) -> Result<Child> {
    let mut options = File::options();
    let log = options.create(true).append(true).open(log_path);
    let log = log.map_err(system("open a log file"))?;
    let errors = log.try_clone().map_err(system("open a log file"))?;
    Command::new(&spec.program)
        .args(&spec.arguments)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .map_err(|source| FleetError::Start {
            program: spec.program.clone(),
            source,
        })
}
