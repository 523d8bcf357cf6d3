/// What a look-up shows about a run at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvidence {
    /// The server works on it.
    AtWork,
    /// The server accounts for all that it works on, and the run isn't among it.
    NotListed,
    /// The same, and the server has started again since the platform's list was read.
    StartedAgain,
    /// Another server has taken the address.
    OtherServer,
    /// The report may describe a time before the request arrived.
    OldReport,
    /// Requests wait at the server, and the run may be one of them.
    MayWait,
    /// The server doesn't say what it works on.
    NotStated,
    /// No connection to the server could be set up, and the platform no longer lists it.
    Gone,
    /// No connection to the server could be set up.
    NoConnection,
    /// The server gave no usable answer.
    NoAnswer,
}

impl RunEvidence {
    /// True if the run is surely over, so that the request may go on at another server. A server that is slow, full or about
    /// to leave may work on while it answers no question, and one that closed its listener while it takes no connection.
    pub fn proves_end(self) -> bool {
        match self {
            Self::NotListed | Self::StartedAgain | Self::OtherServer | Self::Gone => true,
            Self::AtWork
            | Self::OldReport
            | Self::MayWait
            | Self::NotStated
            | Self::NoConnection
            | Self::NoAnswer => false,
        }
    }

    /// Name for log lines and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::AtWork => "at-work",
            Self::NotListed => "not-listed",
            Self::StartedAgain => "started-again",
            Self::OtherServer => "other-server",
            Self::OldReport => "old-report",
            Self::MayWait => "may-wait",
            Self::NotStated => "not-stated",
            Self::Gone => "gone",
            Self::NoConnection => "no-connection",
            Self::NoAnswer => "no-answer",
        }
    }
}
