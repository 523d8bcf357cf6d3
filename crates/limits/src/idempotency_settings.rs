use std::time::Duration;

/// Bounds the time and memory that an [`IdempotencyTable`](crate::IdempotencyTable) uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// Time for which a key is kept after its first use. Default 24 h.
    pub window: Duration,
    /// Time after which an unfinished request is reported as "outcome unknown" instead of "in progress". Default 1 h,
    /// which is longer than any request deadline.
    pub progress_limit: Duration,
    /// Largest number of keys; new keys beyond it are refused. Default 100,000 per shard.
    pub max_entries: usize,
    /// Largest stored response body in bytes. Default 256 KiB.
    pub max_answer_bytes: usize,
    /// Largest sum of all stored response bodies in bytes; responses beyond it are not stored. Default 16 MiB per
    /// shard.
    pub max_total_bytes: usize,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(24 * 3600),
            progress_limit: Duration::from_secs(3600),
            max_entries: 100_000,
            max_answer_bytes: 256 * 1024,
            max_total_bytes: 16 * 1024 * 1024,
        }
    }
}
