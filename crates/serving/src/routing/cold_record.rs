use std::time::Duration;

use zinniahinge_types::MonotonicTime;

/// When a run of a server is cold, as this host knows. Unused for services whose servers start fast.
#[derive(Debug, Default)]
pub(crate) struct ColdRecord {
    /// Time for which servers are cold after a start, and slots a second meanwhile; `None` if they start fast.
    start: Option<(Duration, f64)>,
    until: MonotonicTime,
    /// End of the part that this host found out by itself.
    own_until: MonotonicTime,
    /// When the connection was first lost or refused, if no answer came since.
    lost_at: Option<MonotonicTime>,
    /// Sequence number of the newest entry that was taken in.
    sequence: Option<u64>,
}

impl ColdRecord {
    /// Sets how servers of the service start.
    pub(crate) fn set_start(&mut self, start: Option<(Duration, f64)>) {
        self.start = start;
    }

    /// Takes in an entry in which the server says that it stays cold for `left`.
    pub(crate) fn apply_entry(&mut self, sequence: u64, left: Duration, now: MonotonicTime) {
        if self.sequence.is_some_and(|known| known >= sequence) {
            return;
        }
        self.sequence = Some(sequence);
        self.presume(now + left);
    }

    /// Counts the run as cold until `until`, unless it is for longer.
    pub(crate) fn presume(&mut self, until: MonotonicTime) {
        self.until = self.until.max(until);
    }

    /// Records that no connection could be opened, or that one ended early: the server may start again.
    pub(crate) fn record_loss(&mut self, now: MonotonicTime) {
        self.lost_at.get_or_insert(now);
    }

    /// Records an answer to a request that was sent at `sent`.
    pub(crate) fn record_answer(&mut self, sent: MonotonicTime, now: MonotonicTime) {
        if let Some((time, _)) = self.start
            && self.lost_at.is_some_and(|lost_at| sent >= lost_at)
        {
            self.lost_at = None;
            self.own_until = now + time;
            self.presume(self.own_until);
        }
    }

    /// Time for which the run stays cold, the whole time while it doesn't answer; `None` if it isn't cold.
    pub(crate) fn left(&self, now: MonotonicTime) -> Option<Duration> {
        let (time, _) = self.start?;
        let left = self.until.since(now);
        let left = if self.lost_at.is_some() {
            left.max(time)
        } else {
            left
        };
        (!left.is_zero()).then_some(left)
    }

    /// Time for which the run stays cold as far as this host found out by itself, for the other hosts: a whole cold time after a
    /// loss, so that a host which alone doesn't reach a server keeps the others from it for no longer.
    pub(crate) fn own_left(&self, now: MonotonicTime) -> Option<Duration> {
        let (time, _) = self.start?;
        let until = self
            .lost_at
            .map_or(self.own_until, |lost_at| lost_at + time);
        let left = until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Requests a second that the run takes now; `None` if it isn't cold.
    pub(crate) fn rate(&self, now: MonotonicTime) -> Option<f64> {
        self.left(now)?;
        self.start.map(|(_, per_s)| per_s)
    }
}
