use std::time::Duration;

/// Limits of an [`IdempotencyTable`](crate::IdempotencyTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// How long a key is remembered after its first use. Default 24 h.
    pub window: Duration,
    /// How long an unfinished request is answered "in progress", and "outcome unknown" afterwards.
    /// Default 1 h, beyond the longest request deadline.
    pub progress_limit: Duration,
    /// Keys remembered at most; new keys beyond are refused. Default 100,000 per shard.
    pub max_entries: usize,
    /// Largest stored body, bytes. Default 256 KiB.
    pub max_answer_bytes: usize,
    /// Sum of all stored bodies, bytes. Answers beyond it are not kept. Default 16 MiB per shard.
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
