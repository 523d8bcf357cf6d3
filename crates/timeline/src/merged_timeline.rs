use serde::Serialize;
use zinniahinge_types::EventRecord;

use crate::ProcessStream;
use crate::TimelineFault;
use crate::causal_order::CausalOrder;

/// An event with its place in the time line.
#[derive(Clone, Debug, Serialize)]
pub struct TimelineEvent {
    /// The event as the process wrote it.
    #[serde(flatten)]
    pub record: EventRecord,
    /// Time by our clock: the process's time less its offset, microseconds since the Unix epoch.
    pub corrected_us: u64,
    /// `corrected_us`, or later if the event must follow another one.
    pub placed_us: u64,
    /// Bound on the error of `corrected_us`, microseconds; `None` if the offset is unknown.
    pub uncertainty_us: Option<u64>,
}

/// Events of all processes in one order.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    /// Events, ascending by `placed_us`.
    pub events: Vec<TimelineEvent>,
    /// What makes the time line doubtful.
    pub faults: Vec<TimelineFault>,
}

impl MergedTimeline {
    /// Merges `streams`. `faults` are those found while reading.
    pub fn merge(streams: Vec<ProcessStream>, mut faults: Vec<TimelineFault>) -> Self {
        let mut events = Vec::new();
        let mut indexes = Vec::new();
        for stream in streams {
            let start = events.len();
            let offset = stream.offset;
            events.extend(stream.records.into_iter().map(|record| {
                let corrected_us = offset.unwrap_or_default().correct(record.at_us);
                TimelineEvent {
                    record,
                    corrected_us,
                    placed_us: corrected_us,
                    uncertainty_us: offset.map(|offset| offset.uncertainty_us),
                }
            }));
            indexes.push((start..events.len()).collect::<Vec<usize>>());
        }
        let order = CausalOrder::new(&events, &indexes);
        let sorted = order.sort();
        faults.extend(sorted.faults);
        let placed = place(&events, &order, &sorted.indexes);
        for (event, placed_us) in events.iter_mut().zip(placed) {
            event.placed_us = placed_us;
        }
        let mut slots: Vec<Option<TimelineEvent>> = events.into_iter().map(Some).collect();
        let mut events: Vec<TimelineEvent> = sorted
            .indexes
            .into_iter()
            .filter_map(|index| slots[index].take())
            .collect();
        // Stable: events that are placed at one time keep their causal order.
        events.sort_by_key(|event| event.placed_us);
        Self { events, faults }
    }
}

/// Times at which the events are placed: that of the latest event that must precede, if it is later
/// than the event's own.
fn place(events: &[TimelineEvent], order: &CausalOrder<'_>, sorted: &[usize]) -> Vec<u64> {
    let mut placed: Vec<u64> = events.iter().map(|event| event.corrected_us).collect();
    let mut position = vec![0; events.len()];
    for (place, index) in sorted.iter().enumerate() {
        position[*index] = place;
    }
    for index in sorted {
        for next in order.successors(*index) {
            // After a broken cycle a successor may come earlier; its place is kept.
            if position[*next] > position[*index] {
                placed[*next] = placed[*next].max(placed[*index]);
            }
        }
    }
    placed
}
