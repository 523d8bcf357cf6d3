use std::fs;
use std::time::Duration;

use crate::BenchError;
use crate::bench_error::Result;
use crate::bench_error::system;

/// Unit of the processor times in `/proc/<pid>/stat`; fixed at 100 per second for programs.
const TICK: Duration = Duration::from_millis(10);

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since its start, all threads, user and system.
    pub cpu: Duration,
    /// Resident memory now, bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads it for a process that this program started.
    pub fn read(pid: u32) -> Result<Self> {
        let read = |name: &str| {
            let path = format!("/proc/{pid}/{name}");
            fs::read_to_string(&path).map_err(system(path))
        };
        let (stat, status) = (read("stat")?, read("status")?);
        Self::parse(&stat, &status).ok_or_else(|| BenchError::Answer {
            what: format!("usage of process {pid}"),
            answer: stat,
        })
    }

    /// Reads the content of `stat` and `status`.
    pub fn parse(stat: &str, status: &str) -> Option<Self> {
        // The name in parentheses may contain spaces and parentheses.
        let (_, fields) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: u32 = fields.get(11)?.parse().ok()?;
        let system: u32 = fields.get(12)?.parse().ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = resident.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(Self {
            cpu: TICK * (user + system),
            resident_bytes: kib * 1024,
        })
    }
}

/// Files that this process and its children may have open at once.
pub fn file_limit() -> Result<usize> {
    let path = "/proc/self/limits";
    let limits = fs::read_to_string(path).map_err(system(path))?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let limit = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    // "unlimited" does not parse.
    Ok(limit.unwrap_or(usize::MAX))
}
