use serde::Serialize;
use thiserror::Error;
use zinniahinge_types::Name;
use zinniahinge_types::TraceId;

/// Something that makes the time line incomplete or doubtful.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum TimelineFault {
    /// A process or a file could not be read, wholly or from some point on.
    #[error("{source_name}: cannot be read: {problem}")]
    SourceUnreadable {
        /// Address or path.
        source_name: String,
        /// Why.
        problem: String,
    },
    /// A line is no event.
    #[error("{source_name}: line {line}: {problem}")]
    BadLine {
        /// Address or path.
        source_name: String,
        /// Line, counted from 1.
        line: usize,
        /// Why.
        problem: String,
    },
    /// Events are missing: overwritten in the ring buffer, or not saved.
    #[error("{process}: events {first} to {last} are missing")]
    SequenceGap {
        /// Process.
        process: Name,
        /// First missing number.
        first: u64,
        /// Last missing number.
        last: u64,
    },
    /// Two events have one number: the process was restarted between two saved reads.
    #[error("{process}: number {sequence} is used twice; the process was restarted")]
    SequenceReused {
        /// Process.
        process: Name,
        /// Number.
        sequence: u64,
    },
    /// The clock offset of a process is unknown and taken as zero.
    #[error("{process}: clock offset unknown, taken as zero")]
    OffsetUnknown {
        /// Process.
        process: Name,
    },
    /// The order inside a process contradicts the order that a request must have.
    #[error("trace {trace_id}: events contradict the order of a request")]
    OrderContradiction {
        /// Trace.
        trace_id: TraceId,
    },
}

impl TimelineFault {
    /// True if a source could not be read; the program then exits with 1.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, Self::SourceUnreadable { .. })
    }
}
