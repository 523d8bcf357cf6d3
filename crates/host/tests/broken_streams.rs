//! Streams whose backend server breaks off, in every form that `text/event-stream` allows.

mod common;

use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_platform_standins::BackendFault;
use zinniahinge_platform_standins::Caller;
use zinniahinge_platform_standins::EventFormat;
use zinniahinge_platform_standins::ResumeAnswer;

use crate::common::Outcome;
use crate::common::TestBed;
use crate::common::model_request;

/// Events of a whole stream.
const EVENTS: u64 = 6;

/// Time for which the host avoids a server that broke off.
const AVOID_TIME: Duration = Duration::from_millis(1600);

struct FormatCase {
    name: &'static str,
    format: EventFormat,
    /// True if the stream can't go on at another server, and has to break off at the caller, too.
    is_cut: bool,
}

fn format_cases() -> Vec<FormatCase> {
    let base = EventFormat::default();
    let case = |name, format| FormatCase {
        name,
        format,
        is_cut: false,
    };
    let with = |line_end, events_a_chunk, comment| EventFormat {
        line_end,
        events_a_chunk,
        comment,
        ..base
    };
    vec![
        case("crlf-3", with("\r\n", 3, "")),
        case("crlf-1", with("\r\n", 1, "")),
        case("cr-3", with("\r", 3, "")),
        case("lf-3", with("\n", 3, "")),
        case("lf-comment", with("\n", 1, ": keep-alive\n\n")),
        case("crlf-comment", with("\r\n", 3, ": keep-alive\r\n\r\n")),
        FormatCase {
            name: "no-id",
            format: EventFormat {
                without_id: 3,
                ..base
            },
            is_cut: true,
        },
    ]
}

/// Guards against a piece that comes twice because the id of the last event was not found in a chunk of several events.
#[tokio::test]
async fn a_resumed_stream_has_each_event_once_in_every_format() -> Outcome {
    let bed = TestBed::start().await?;
    let mut failures = Vec::new();
    for case in format_cases() {
        for engine in &bed.engines {
            engine.set_event_format(case.format);
            engine.set_fault(BackendFault::BreakNewStream);
        }
        let request = model_request(case.name, "/resume/stream/x", "m1");
        let answer = bed.ask(&request).await?;
        let numbers = answer.body.as_deref().map(event_numbers);
        let expected = (!case.is_cut).then(|| (1..=EVENTS).collect::<Vec<u64>>());
        let (runs, expected_runs) = (bed.runs(case.name), if case.is_cut { 1 } else { 2 });
        if numbers != expected || runs != expected_runs {
            failures.push(format!("{}: {runs} runs, events {numbers:?}", case.name));
        }
        tokio::time::sleep(AVOID_TIME).await;
    }
    assert_that!(failures, is_empty());
    Ok(())
}

/// Answers of the next server that don't go on with the stream.
const WRONG_ANSWERS: [ResumeAnswer; 7] = [
    ResumeAnswer::ErrorStatus,
    ResumeAnswer::ErrorText,
    ResumeAnswer::ErrorEvent,
    ResumeAnswer::OtherStatus,
    ResumeAnswer::StartsAgain,
    ResumeAnswer::Repeats,
    ResumeAnswer::Empty,
];

/// Guards against an error, or another run, in the middle of a stream whose next server doesn't go on with it, and against
/// such a stream that ends as if it were complete.
#[tokio::test]
async fn nothing_but_the_rest_of_a_stream_is_joined_to_it() -> Outcome {
    let bed = TestBed::start().await?;
    let mut failures = Vec::new();
    for answer in WRONG_ANSWERS {
        for engine in &bed.engines {
            engine.set_fault(BackendFault::BreakNewStream);
            engine.set_event_format(EventFormat {
                resume_answer: answer,
                ..EventFormat::default()
            });
        }
        let id = format!("{answer:?}");
        let mut caller = Caller::connect(bed.host.callers).await?;
        let request = model_request(&id, "/resume/stream/x", "m1");
        caller.send_bytes(&request.to_bytes()).await?;
        let text = caller.read_rest(Duration::from_secs(6)).await;
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let numbers = event_numbers(body);
        let is_whole = body.ends_with("0\r\n\r\n");
        let has_error = body.contains("failed") || body.contains("HTTP/1.1");
        if is_whole || has_error || numbers != [1, 2, 3] {
            failures.push(format!(
                "{id}: whole {is_whole}, events {numbers:?}, {body:?}"
            ));
        }
        tokio::time::sleep(AVOID_TIME).await;
    }
    assert_that!(failures, is_empty());
    Ok(())
}

/// Numbers of the events in a body, in order.
fn event_numbers(body: &str) -> Vec<u64> {
    let pieces = body.split("data: event ").skip(1);
    let digits = pieces.map(|piece| piece.split(['\r', '\n']).next().unwrap_or_default());
    digits.filter_map(|digits| digits.parse().ok()).collect()
}
