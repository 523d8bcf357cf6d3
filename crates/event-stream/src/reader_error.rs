use thiserror::Error;

/// Why a stream can't be passed on further.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReaderError {
    /// An incomplete event exceeds the size limit.
    #[error("an event exceeds the limit of {limit} bytes")]
    EventTooLong {
        /// The limit, bytes.
        limit: usize,
    },
    /// The first event of a resumed stream does not follow the last event before.
    #[error(
        "the first event of the resumed stream has the id {found:?}, which does not follow {after:?}"
    )]
    NotResumed {
        /// Id after which the stream had to go on.
        after: String,
        /// Id of the event that came; empty if it has none.
        found: String,
    },
}

/// Result of reading a part of a stream.
pub type Result<T, E = ReaderError> = std::result::Result<T, E>;
