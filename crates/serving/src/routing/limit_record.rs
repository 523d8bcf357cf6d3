use zinniahinge_types::MonotonicTime;

/// What a run of a server said about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests a second that the server takes from all hosts together; `None` if it named no limit.
    pub limit_per_s: Option<f64>,
    /// When it said so.
    pub at: MonotonicTime,
}

/// Newest statement of a run of a server about its limit.
#[derive(Debug, Default)]
pub(crate) struct LimitRecord {
    newest: Option<LimitStatement>,
}

impl LimitRecord {
    /// Takes a statement in unless a newer one is known; returns true if the limit in force changed.
    pub(crate) fn apply(&mut self, statement: LimitStatement) -> bool {
        if self.newest.is_some_and(|newest| newest.at > statement.at) {
            return false;
        }
        let before = self.limit();
        self.newest = Some(statement);
        before != self.limit()
    }

    /// Requests a second that the server takes; `None` without a limit.
    pub(crate) fn limit(&self) -> Option<f64> {
        self.newest?.limit_per_s
    }

    /// The newest statement.
    pub(crate) fn statement(&self) -> Option<LimitStatement> {
        self.newest
    }
}
