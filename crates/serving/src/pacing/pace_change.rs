use zinniahinge_types::BackendRun;

/// Why a run of a server gets a pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceStart {
    /// It appeared while the service was already running.
    Started,
    /// It left requests unanswered.
    Failed,
    /// An earlier coordinator gave it the pace.
    Inherited,
}

/// Why the pace of a run of a server ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceEnd {
    /// It answers well, and fewer requests are asked for than the pace allows.
    Sufficient,
    /// It had no trouble for the longest time of a pace.
    Expired,
    /// The run is gone, or its service has no paces any more.
    Gone,
}

/// A pace that began or ended, for log lines.
#[derive(Clone, Debug, PartialEq)]
pub enum PaceChange {
    /// A pace began.
    Begun {
        /// Run of the server.
        run: BackendRun,
        /// Requests a second.
        per_s: f64,
        /// Reason.
        start: PaceStart,
    },
    /// A pace ended.
    Ended {
        /// Run of the server.
        run: BackendRun,
        /// Last requests a second.
        per_s: f64,
        /// Reason.
        end: PaceEnd,
    },
}

impl PaceStart {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Failed => "failed",
            Self::Inherited => "inherited",
        }
    }
}

impl PaceEnd {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sufficient => "sufficient",
            Self::Expired => "expired",
            Self::Gone => "gone",
        }
    }
}
