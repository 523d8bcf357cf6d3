use zinniahinge_types::EventRecord;
use zinniahinge_types::Name;

use crate::ClockOffset;
use crate::TimelineFault;

/// Events of one run of a process.
#[derive(Clone, Debug)]
pub struct ProcessStream {
    /// Process.
    pub process: Name,
    /// Offset of its clock; `None` if it is unknown, as for saved events.
    pub offset: Option<ClockOffset>,
    /// Events, ascending by sequence, each once.
    pub records: Vec<EventRecord>,
}

impl ProcessStream {
    /// A stream of `records` in any order, repeats removed.
    pub fn new(process: Name, offset: Option<ClockOffset>, mut records: Vec<EventRecord>) -> Self {
        records.sort_by_key(|record| (record.sequence, record.at_us));
        records.dedup_by_key(|record| (record.sequence, record.at_us));
        Self {
            process,
            offset,
            records,
        }
    }

    /// Reports missing numbers, numbers used twice, and an unknown clock offset.
    ///
    /// `last_sequence` is the newest number that the process stated, if it was asked.
    pub fn faults(&self, last_sequence: Option<u64>) -> Vec<TimelineFault> {
        let mut faults = Vec::new();
        let mut expected = 1;
        for record in &self.records {
            self.check_gap(expected, record.sequence, &mut faults);
            if record.sequence + 1 == expected {
                faults.push(TimelineFault::SequenceReused {
                    process: self.process.clone(),
                    sequence: record.sequence,
                });
            }
            expected = record.sequence.saturating_add(1);
        }
        if let Some(last) = last_sequence {
            self.check_gap(expected, last.saturating_add(1), &mut faults);
        }
        if self.offset.is_none() {
            faults.push(TimelineFault::OffsetUnknown {
                process: self.process.clone(),
            });
        }
        faults
    }

    fn check_gap(&self, expected: u64, found: u64, faults: &mut Vec<TimelineFault>) {
        if found > expected {
            faults.push(TimelineFault::SequenceGap {
                process: self.process.clone(),
                first: expected,
                last: found - 1,
            });
        }
    }
}
