use zinniahinge_types::MonotonicTime;

/// What a run of a server said about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests a second that the server takes from all hosts together; `None` if it named no limit.
    pub limit_per_s: Option<f64>,
    /// When it said so.
    pub at: MonotonicTime,
}

/// Newest statement of a run of a server about its limit, and when this host may send to the server next.
#[derive(Debug, Default)]
pub(crate) struct LimitRecord {
    newest: Option<LimitStatement>,
    barred_until: MonotonicTime,
}

impl LimitRecord {
    /// Takes a statement in unless a newer one is known; returns true if the limit in force changed.
    pub(crate) fn apply(&mut self, statement: LimitStatement) -> bool {
        if self.newest.is_some_and(|newest| newest.at > statement.at) {
            return false;
        }
        let before = self.limit();
        self.newest = Some(statement);
        let is_changed = before != self.limit();
        if is_changed {
            self.barred_until = MonotonicTime::ZERO;
        }
        is_changed
    }

    /// Requests a second that the server takes; `None` without a limit.
    pub(crate) fn limit(&self) -> Option<f64> {
        self.newest?.limit_per_s
    }

    /// The newest statement.
    pub(crate) fn statement(&self) -> Option<LimitStatement> {
        self.newest
    }

    /// Sends nothing more before `until`, unless the limit changes.
    pub(crate) fn bar(&mut self, until: MonotonicTime) {
        self.barred_until = self.barred_until.max(until);
    }

    /// When this host may send next; the origin of the clock without a limit.
    pub(crate) fn barred_until(&self) -> MonotonicTime {
        self.limit()
            .map_or(MonotonicTime::ZERO, |_| self.barred_until)
    }
}
