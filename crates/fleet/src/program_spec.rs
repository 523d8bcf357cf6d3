use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::ProgramKind;
use crate::ReadyCheck;
use crate::fleet_error::Result;
use crate::fleet_error::system;

/// How to start one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramSpec {
    /// Unique name in the fleet, for example `control-1`; also names the log file.
    pub name: String,
    /// Program.
    pub kind: ProgramKind,
    /// Executable.
    pub program: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
    /// Address that serves others: `--listen`.
    pub address: SocketAddr,
    /// Address of `/metrics`, `/readyz` and so on. Equals `address` except for entry processes.
    pub admin: SocketAddr,
    /// How to find out that it is ready.
    pub ready: ReadyCheck,
}

/// Directory of the programs: `ZINNIAHINGE_BIN_DIR`, or the directory of the running executable,
/// without the part `deps` or `examples` that cargo adds for tests and examples.
pub fn default_program_dir() -> Result<PathBuf> {
    if let Some(dir) = env::var_os("ZINNIAHINGE_BIN_DIR") {
        return Ok(PathBuf::from(dir));
    }
    let executable = env::current_exe().map_err(system("find the running executable"))?;
    let mut dir = executable;
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    Ok(dir)
}
