//! Checks that the event log loses no event unnoticed and that its memory is bounded.

use std::sync::Arc;
use std::thread;

use googletest::prelude::*;
use zinniahinge_telemetry::EventLog;
use zinniahinge_types::EventKind;
use zinniahinge_types::EventRecord;

fn sequences(log: &EventLog, after: u64, limit: usize) -> Vec<u64> {
    let records = log.read_after(after, limit);
    records.iter().map(|record| record.sequence).collect()
}

/// A reader must see each event once, and must see a gap where events were overwritten before it read them.
#[gtest]
fn a_reader_continues_after_the_last_event_and_sees_gaps() {
    let log = EventLog::new("entry/a".into(), 4);
    for index in 0..10 {
        log.record(EventKind::RequestQueued, None, "model", index.to_string());
    }
    expect_that!(sequences(&log, 0, 100), eq(&vec![7, 8, 9, 10]));
    expect_that!(sequences(&log, 7, 2), eq(&vec![8, 9]));
    expect_that!(sequences(&log, 10, 100), is_empty());
    expect_that!(sequences(&log, 99, 100), is_empty());
    let lines = log.json_lines_after(8, 100);
    let records: Vec<EventRecord> = lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    expect_that!(records.len(), eq(2));
    expect_that!(&*records[1].detail, eq("9"));
}

/// A reader must not lose or repeat events while several threads write.
#[gtest]
fn many_threads_lose_no_event() {
    let log = Arc::new(EventLog::new("entry/a".into(), 10_000));
    let writers: Vec<_> = (0..8)
        .map(|_| {
            let log = log.clone();
            thread::spawn(move || {
                for _ in 0..1000 {
                    log.record(EventKind::FirstToken, None, "model", "");
                }
            })
        })
        .collect();
    let mut seen = Vec::new();
    while seen.len() < 8000 {
        let after = seen.last().copied().unwrap_or(0);
        seen.extend(sequences(&log, after, 100));
    }
    writers
        .into_iter()
        .for_each(|writer| writer.join().unwrap());
    expect_that!(seen, eq(&(1..=8000).collect::<Vec<u64>>()));
}
