/// Result of one request, as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer to this request.
    Whole,
    /// An explicit refusal or failure.
    Refused {
        /// Problem type without its prefix.
        kind: String,
        /// `no`, `yes` or `unknown`; empty if the answer does not say.
        ran: String,
    },
    /// An answer that ended early and shows it: a broken body or an error event.
    Cut,
    /// A complete answer that is not the one to this request.
    Wrong,
    /// No connection; nothing was sent.
    NotSent,
    /// The connection broke before an answer came.
    NoAnswer,
    /// No whole answer within the caller's own timeout.
    TimedOut,
}

impl CallResult {
    /// Name in reports.
    pub fn name(&self) -> &str {
        match self {
            Self::Whole => "whole",
            Self::Refused { kind, .. } => kind,
            Self::Cut => "cut",
            Self::Wrong => "wrong",
            Self::NotSent => "not-sent",
            Self::NoAnswer => "no-answer",
            Self::TimedOut => "timed-out",
        }
    }
}
