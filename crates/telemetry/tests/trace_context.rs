//! Guards the `traceparent` header against malformed values that would join unrelated requests.

use googletest::prelude::*;
use zinniahinge_telemetry::TraceContext;

struct HeaderCase {
    guards: &'static str,
    header: &'static str,
    valid: bool,
}

const GOOD: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[gtest]
fn headers_are_accepted_or_refused() {
    let case = |guards, header, valid| HeaderCase {
        guards,
        header,
        valid,
    };
    let cases = [
        case("a good header refused", GOOD, true),
        case("an empty header", "", false),
        case("a truncated header", &GOOD[..54], false),
        case(
            "the version ff",
            "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
            false,
        ),
        case(
            "a zero trace id",
            "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
            false,
        ),
        case(
            "a zero parent id",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
            false,
        ),
        case(
            "uppercase digits",
            "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
            false,
        ),
        case(
            "a sign inside a number",
            "00-+bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
            false,
        ),
        case(
            "more fields in version 00",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
            false,
        ),
        case(
            "later versions refused",
            "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
            true,
        ),
        case(
            "a cut inside a character",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0é",
            false,
        ),
    ];
    for case in cases {
        let parsed = TraceContext::parse(case.header);
        expect_that!(
            parsed.is_some(),
            eq(case.valid),
            "guards against: {}",
            case.guards
        );
    }
}

/// Guards against a trace that ends at our processes.
#[gtest]
fn the_trace_id_is_kept_and_written_back() {
    let context = TraceContext::from_header(Some(GOOD));
    expect_that!(context.to_string(), eq(GOOD));
    let child = context.child();
    expect_that!(child.trace_id, eq(context.trace_id));
    expect_that!(child.parent_id, not(eq(context.parent_id)));
    let fresh = TraceContext::from_header(Some("bad"));
    expect_that!(TraceContext::parse(&fresh.to_string()), some(eq(fresh)));
}
