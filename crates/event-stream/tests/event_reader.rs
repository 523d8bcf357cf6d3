//! Streams of events in any chunks: what is passed on, and after which event another server can go on.

use googletest::prelude::*;
use proptest::prelude::*;
use zinniahinge_event_stream::EventReader;
use zinniahinge_event_stream::ReaderError;

/// Reads `text` in chunks that end at `cuts`; returns the bytes that were passed on and the number of events.
fn read(reader: &mut EventReader, text: &[u8], cuts: &[usize]) -> (Vec<u8>, u64) {
    let (mut passed, mut events, mut start) = (Vec::new(), 0, 0);
    for end in cuts.iter().copied().chain([text.len()]) {
        let batch = reader.push(&text[start..end]).expect("readable");
        passed.extend_from_slice(&batch.bytes);
        events += batch.events;
        start = end;
    }
    (passed, events)
}

struct StreamCase {
    name: &'static str,
    text: &'static str,
    /// Length of the start of `text` that is passed on.
    complete: usize,
    events: u64,
    resume_point: Option<&'static str>,
}

const CASES: [StreamCase; 17] = [
    StreamCase {
        name: "two events with LF",
        text: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        complete: 30,
        events: 2,
        resume_point: Some("2"),
    },
    StreamCase {
        name: "two events with CR LF",
        text: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
        complete: 36,
        events: 2,
        resume_point: Some("2"),
    },
    StreamCase {
        name: "two events with CR",
        text: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
        complete: 30,
        events: 2,
        resume_point: Some("2"),
    },
    StreamCase {
        name: "mixed line ends",
        text: "id: 1\ndata: a\r\n\nid: 2\rdata: b\n\r\n",
        complete: 32,
        events: 2,
        resume_point: Some("2"),
    },
    StreamCase {
        name: "an event that is not complete is held back",
        text: "id: 1\ndata: a\n\nid: 2\ndata: b\n",
        complete: 15,
        events: 1,
        resume_point: Some("1"),
    },
    StreamCase {
        name: "a comment behind the last event",
        text: "id: 1\ndata: a\n\n: keep-alive\n\n",
        complete: 29,
        events: 1,
        resume_point: Some("1"),
    },
    StreamCase {
        name: "a comment without a blank line",
        text: "id: 1\ndata: a\n\n: keep-alive\n",
        complete: 28,
        events: 1,
        resume_point: Some("1"),
    },
    StreamCase {
        name: "a comment within an event",
        text: "id: 1\n: keep-alive\ndata: a\n\n",
        complete: 28,
        events: 1,
        resume_point: Some("1"),
    },
    StreamCase {
        name: "the id behind the data, without a space",
        text: "data: a\nid:1\n\n",
        complete: 14,
        events: 1,
        resume_point: Some("1"),
    },
    StreamCase {
        name: "an id within data is data",
        text: "id: 1\ndata: a\ndata: id: 7\n\n",
        complete: 27,
        events: 1,
        resume_point: Some("1"),
    },
    StreamCase {
        name: "an event without id",
        text: "id: 1\ndata: a\n\ndata: b\n\n",
        complete: 24,
        events: 2,
        resume_point: None,
    },
    StreamCase {
        name: "an event with id after one without",
        text: "id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n",
        complete: 39,
        events: 3,
        resume_point: Some("2"),
    },
    StreamCase {
        name: "an id that goes back",
        text: "id: 10\ndata: a\n\nid: 9\ndata: b\n\n",
        complete: 31,
        events: 2,
        resume_point: None,
    },
    StreamCase {
        name: "an id that repeats",
        text: "id: a-1\ndata: a\n\nid: a-1\ndata: b\n\n",
        complete: 34,
        events: 2,
        resume_point: None,
    },
    StreamCase {
        name: "an id with a control character",
        text: "id: 1\0\ndata: a\n\n",
        complete: 16,
        events: 1,
        resume_point: None,
    },
    StreamCase {
        name: "fields without data",
        text: "id: 1\ndata: a\n\nevent: ping\nretry: 100\n\n",
        complete: 39,
        events: 1,
        resume_point: Some("1"),
    },
    StreamCase {
        name: "a byte order mark",
        text: "\u{feff}id: 1\ndata: a\n\n",
        complete: 18,
        events: 1,
        resume_point: Some("1"),
    },
];

/// Guards against pieces that come twice or get lost because the end or the id of an event was not found in some chunks.
#[gtest]
fn events_are_found_in_any_chunks() {
    for case in &CASES {
        let text = case.text.as_bytes();
        let all = 0..=text.len();
        let pairs = all
            .clone()
            .flat_map(|first| (first..=text.len()).map(move |second| (first, second)));
        for (first, second) in pairs {
            let mut reader = EventReader::default();
            let (passed, events) = read(&mut reader, text, &[first, second]);
            let message = format!("{}, cut at {first} and {second}", case.name);
            expect_that!(&passed[..], eq(&text[..case.complete]), "{message}");
            expect_that!(events, eq(case.events), "{message}");
            expect_that!(reader.resume_point(), eq(case.resume_point), "{message}");
            let is_whole = case.complete == text.len();
            expect_that!(reader.is_between_events(), eq(is_whole), "{message}");
        }
    }
}

