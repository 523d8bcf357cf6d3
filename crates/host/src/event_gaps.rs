use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// Events of a stream whose times are kept; a longer stream shows no more about its server.
const MAX_GAPS: usize = 64;

/// Fewest times that make up a median.
const MIN_GAPS: usize = 4;

/// Times between the events of one stream.
///
/// The median is the time of the engine's usual step: prompts of other requests, which are read between steps, make only some of
/// the gaps longer.
#[derive(Debug)]
pub(crate) struct EventGaps {
    last_at: Instant,
    gaps: SmallVec<[Duration; MAX_GAPS]>,
}

impl EventGaps {
    /// Starts with the arrival of the first event.
    pub(crate) fn start() -> Self {
        Self {
            last_at: Instant::now(),
            gaps: SmallVec::new(),
        }
    }

    /// Records that `count` events have arrived together. Without any, as with a comment, the gap goes on.
    pub(crate) fn record(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        let now = Instant::now();
        let gap = now.duration_since(std::mem::replace(&mut self.last_at, now));
        if self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap.div_f64(count as f64));
        }
    }

    /// Number of gaps, and their median; `None` if there are too few, or most events arrived at once.
    pub(crate) fn median(mut self) -> Option<(u64, Duration)> {
        if self.gaps.len() < MIN_GAPS {
            return None;
        }
        self.gaps.sort_unstable();
        let median = self.gaps[self.gaps.len() / 2];
        (!median.is_zero()).then_some((self.gaps.len() as u64, median))
    }
}
