use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::LatencySummary;

/// What an entry process adds to a warm request, and its memory.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OverheadReport {
    /// One row per repetition and number of connections.
    pub rows: Vec<OverheadRow>,
    /// Memory with open streams, if measured.
    pub streams: Option<StreamMemory>,
}

/// Figures of one repetition.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OverheadRow {
    /// Connections; each sends one request to the engine, then one through the entry process.
    pub connections: usize,
    /// Requests sent to the engine.
    pub direct: LatencySummary,
    /// Requests sent through the entry process.
    pub through: LatencySummary,
    /// Requests that the entry process refused, by problem type. They have no latency.
    pub refused: BTreeMap<String, u64>,
    /// Processor time of the entry process per request, microseconds.
    pub entry_cpu_us: f64,
    /// Processor time of the control process per request, microseconds; includes what it uses at rest.
    pub control_cpu_us: f64,
}

/// Resident memory at rest and with open streams.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StreamMemory {
    /// Streams asked for.
    pub wanted: usize,
    /// Streams that the limit of open files allows.
    pub allowed: usize,
    /// Streams that were open when memory was read.
    pub opened: usize,
    /// Open streams by the entry process's own count.
    pub counted_by_entry: usize,
    /// Time to open them, seconds.
    pub open_s: f64,
    /// Entry process at rest.
    pub entry_rest_bytes: u64,
    /// Control process at rest.
    pub control_rest_bytes: u64,
    /// Entry process with the streams open.
    pub entry_open_bytes: u64,
    /// Control process with the streams open.
    pub control_open_bytes: u64,
}

impl OverheadRow {
    /// Median through the entry process over the median of the engine.
    pub fn median_ratio(&self) -> f64 {
        self.through.p50_ms / self.direct.p50_ms
    }

    /// Difference of the medians, ms.
    pub fn added_median_ms(&self) -> f64 {
        self.through.p50_ms - self.direct.p50_ms
    }

    /// Difference of the 99th percentiles, ms.
    pub fn added_p99_ms(&self) -> f64 {
        self.through.p99_ms - self.direct.p99_ms
    }
}

impl fmt::Display for OverheadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "conns  pairs  direct p50/p99 ms  through p50/p99 ms  ratio  added p50  added p99  \
             entry us/req (req/s/core)  control us/req (req/s/core)"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:>5} {:>6}  {:>7.3} / {:>7.3}  {:>8.3} / {:>7.3}  {:>5.2}  {:>9.3}  {:>9.3}  \
                 {:>11.0} ({:>8.0})  {:>13.0} ({:>8.0})",
                row.connections,
                row.through.count,
                row.direct.p50_ms,
                row.direct.p99_ms,
                row.through.p50_ms,
                row.through.p99_ms,
                row.median_ratio(),
                row.added_median_ms(),
                row.added_p99_ms(),
                row.entry_cpu_us,
                1e6 / row.entry_cpu_us,
                row.control_cpu_us,
                1e6 / row.control_cpu_us,
            )?;
            if !row.refused.is_empty() {
                writeln!(f, "      refused: {:?}", row.refused)?;
            }
        }
        match &self.streams {
            Some(streams) => write!(f, "{streams}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for StreamMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mib = |bytes: u64| bytes as f64 / 1_048_576.0;
        writeln!(
            f,
            "streams: {} open of {} wanted (file limit allows {}, entry counts {}), opened in {:.1} s",
            self.opened, self.wanted, self.allowed, self.counted_by_entry, self.open_s
        )?;
        writeln!(
            f,
            "entry process: {:.1} MiB at rest, {:.1} MiB with streams",
            mib(self.entry_rest_bytes),
            mib(self.entry_open_bytes)
        )?;
        writeln!(
            f,
            "control process: {:.1} MiB at rest, {:.1} MiB with streams",
            mib(self.control_rest_bytes),
            mib(self.control_open_bytes)
        )
    }
}
