use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;

/// A waiting request with its times on this process's clock.
#[derive(Clone, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) request: DispatchRequest,
    pub(crate) arrived: MonotonicTime,
    pub(crate) deadline: MonotonicTime,
    /// Position in arrival order.
    pub(crate) sequence: u64,
    /// True if no replica could serve the request when it came.
    pub(crate) cold: bool,
}
