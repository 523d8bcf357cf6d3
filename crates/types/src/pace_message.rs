//! Messages about backend servers that are cold, and about those that have just started or recovered.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::serde_as;

use crate::BackendRun;

/// States that a run of a backend server is cold, as far as the sender knows.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// Run of the backend server.
    pub run: BackendRun,
    /// Time for which it stays cold.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "left_us")]
    pub left: Duration,
}

/// States the pace of a run of a backend server: the requests a second that all hosts together send to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PaceNotice {
    /// Run of the backend server.
    pub run: BackendRun,
    /// Requests a second.
    pub per_s: f64,
}

/// Counts how one run of a backend server answered one host since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Start time of the run, milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Answers, or first events of streams, within the goal of their routes.
    pub in_time: u32,
    /// Answers, or first events of streams, after it.
    pub late: u32,
    /// Requests that the server rejected without running them because it was full.
    pub rejected: u32,
    /// Requests that failed, or that could not be sent.
    pub missing: u32,
    /// Sum of the times of all answers, in thousandths of the goals of their routes.
    pub goal_permille: u64,
}

impl AnswerCounts {
    /// Number of answers, in time or late.
    pub fn answered(&self) -> u32 {
        self.in_time.saturating_add(self.late)
    }

    /// Adds other counts of the same run.
    pub fn add(&mut self, other: &Self) {
        self.in_time = self.in_time.saturating_add(other.in_time);
        self.late = self.late.saturating_add(other.late);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.missing = self.missing.saturating_add(other.missing);
        self.goal_permille = self.goal_permille.saturating_add(other.goal_permille);
    }
}
