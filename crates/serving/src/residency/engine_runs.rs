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

impl EngineRuns {
    /// Number of requests that run or wait; `None` if it is not stated.
    pub fn count(&self) -> Option<u64> {
        self.running?.checked_add(self.waiting?)
    }

    /// True if the engine lists the attempt among the running requests.
    pub fn lists(&self, attempt: &str) -> bool {
        let attempts = self.attempts.as_ref();
        attempts.is_some_and(|attempts| attempts.iter().any(|id| **id == *attempt))
    }
}
