use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;

use crate::ChildProcess;
use crate::FleetError;
use crate::ProgramKind;
use crate::ProgramSpec;
use crate::fleet_error::Result;
use crate::fleet_error::system;

/// Running processes and their logs. Dropping it kills all of them.
///
/// If the thread panics, as in a failed test, the folder with the logs is kept and named.
#[derive(Debug)]
pub struct Fleet {
    processes: Vec<ChildProcess>,
    folder: Option<TempDir>,
    folder_path: PathBuf,
}

impl Fleet {
    /// A fleet without processes.
    pub fn new() -> Result<Self> {
        let folder = tempfile::Builder::new()
            .prefix("zinniahinge-fleet-")
            .tempdir()
            .map_err(system("create a folder"))?;
        Ok(Self {
            processes: Vec::new(),
            folder_path: folder.path().to_owned(),
            folder: Some(folder),
        })
    }

    /// Folder of the logs and of files that processes share.
    pub fn folder(&self) -> &Path {
        &self.folder_path
    }

    /// File of the peer keys that all processes read.
    pub fn peer_keys(&self) -> PathBuf {
        self.folder_path.join("peer-keys")
    }

    /// How the process with this name was started.
    pub fn spec(&self, name: &str) -> Result<&ProgramSpec> {
        let mut specs = self.processes.iter().map(ChildProcess::spec);
        let spec = specs.find(|spec| spec.name == name);
        spec.ok_or_else(|| FleetError::UnknownName {
            name: name.to_owned(),
        })
    }

    /// URL of a path that the process serves to others.
    pub fn url(&self, name: &str, path: &str) -> Result<String> {
        Ok(format!("http://{}{path}", self.spec(name)?.address))
    }

    /// URL of an admin path of the process.
    pub fn admin_url(&self, name: &str, path: &str) -> Result<String> {
        Ok(format!("http://{}{path}", self.spec(name)?.admin))
    }

    /// All processes in the order of their start.
    pub fn all(&self) -> impl Iterator<Item = &ChildProcess> {
        self.processes.iter()
    }

    /// Starts one more process.
    pub fn start(&mut self, spec: ProgramSpec) -> Result<&mut ChildProcess> {
        let process = ChildProcess::start(spec, &self.folder_path)?;
        self.processes.push(process);
        let last = self.processes.len() - 1;
        Ok(&mut self.processes[last])
    }

    /// The process with this name.
    pub fn process(&mut self, name: &str) -> Result<&mut ChildProcess> {
        let found = |process: &&mut ChildProcess| process.spec().name == name;
        let process = self.processes.iter_mut().find(found);
        process.ok_or_else(|| FleetError::UnknownName {
            name: name.to_owned(),
        })
    }

    /// All processes of a kind, in the order of their start.
    pub fn processes(&self, kind: ProgramKind) -> impl Iterator<Item = &ChildProcess> {
        let of_kind = move |process: &&ChildProcess| process.spec().kind == kind;
        self.processes.iter().filter(of_kind)
    }

    /// Stops all processes gracefully, the last started ones first, `limit` for each.
    pub async fn stop(mut self, limit: Duration) -> Result<()> {
        let mut processes = std::mem::take(&mut self.processes);
        while let Some(mut process) = processes.pop() {
            process.terminate()?;
            let status = process.wait_exit(limit).await?;
            if !status.success() {
                return Err(process.ended(status));
            }
        }
        Ok(())
    }

    /// Waits until all processes are ready, `limit` for all together.
    pub async fn wait_ready(&mut self, limit: Duration) -> Result<()> {
        let started = Instant::now();
        for process in &mut self.processes {
            let left = limit.saturating_sub(started.elapsed());
            process.wait_ready(left).await?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        if thread::panicking()
            && let Some(folder) = self.folder.take()
        {
            eprintln!("logs of the fleet are kept in {}", folder.keep().display());
        }
    }
}
