use std::time::Duration;

use zinniahinge_types::AdapterDemand;
use zinniahinge_types::MonotonicTime;

use crate::GapHistogram;

/// Latest demand report of one model's dispatcher, and the model's history of idle gaps.
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
    /// Last report with a request that waited, ran or arrived.
    pub(crate) last_active: Option<MonotonicTime>,
    /// Start of the period in which one replica fewer would have sufficed.
    pub(crate) surplus_since: Option<MonotonicTime>,
}

impl DemandRecord {
    /// Counts the requests that wait for the base model or any of its adapters.
    pub(crate) fn waiting_count(&self) -> u32 {
        self.waiting.iter().map(|demand| demand.count).sum()
    }

    /// Returns the longest time that a request has waited until `now`.
    pub(crate) fn waited(&self, now: MonotonicTime) -> Duration {
        let longest = self.waiting.iter().map(|demand| demand.waited).max();
        longest.unwrap_or_default() + now.since(self.reported_at)
    }

    /// Returns the shortest time from `now` to a deadline; [`Duration::MAX`] if nothing waits.
    pub(crate) fn deadline_in(&self, now: MonotonicTime) -> Duration {
        let shortest = self.waiting.iter().map(|demand| demand.deadline_in).min();
        let shortest = shortest.unwrap_or(Duration::MAX);
        shortest.saturating_sub(now.since(self.reported_at))
    }

    /// Returns the waiting demand with the highest priority class and, within it, the earliest
    /// deadline.
    pub(crate) fn most_urgent(&self) -> Option<&AdapterDemand> {
        self.waiting
            .iter()
            .min_by_key(|demand| (demand.class, demand.deadline_in))
    }

    /// Records activity, and adds the idle gap that an arrival ends to the history. Gaps up to
    /// `shortest` are left out: they affect no decision, and the many of a busy period would
    /// displace the long ones.
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

    /// Drops reported requests whose deadline has passed, so that a dispatcher that stopped
    /// reporting causes no loads.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        let age = now.since(self.reported_at);
        self.waiting.retain(|demand| demand.deadline_in > age);
    }
}
