use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use zinniahinge_types::EventKind;
use zinniahinge_types::TraceId;

use crate::TimelineEvent;
use crate::TimelineFault;

/// Must-precede relation between events, by index.
///
/// Sources of the relation: the order inside each process, and within one trace admitted < queued <
/// dispatched < first token < finished. A request that is retried is queued and dispatched more than
/// once; the n-th queueing precedes the n-th dispatch, and so on. If several requests share a trace
/// id, only the first event of each kind is ordered.
pub(crate) struct CausalOrder<'a> {
    events: &'a [TimelineEvent],
    successors: Vec<Vec<usize>>,
    blockers: Vec<usize>,
}

impl<'a> CausalOrder<'a> {
    /// The relation over `events`; `streams` lists the indexes of each process in sequence order.
    pub(crate) fn new(events: &'a [TimelineEvent], streams: &[Vec<usize>]) -> Self {
        let mut order = Self {
            events,
            successors: vec![Vec::new(); events.len()],
            blockers: vec![0; events.len()],
        };
        for stream in streams {
            for pair in stream.windows(2) {
                order.add(pair[0], pair[1]);
            }
        }
        for indexes in order.traces().into_values() {
            order.add_trace(&indexes);
        }
        order
    }

    /// Indexes in an order that follows the relation and, within it, the corrected time.
    ///
    /// A cycle is broken at its earliest event that belongs to a trace, and reported.
    pub(crate) fn sort(&self) -> SortedOrder {
        let mut blockers = self.blockers.clone();
        let mut sorted = SortedOrder::default();
        let mut done = vec![false; self.events.len()];
        let free = (0..self.events.len()).filter(|index| blockers[*index] == 0);
        let mut ready: BinaryHeap<_> = free.map(|index| Reverse(self.key(index))).collect();
        while sorted.indexes.len() < self.events.len() {
            let index = match ready.pop() {
                Some(Reverse((_, index))) => index,
                None => match self.break_cycle(&done, &mut sorted.faults) {
                    Some(index) => index,
                    None => break,
                },
            };
            if std::mem::replace(&mut done[index], true) {
                continue;
            }
            sorted.indexes.push(index);
            for next in &self.successors[index] {
                blockers[*next] -= 1;
                if blockers[*next] == 0 && !done[*next] {
                    ready.push(Reverse(self.key(*next)));
                }
            }
        }
        sorted
    }

    /// Direct successors of an event.
    pub(crate) fn successors(&self, index: usize) -> &[usize] {
        &self.successors[index]
    }

    fn key(&self, index: usize) -> (u64, usize) {
        (self.events[index].corrected_us, index)
    }

    fn break_cycle(&self, done: &[bool], faults: &mut Vec<TimelineFault>) -> Option<usize> {
        let blocked = (0..self.events.len()).filter(|index| !done[*index]);
        let untraced = |index: usize| self.events[index].record.trace_id.is_none();
        let index = blocked.min_by_key(|index| (untraced(*index), self.key(*index)))?;
        if let Some(trace_id) = self.events[index].record.trace_id {
            let fault = TimelineFault::OrderContradiction { trace_id };
            if !faults.contains(&fault) {
                faults.push(fault);
            }
        }
        Some(index)
    }

    fn add(&mut self, before: usize, after: usize) {
        self.successors[before].push(after);
        self.blockers[after] += 1;
    }

    fn traces(&self) -> BTreeMap<TraceId, Vec<usize>> {
        let mut traces: BTreeMap<TraceId, Vec<usize>> = BTreeMap::new();
        for (index, event) in self.events.iter().enumerate() {
            if let Some(trace_id) = event.record.trace_id {
                traces.entry(trace_id).or_default().push(index);
            }
        }
        traces
    }

    fn add_trace(&mut self, indexes: &[usize]) {
        let mut steps: [Vec<usize>; RANKS] = Default::default();
        for index in indexes {
            if let Some(rank) = request_rank(self.events[*index].record.kind) {
                steps[rank].push(*index);
            }
        }
        for step in &mut steps {
            step.sort_by_key(|index| self.key(*index));
        }
        if steps[ADMITTED].len() > 1 || steps[FINISHED].len() > 1 {
            // Several requests share the trace id and cannot be told apart.
            steps.iter_mut().for_each(|step| step.truncate(1));
        }
        let present: Vec<&Vec<usize>> = steps[QUEUED..FINISHED]
            .iter()
            .filter(|step| !step.is_empty())
            .collect();
        for pair in present.windows(2) {
            for (before, after) in pair[0].iter().zip(pair[1]) {
                self.add(*before, *after);
            }
        }
        let between = || steps[QUEUED..FINISHED].iter().flatten().copied();
        for admitted in &steps[ADMITTED] {
            between().for_each(|step| self.add(*admitted, step));
            let finished = steps[FINISHED].iter();
            finished.for_each(|step| self.add(*admitted, *step));
        }
        for finished in &steps[FINISHED] {
            between().for_each(|step| self.add(step, *finished));
        }
    }
}

/// Order and what contradicted it.
#[derive(Debug, Default)]
pub(crate) struct SortedOrder {
    /// Indexes of the events.
    pub(crate) indexes: Vec<usize>,
    /// Cycles that were broken.
    pub(crate) faults: Vec<TimelineFault>,
}

const ADMITTED: usize = 0;
const QUEUED: usize = 1;
const DISPATCHED: usize = 2;
const FIRST_TOKEN: usize = 3;
const FINISHED: usize = 4;
const RANKS: usize = 5;

fn request_rank(kind: EventKind) -> Option<usize> {
    match kind {
        EventKind::RequestAdmitted => Some(ADMITTED),
        EventKind::RequestQueued => Some(QUEUED),
        EventKind::RequestDispatched => Some(DISPATCHED),
        EventKind::FirstToken => Some(FIRST_TOKEN),
        EventKind::RequestFinished => Some(FINISHED),
        _ => None,
    }
}