struct ResumeCase {
    name: &'static str,
    /// What the next server sends after event 9.
    text: &'static str,
    /// What is passed on, or the id of the event that does not follow.
    outcome: std::result::Result<&'static str, &'static str>,
}

const RESUME_CASES: [ResumeCase; 6] = [
    ResumeCase {
        name: "goes on",
        text: "id: 10\ndata: k\n\n",
        outcome: Ok("id: 10\ndata: k\n\n"),
    },
    ResumeCase {
        name: "goes on after a comment and a byte order mark",
        text: "\u{feff}: hello\n\nid: 10\ndata: k\n\n",
        outcome: Ok(": hello\n\nid: 10\ndata: k\n\n"),
    },
    ResumeCase {
        name: "starts again",
        text: "id: 1\ndata: a\n\n",
        outcome: Err("1"),
    },
    ResumeCase {
        name: "repeats the last event",
        text: "id: 9\ndata: i\n\n",
        outcome: Err("9"),
    },
    ResumeCase {
        name: "repeats the last event with another spelling",
        text: "id: 09\ndata: i\n\n",
        outcome: Err("09"),
    },
    ResumeCase {
        name: "begins without an id",
        text: "event: error\ndata: failed\n\n",
        outcome: Err(""),
    },
];

/// Guards against an error, or a new run from the start, that is joined to a stream that has begun.
#[gtest]
fn a_resumed_stream_goes_on_after_the_last_event() {
    for case in &RESUME_CASES {
        let mut first = EventReader::default();
        read(&mut first, b"id: 9\r\ndata: i\r\n\r\n", &[]);
        let mut next = first.resumed().expect("a resume point");
        let read = next.push(case.text.as_bytes());
        match case.outcome {
            Ok(text) => {
                let bytes = read.map(|batch| batch.bytes);
                expect_that!(bytes, ok(eq(text.as_bytes())), "{}", case.name);
                expect_that!(next.resume_point(), some(eq("10")), "{}", case.name);
            }
            Err(found) => {
                let error = ReaderError::NotResumed {
                    after: "9".to_owned(),
                    found: found.to_owned(),
                };
                expect_that!(read, err(eq(&error)), "{}", case.name);
            }
        }
    }
}

/// Guards against memory that grows with a server that never completes an event.
#[gtest]
fn an_event_without_end_is_given_up() {
    let mut reader = EventReader::default();
    let chunk = [b'x'; 64 * 1024];
    let mut pushed = 0;
    while reader.push(&chunk).is_ok() {
        pushed += chunk.len();
        assert_that!(pushed, le(1024 * 1024));
    }
}

/// An event's lines, without line ends.
fn event_lines() -> impl Strategy<Value = Vec<String>> {
    let line = prop_oneof![
        Just("data: x".to_owned()),
        Just("data".to_owned()),
        Just(": comment".to_owned()),
        Just("event: y".to_owned()),
        "[a-z]{0,3}:? ?[a-z]{0,3}".prop_filter("neither a blank line nor an id", |line| {
            !line.is_empty() && !line.starts_with("id")
        }),
    ];
    proptest::collection::vec(line, 0..4)
}

fn line_end() -> impl Strategy<Value = &'static str> {
    prop_oneof![Just("\n"), Just("\r\n"), Just("\r")]
}

proptest! {
    /// Guards against bytes that are changed, or held back after an event is complete, with any lines, line ends and cuts.
    #[test]
    fn whole_streams_pass_unchanged(
        events in proptest::collection::vec((event_lines(), line_end()), 1..8),
        cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..12),
    ) {
        let mut text = String::new();
        for (number, (lines, end)) in events.iter().enumerate() {
            let id = format!("id: {}", number + 1);
            for line in [&id, "data: piece"].into_iter().chain(lines.iter().map(String::as_str)) {
                // A CR before a LF is one line end, so all line ends of an event are alike.
                text.push_str(line);
                text.push_str(end);
            }
            text.push_str(end);
        }
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        cuts.sort_unstable();
        let mut reader = EventReader::default();
        let (passed, count) = read(&mut reader, text.as_bytes(), &cuts);
        prop_assert_eq!(passed, text.as_bytes());
        prop_assert_eq!(count, events.len() as u64);
        let last = events.len().to_string();
        prop_assert_eq!(reader.resume_point(), Some(last.as_str()));
        prop_assert!(reader.is_between_events());
    }

    /// Guards against a panic on bytes that are no events, and against bytes that get lost.
    #[test]
    fn any_bytes_pass_in_order(chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..20), 0..20)) {
        let mut reader = EventReader::default();
        let mut passed = Vec::new();
        for chunk in &chunks {
            passed.extend_from_slice(&reader.push(chunk).expect("readable").bytes);
        }
        prop_assert!(chunks.concat().starts_with(&passed));
    }
}
