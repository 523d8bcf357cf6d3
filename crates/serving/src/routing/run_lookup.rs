use crate::EngineRuns;

/// What came back when a backend server was asked what it works on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunLookup {
    /// Its report.
    Report(EngineRuns),
    /// Another backend server answered at its address.
    OtherServer,
    /// No connection could be set up, for the reason given.
    NoConnection(String),
    /// It accepted the connection and gave no usable answer, for the reason given.
    NoAnswer(String),
}

impl RunLookup {
    /// Why there is no report; `None` if there is one.
    pub fn failure(&self) -> Option<&str> {
        match self {
            Self::Report(_) => None,
            Self::OtherServer => Some("another server answered"),
            Self::NoConnection(reason) | Self::NoAnswer(reason) => Some(reason),
        }
    }

    /// The report, if there is one.
    pub fn report(&self) -> Option<&EngineRuns> {
        match self {
            Self::Report(runs) => Some(runs),
            Self::OtherServer | Self::NoConnection(_) | Self::NoAnswer(_) => None,
        }
    }
}
