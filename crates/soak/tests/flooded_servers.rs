//! Which cold servers are found to get too many requests.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::EXPECTED_SERVER_HEADER;
use zinniahinge_platform_standins::SeenRequest;
use zinniahinge_soak::ColdSpan;
use zinniahinge_soak::Disturbance;
use zinniahinge_soak::SoakRecords;
use zinniahinge_soak::broken_promises;

fn request(at: Instant, expected: &str) -> SeenRequest {
    let headers = [(EXPECTED_SERVER_HEADER, expected), ("x-tenant", "acme")];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
    SeenRequest {
        id: format!("{at:?}"),
        target: "GET /app/x".to_owned(),
        headers: BTreeMap::from(headers),
        body: Vec::new(),
        at,
        ran: true,
        server: "app-1".to_owned(),
        said_leaving: false,
        pause: None,
        limit: None,
    }
}

struct FloodCase {
    name: &'static str,
    /// When requests arrive, milliseconds after the server became cold, and how many, evenly.
    arrivals: (Range<u64>, u64),
    expected: &'static str,
    /// When a host was disturbed, milliseconds.
    disturbed: Option<Range<u64>>,
    broken: bool,
}

/// Guards against a check that finds nothing, and against one that blames hosts for what they can't know.
#[test]
fn floods_of_cold_servers_are_found() {
    let case = |name, span, count, broken| FloodCase {
        name,
        arrivals: (span, count),
        expected: "app-1",
        disturbed: None,
        broken,
    };
    let cases = [
        case("as many as allowed", 1100..2000, 14, false),
        case("one more", 1100..2000, 15, true),
        case("before hosts know", 0..900, 50, false),
        case("when it is over", 3000..3900, 50, false),
        case("spread", 1100..2900, 25, false),
        FloodCase {
            expected: "app-2",
            ..case("for another server", 1100..2000, 50, false)
        },
        FloodCase {
            disturbed: Some(500..900),
            ..case("a host was paused", 1100..2000, 50, false)
        },
    ];
    let start = Instant::now() + Duration::from_secs(100);
    let at = |millis| start + Duration::from_millis(millis);
    for case in cases {
        let (span, count) = case.arrivals;
        let step = (span.end - span.start) / count;
        let requests =
            (0..count).map(|number| request(at(span.start + number * step), case.expected));
        let disturbances = case.disturbed.map(|span| Disturbance {
            host: "h1".to_owned(),
            from: at(span.start),
            until: at(span.end),
        });
        let records = SoakRecords {
            requests: requests.collect(),
            cold: vec![ColdSpan {
                server: "app-1".to_owned(),
                from: start,
                until: at(3000),
            }],
            disturbances: disturbances.into_iter().collect(),
            ..SoakRecords::default()
        };
        let found = broken_promises(&records);
        let is_found = found.iter().any(|text| text.contains("became cold"));
        assert_that!(is_found, eq(case.broken), "{}: {found:?}", case.name);
    }
}
