use zinniahinge_types::MonotonicTime;

/// A time in which all calls of one host to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// When the first of the calls failed.
    pub since: MonotonicTime,
    /// When the last of them was sent.
    pub last_sent: MonotonicTime,
    /// When the last of them failed.
    pub until: MonotonicTime,
}

impl StoreOutage {
    /// True if a call of another host, sent at `sent` and answered at `answered_at`, lies between two failed ones. Then the
    /// store rejected only the host of the outage and served others.
    pub fn includes(&self, sent: MonotonicTime, answered_at: MonotonicTime) -> bool {
        self.since < sent && answered_at < self.last_sent
    }
}
