use smallvec::SmallVec;
use zinniahinge_types::Name;

/// Requests that an engine works on, some hundred milliseconds ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRuns {
    /// Start of the reporting run of the engine, milliseconds since the Unix epoch; 0 if it is not stated.
    pub born_ms: u64,
    /// Number of requests that run; `None` if it is not stated.
    pub running: Option<u64>,
    /// Number of requests that wait; `None` if it is not stated.
    pub waiting: Option<u64>,
    /// Attempt ids of the running requests; `None` if they are not stated.
    pub attempts: Option<SmallVec<[Name; 8]>>,
}

/// Whether an engine still works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvidence {
    /// It doesn't: the engine says so, has started again, or can't be reached.
    Over,
    /// It does.
    AtWork,
    /// The engine doesn't say.
    Unknown,
}

impl EngineRuns {
    /// Number of requests that run or wait; `None` if it is not stated.
    pub fn count(&self) -> Option<u64> {
        self.running?.checked_add(self.waiting?)
    }

    /// Decides whether the engine, which started at `born_ms` when it got the request, still works on `attempt`.
    pub fn evidence(&self, attempt: &str, born_ms: u64) -> RunEvidence {
        let is_other_start = self.born_ms != 0 && born_ms != 0 && self.born_ms != born_ms;
        if is_other_start || self.count() == Some(0) {
            return RunEvidence::Over;
        }
        match &self.attempts {
            Some(attempts) if attempts.iter().any(|id| **id == *attempt) => RunEvidence::AtWork,
            Some(_) => RunEvidence::Over,
            None => RunEvidence::Unknown,
        }
    }
}

impl RunEvidence {
    /// True if the request may go on at another server. `is_connection_lost` is true if the connection to the first one
    /// ended, after which servers drop a request unless they say otherwise; silence alone shows nothing.
    pub fn allows_another_server(self, is_connection_lost: bool) -> bool {
        match self {
            Self::Over => true,
            Self::AtWork => false,
            Self::Unknown => is_connection_lost,
        }
    }

    /// Name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Over => "over",
            Self::AtWork => "at-work",
            Self::Unknown => "unknown",
        }
    }
}
