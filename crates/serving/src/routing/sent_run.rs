use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::EngineRuns;
use crate::RunEvidence;
use crate::RunLookup;

/// Greatest age of the state that a report describes. The platform's protocol promises some hundred milliseconds.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// A request that was sent to a backend server and may run there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRun {
    /// Id of the attempt.
    pub attempt: Name,
    /// Start of the server as the platform's list stated it when the request was sent, milliseconds since the Unix epoch; 0
    /// if it is not known. The server may have started again since the list was read.
    pub born_ms: u64,
    /// When the request had arrived, if it arrives at all.
    pub arrived_by: MonotonicTime,
}

impl SentRun {
    /// Decides what `lookup` shows, for which the server was asked at `asked_at`. `is_listed` is true if the platform still
    /// lists the server, with whatever start.
    pub fn evidence(
        &self,
        lookup: &RunLookup,
        asked_at: MonotonicTime,
        is_listed: bool,
    ) -> RunEvidence {
        match lookup {
            RunLookup::Report(runs) => self.evidence_of_report(runs, asked_at),
            RunLookup::OtherServer => RunEvidence::OtherServer,
            RunLookup::NoConnection(_) if !is_listed => RunEvidence::Gone,
            RunLookup::NoConnection(_) => RunEvidence::NoConnection,
            RunLookup::NoAnswer(_) => RunEvidence::NoAnswer,
        }
    }

    fn evidence_of_report(&self, runs: &EngineRuns, asked_at: MonotonicTime) -> RunEvidence {
        if runs.lists(&self.attempt) {
            return RunEvidence::AtWork;
        }
        if asked_at.since(self.arrived_by) < MAX_REPORT_AGE {
            return RunEvidence::OldReport;
        }
        let Some(count) = runs.count() else {
            return RunEvidence::NotStated;
        };
        let has_started_again =
            runs.born_ms != 0 && self.born_ms != 0 && runs.born_ms != self.born_ms;
        let listed = runs.attempts.as_ref().map(|attempts| attempts.len() as u64);
        match listed {
            // The list may have been older than the start that the request met, so a new start alone proves nothing.
            _ if count == 0 && has_started_again => RunEvidence::StartedAgain,
            _ if count == 0 => RunEvidence::NotListed,
            None => RunEvidence::NotStated,
            // Only running requests are listed.
            Some(listed) if count > listed => RunEvidence::MayWait,
            Some(_) if has_started_again => RunEvidence::StartedAgain,
            Some(_) => RunEvidence::NotListed,
        }
    }
}
