use std::time::Instant;

use zinniahinge_platform_standins::CallerAnswer;

/// What may be done again with a request, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Series of events that runs at most once.
    Stream,
    /// Series of events that may go on elsewhere.
    ResumableStream,
}

/// One request of a caller and what became of it.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Id of the attempt.
    pub id: String,
    /// Kind.
    pub kind: RequestKind,
    /// Host that the request was sent to.
    pub host: String,
    /// Key.
    pub key: &'static str,
    /// When the first byte was sent.
    pub sent_at: Instant,
    /// When the answer was there, or the caller gave up.
    pub ended_at: Instant,
    /// Answer; `None` if the caller gave up first or could not send it all.
    pub answer: Option<CallerAnswer>,
}

impl RequestKind {
    /// True if it may run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }

    /// True for a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}
