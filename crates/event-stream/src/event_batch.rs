use bytes::Bytes;

/// What became complete with a chunk of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes as they arrived, up to a place where a reader is between two events. May hold only comments or fields
    /// without data.
    pub bytes: Bytes,
    /// Number of events with data in them.
    pub events: u64,
}
