use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use zinniahinge_types::EventKind;
use zinniahinge_types::EventRecord;
use zinniahinge_types::Name;
use zinniahinge_types::TraceId;

use crate::wall_clock_us;

/// Keeps the latest events of one process in a ring buffer.
///
/// A writer takes a sequence number from a counter and locks only the slot of that number, so two writers wait for each
/// other only if one of them is a whole buffer behind.
#[derive(Debug)]
pub struct EventLog {
    process: Name,
    last_sequence: AtomicU64,
    slots: Box<[Mutex<Option<EventRecord>>]>,
}

impl EventLog {
    /// Default number of events kept; they take about 1 MB.
    pub const DEFAULT_CAPACITY: usize = 8192;

    /// Creates a log that keeps the latest `capacity` events, at least 1. `process` is, for example, `entry/wien-a-1`.
    pub fn new(process: Name, capacity: usize) -> Self {
        let slots = (0..capacity.max(1)).map(|_| Mutex::new(None));
        Self {
            process,
            last_sequence: AtomicU64::new(0),
            slots: slots.collect(),
        }
    }

    /// Returns the name of the process, which each event carries.
    pub fn process(&self) -> &Name {
        &self.process
    }

    /// Returns the sequence number of the newest event; 0 if there is none.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence.load(Ordering::Acquire)
    }

    /// Records an event at the current wall-clock time, overwriting the oldest one if the buffer is full.
    ///
    /// `detail` must hold no API keys and no parts of request or response bodies.
    pub fn record(
        &self,
        kind: EventKind,
        trace_id: Option<TraceId>,
        subject: impl Into<Name>,
        detail: impl Into<Name>,
    ) {
        let sequence = self.last_sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let record = EventRecord {
            sequence,
            at_us: wall_clock_us(),
            process: self.process.clone(),
            kind,
            trace_id,
            subject: subject.into(),
            detail: detail.into(),
        };
        let mut slot = self.slot(sequence);
        let newer = slot.as_ref().is_some_and(|other| other.sequence > sequence);
        if !newer {
            *slot = Some(record);
        }
    }

    /// Returns at most `limit` events with a sequence number above `after`, oldest first.
    ///
    /// Events that were overwritten are missing, which shows as a gap in the sequence numbers. The list ends before an
    /// event that is still being written, so a reader that continues after the last event misses none.
    pub fn read_after(&self, after: u64, limit: usize) -> Vec<EventRecord> {
        let last = self.last_sequence();
        let oldest = last.saturating_sub(self.slots.len() as u64);
        let mut records = Vec::new();
        for sequence in after.max(oldest) + 1..=last {
            if records.len() >= limit {
                break;
            }
            let slot = self.slot(sequence);
            match slot.as_ref() {
                Some(record) if record.sequence == sequence => records.push(record.clone()),
                Some(record) if record.sequence > sequence => {}
                _ => break,
            }
        }
        records
    }

    /// Returns the events of [`Self::read_after`] as JSON, one object per line.
    pub fn json_lines_after(&self, after: u64, limit: usize) -> String {
        let mut lines = String::new();
        for record in self.read_after(after, limit) {
            // Serializing cannot fail, because an event holds only text and numbers.
            if let Ok(line) = serde_json::to_string(&record) {
                lines.push_str(&line);
                lines.push('\n');
            }
        }
        lines
    }

    fn slot(&self, sequence: u64) -> MutexGuard<'_, Option<EventRecord>> {
        let index = (sequence % self.slots.len() as u64) as usize;
        self.slots[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
