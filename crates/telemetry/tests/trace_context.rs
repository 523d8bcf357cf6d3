//! Checks that malformed `traceparent` headers are refused; accepting one could join unrelated requests in one trace.

use googletest::prelude::*;
use zinniahinge_telemetry::TraceContext;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const PARENT: &str = "00f067aa0ba902b7";
const GOOD: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
const ZEROS: &str = "00000000000000000000000000000000";

/// Describes a valid header in which one part is replaced.
struct HeaderCase {
    guards: &'static str,
    part: &'static str,
    replacement: &'static str,
    valid: bool,
}

#[gtest]
fn headers_are_accepted_or_refused() {
    let case = |guards, part, replacement, valid| HeaderCase {
        guards,
        part,
        replacement,
        valid,
    };
    let cases = [
        case("a good header refused", "", "", true),
        case("an empty header", GOOD, "", false),
        case("a truncated header", GOOD, &GOOD[..54], false),
        case("the version ff", "00-4", "ff-4", false),
        case("a zero trace id", TRACE, ZEROS, false),
        case("a zero parent id", PARENT, &ZEROS[..16], false),
        case("uppercase digits", "4bf92f", "4BF92F", false),
        case("a sign inside a number", "4bf92f", "+bf92f", false),
        case("more fields in version 00", "-01", "-01-x", false),
        case("a longer last field", "-01", "-012", false),
        case(
            "later versions refused",
            GOOD,
            "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
            true,
        ),
        case("a cut inside a character", "-01", "-0é", false),
    ];
    for case in cases {
        let header = GOOD.replacen(case.part, case.replacement, 1);
        let parsed = TraceContext::parse(&header);
        expect_that!(
            parsed.is_some(),
            eq(case.valid),
            "guards against: {}",
            case.guards
        );
    }
}

/// A trace must continue through a process: the trace id is kept, and only the parent id changes.
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
