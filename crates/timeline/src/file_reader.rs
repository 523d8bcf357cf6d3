use std::collections::BTreeMap;

use zinniahinge_types::EventRecord;
use zinniahinge_types::Name;

use crate::ProcessStream;
use crate::TimelineFault;

/// Events read from JSON lines.
#[derive(Clone, Debug, Default)]
pub struct FileRead {
    /// Events in the order of the lines.
    pub records: Vec<EventRecord>,
    /// Lines that are no events.
    pub faults: Vec<TimelineFault>,
}

/// Reads JSON lines, as `/events` serves them. Empty lines are skipped.
pub fn parse_lines(source_name: &str, text: &str) -> FileRead {
    let mut read = FileRead::default();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(line) {
            Ok(record) => read.records.push(record),
            Err(error) => read.faults.push(TimelineFault::BadLine {
                source_name: source_name.to_owned(),
                line: index + 1,
                problem: error.to_string(),
            }),
        }
    }
    read
}

impl FileRead {
    /// One stream per process, without clock offsets.
    pub fn into_streams(self) -> Vec<ProcessStream> {
        let mut processes: BTreeMap<Name, Vec<EventRecord>> = BTreeMap::new();
        for record in self.records {
            processes
                .entry(record.process.clone())
                .or_default()
                .push(record);
        }
        let streams = processes.into_iter();
        streams
            .map(|(process, records)| ProcessStream::new(process, None, records))
            .collect()
    }
}
