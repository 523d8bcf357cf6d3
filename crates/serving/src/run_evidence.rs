/// What a look-up shows about a run at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvidence {
    /// The server works on it.
    AtWork,
    /// The server accounts for all that it works on, and the run isn't among it.
    NotListed,
    /// The server has started again since.
    StartedAgain,
    /// Another server has taken the address.
    OtherServer,
    /// The report may describe a time before the request arrived.
    OldReport,
    /// Requests wait at the server, and the run may be one of them.
    MayWait,
    /// The server doesn't say what it works on.
    NotStated,
    /// No connection to the server could be set up.
    NoConnection,
    /// The server gave no usable answer.
    NoAnswer,
}

impl RunEvidence {
    /// True if the request may go on at another server. `is_connection_lost` is true if the connection to the first one
    /// ended, after which servers drop a request unless they say otherwise; silence alone shows nothing.
    pub fn allows_another_server(self, is_connection_lost: bool) -> bool {
        match self {
            Self::NotListed | Self::StartedAgain | Self::OtherServer | Self::NoConnection => true,
            Self::AtWork | Self::OldReport | Self::MayWait => false,
            Self::NotStated | Self::NoAnswer => is_connection_lost,
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
            Self::NoConnection => "no-connection",
            Self::NoAnswer => "no-answer",
        }
    }
}
