use std::time::Duration;

use zinniahinge_types::AdapterDemand;
use zinniahinge_types::MonotonicTime;

use crate::GapHistogram;

/// Latest report of one model's dispatcher, and the model's history.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandRecord {
    pub(crate) waiting: Vec<AdapterDemand>,
    pub(crate) reported_at: MonotonicTime,
    /// False until the dispatcher's first report to this planner.
    pub(crate) reported: bool,
    /// List version that the dispatcher had applied at its last report to this planner.
    pub(crate) applied_version: u64,
    /// Version of the last list that was sent to the dispatcher.
    pub(crate) sent_version: u64,
    /// Version of the last change of the model's replica list.
    pub(crate) list_version: u64,
    pub(crate) gaps: GapHistogram,
    /// When a request last waited, ran or arrived.
    pub(crate) last_active: Option<MonotonicTime>,
    /// Since when fewer replicas would have sufficed.
    pub(crate) surplus_since: Option<MonotonicTime>,
}

impl DemandRecord {
    /// Requests that wait, for the base model or any adapter.
    pub(crate) fn waiting_count(&self) -> u32 {
        self.waiting.iter().map(|demand| demand.count).sum()
    }

    /// Longest wait, as of `now`.
    pub(crate) fn waited(&self, now: MonotonicTime) -> Duration {
        let longest = self.waiting.iter().map(|demand| demand.waited).max();
        longest.unwrap_or_default() + now.since(self.reported_at)
    }

    /// Shortest time left until a deadline, as of `now`.
    pub(crate) fn deadline_in(&self, now: MonotonicTime) -> Duration {
        let shortest = self.waiting.iter().map(|demand| demand.deadline_in).min();
        let shortest = shortest.unwrap_or(Duration::MAX);
        shortest.saturating_sub(now.since(self.reported_at))
    }

    /// The most urgent of the waiting demands.
    pub(crate) fn most_urgent(&self) -> Option<&AdapterDemand> {
        self.waiting
            .iter()
            .min_by_key(|demand| (demand.class, demand.deadline_in))
    }

    /// Counts activity; a gap that it ends goes into the history. Gaps up to `shortest` are left
    /// out: they decide nothing, and the many of a busy time would displace the long ones.
    pub(crate) fn record_activity(
        &mut self,
        arrived: bool,
        shortest: Duration,
        now: MonotonicTime,
    ) {
        let gap = self.last_active.map(|last| now.since(last));
        if let Some(gap) = gap.filter(|gap| arrived && *gap > shortest) {
            self.gaps.record(gap);
        }
        self.last_active = Some(now);
    }

    /// Drops reported waiting requests whose deadline has passed, so that a dispatcher that fell
    /// silent causes no load.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        let age = now.since(self.reported_at);
        self.waiting.retain(|demand| demand.deadline_in > age);
    }
}
