//! Guards the order of the time line, and that nothing missing or doubtful is hidden.

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_timeline::ClockOffset;
use zinniahinge_timeline::ClockSample;
use zinniahinge_timeline::EventFilter;
use zinniahinge_timeline::MergedTimeline;
use zinniahinge_timeline::ProcessStream;
use zinniahinge_timeline::TimelineFault;
use zinniahinge_timeline::draw_request;
use zinniahinge_timeline::parse_lines;
use zinniahinge_types::EventKind;
use zinniahinge_types::EventKind::FirstToken;
use zinniahinge_types::EventKind::LoadFinished;
use zinniahinge_types::EventKind::RequestAdmitted;
use zinniahinge_types::EventKind::RequestDispatched;
use zinniahinge_types::EventKind::RequestFinished;
use zinniahinge_types::EventKind::RequestQueued;
use zinniahinge_types::EventRecord;
use zinniahinge_types::TraceId;

fn event(process: &str, sequence: u64, at_us: u64, kind: EventKind, trace: u128) -> EventRecord {
    EventRecord {
        sequence,
        at_us,
        process: process.into(),
        kind,
        trace_id: (trace > 0).then_some(TraceId(trace)),
        subject: "model".into(),
        detail: "".into(),
    }
}

/// Events of one process, numbered from 1: (time, kind, trace).
fn stream(process: &str, ahead_us: i64, events: &[(u64, EventKind, u128)]) -> ProcessStream {
    let records = events.iter().zip(1..);
    let records =
        records.map(|((at_us, kind, trace), seq)| event(process, seq, *at_us, *kind, *trace));
    let offset = ClockOffset {
        ahead_us,
        uncertainty_us: 50,
    };
    ProcessStream::new(process.into(), Some(offset), records.collect())
}

struct OrderCase {
    guards: &'static str,
    streams: Vec<ProcessStream>,
    expected: Vec<EventKind>,
    contradictions: usize,
}

#[gtest]
fn events_are_ordered_by_corrected_time_and_causality() {
    let request = [
        RequestAdmitted,
        RequestQueued,
        RequestDispatched,
        FirstToken,
        RequestFinished,
    ];
    let entry = |ahead_us| {
        let steps = [
            (1000, request[0], 1),
            (1400, request[3], 1),
            (1500, request[4], 1),
        ];
        stream("entry", ahead_us, &steps)
    };
    let case = |guards, streams, steps: &[usize], contradictions| OrderCase {
        guards,
        streams,
        expected: steps.iter().map(|step| request[*step]).collect(),
        contradictions,
    };
    let control = |ahead_us, queued_us, dispatched_us| {
        let steps = [(queued_us, request[1], 1), (dispatched_us, request[2], 1)];
        stream("control", ahead_us, &steps)
    };
    // Events of one process, 1 µs apart.
    let single = |trace, steps: &[usize]| {
        let steps = steps
            .iter()
            .zip(1..)
            .map(|(step, at_us)| (at_us, request[*step], trace));
        vec![stream("entry", 0, &steps.collect::<Vec<_>>())]
    };
    let set_back = vec![stream(
        "entry",
        0,
        &[(2000, request[0], 0), (500, request[4], 0)],
    )];
    let in_order = [0, 1, 2, 3, 4];
    let cases = [
        case(
            "raw clocks",
            vec![entry(0), control(9000, 10_100, 10_200)],
            &in_order,
            0,
        ),
        case(
            "queued before admitted",
            vec![entry(0), control(0, 990, 1450)],
            &in_order,
            0,
        ),
        case(
            "a clock set back reordering one process",
            set_back,
            &[0, 4],
            0,
        ),
        case(
            "a retry moved before",
            single(1, &[0, 1, 2, 1, 2, 4]),
            &[0, 1, 2, 1, 2, 4],
            0,
        ),
        case(
            "a shared trace id",
            single(1, &[0, 4, 0, 4]),
            &[0, 4, 0, 4],
            0,
        ),
        case("a hidden contradiction", single(1, &[4, 0]), &[4, 0], 1),
    ];
    for case in cases {
        let timeline = MergedTimeline::merge(case.streams, Vec::new());
        let kinds: Vec<_> = timeline
            .events
            .iter()
            .map(|event| event.record.kind)
            .collect();
        expect_that!(kinds, eq(&case.expected), "guards against: {}", case.guards);
        expect_that!(
            timeline.faults.len(),
            eq(case.contradictions),
            "{}",
            case.guards
        );
        let placed = timeline.events.windows(2);
        let ascending = placed
            .filter(|pair| pair[0].placed_us > pair[1].placed_us)
            .count();
        expect_that!(ascending, eq(0), "{}", case.guards);
    }
}

