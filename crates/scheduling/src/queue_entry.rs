use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;

/// A waiting request, with its times on the clock of this process.
#[derive(Clone, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) request: DispatchRequest,
    pub(crate) arrived: MonotonicTime,
    pub(crate) deadline: MonotonicTime,
    /// Position in arrival order.
    pub(crate) sequence: u64,
    /// Whether no replica could serve the request when it arrived.
    pub(crate) cold: bool,
}
