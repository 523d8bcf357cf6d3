use std::time::Duration;

use zinniahinge_types::TraceId;

use crate::MergedTimeline;
use crate::TimelineEvent;

/// Chooses events to show. Applied after the merge, so that hidden events still order the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only events of this trace.
    pub trace_id: Option<TraceId>,
    /// Only events within this time before the newest event of all.
    pub since: Option<Duration>,
    /// Only events with exactly this subject.
    pub subject: Option<String>,
}

impl EventFilter {
    /// Events that pass, in order.
    pub fn apply<'a>(&self, timeline: &'a MergedTimeline) -> Vec<&'a TimelineEvent> {
        let newest_us = timeline.events.last().map_or(0, |event| event.placed_us);
        let since_us = self.since.map(|since| since.as_micros() as u64);
        let oldest_us = since_us.map_or(0, |since_us| newest_us.saturating_sub(since_us));
        let passes = |event: &&TimelineEvent| {
            let Self {
                trace_id,
                since: _,
                subject,
            } = self;
            event.placed_us >= oldest_us
                && (trace_id.is_none() || *trace_id == event.record.trace_id)
                && subject
                    .as_deref()
                    .is_none_or(|subject| subject == &*event.record.subject)
        };
        timeline.events.iter().filter(passes).collect()
    }
}