/// Guards against an offset taken from a delayed answer.
#[gtest]
fn the_offset_comes_from_the_fastest_round_trip() {
    let sample = |round_trip_us, remote_us| ClockSample {
        sent_us: 1_000_000,
        round_trip: Duration::from_micros(round_trip_us),
        remote_us,
    };
    let offset = ClockOffset::estimate(&[sample(90_000, 1_085_000), sample(200, 995_100)]);
    let expected = ClockOffset {
        ahead_us: -5000,
        uncertainty_us: 100,
    };
    expect_that!(offset, some(eq(expected)));
    expect_that!(expected.correct(995_100), eq(1_000_100));
    expect_that!(ClockOffset::estimate(&[]), none());
}

/// Guards against gaps, restarts, bad lines and unknown offsets that are hidden.
#[gtest]
fn missing_and_doubtful_input_is_reported() {
    let lines = [3, 3, 4, 7].map(|sequence| event("a", sequence, 10, LoadFinished, 0));
    let mut text = lines
        .map(|line| serde_json::to_string(&line).unwrap())
        .join("\n");
    text.push_str("\n\n{\"sequence\":");
    let read = parse_lines("saved", &text);
    expect_that!(
        read.faults,
        elements_are![pat!(TimelineFault::BadLine { line: eq(&6), .. })]
    );
    let mut streams = read.into_streams();
    let restarted = event("a", 4, 99, LoadFinished, 0);
    let mut records = streams.remove(0).records;
    records.push(restarted);
    let faults = ProcessStream::new("a".into(), None, records).faults(Some(9));
    let gap = |first, last| TimelineFault::SequenceGap {
        process: "a".into(),
        first,
        last,
    };
    let process = || "a".into();
    let reused = TimelineFault::SequenceReused {
        process: process(),
        sequence: 4,
    };
    let unknown = TimelineFault::OffsetUnknown { process: process() };
    expect_that!(
        faults,
        eq(&vec![gap(1, 2), reused, gap(5, 6), gap(8, 9), unknown])
    );
}

/// Guards against a filter that hides what it should show, and against a chart without proportion.
#[gtest]
fn filters_and_chart_show_one_request() {
    let steps = [
        (0, RequestAdmitted, 1),
        (25_000, RequestAdmitted, 2),
        (50_000, FirstToken, 1),
        (100_000, RequestFinished, 1),
    ];
    let timeline = MergedTimeline::merge(vec![stream("entry", 0, &steps)], Vec::new());
    let shown = |filter: EventFilter| filter.apply(&timeline).len();
    let all = EventFilter::default;
    let since = Some(Duration::from_millis(50));
    expect_that!(shown(EventFilter { since, ..all() }), eq(2));
    let subject = Some("mode".to_owned());
    expect_that!(shown(EventFilter { subject, ..all() }), eq(0));
    let trace_id = Some(TraceId(1));
    let filter = EventFilter { trace_id, ..all() };
    let chart = draw_request(&filter.apply(&timeline), 10);
    let lines: Vec<_> = chart.lines().collect();
    expect_that!(lines[0], ends_with("50.000 ms  ....."));
    expect_that!(lines[1], ends_with("50.000 ms       #####"));
    expect_that!(lines[2], ends_with("          |"));
    let chart = draw_request(&filter.apply(&timeline)[..2], 10);
    expect_that!(chart, contains_substring("not recorded"));
}
