//! Requests that reach an evacuated data centre too late are found, and only those.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use zinniahinge_platform_standins::SeenRequest;
use zinniahinge_soak::CallerRecord;
use zinniahinge_soak::Disturbance;
use zinniahinge_soak::RequestKind;
use zinniahinge_soak::SoakRecords;
use zinniahinge_soak::broken_promises;

struct LateCase {
    name: &'static str,
    server: &'static str,
    /// When the request arrived; the evacuation lasts from 10 s to 30 s.
    arrived_ms: u64,
    /// Host, server or store that was disturbed, from and until these seconds.
    disturbed: Option<(&'static str, u64, u64)>,
    is_found: bool,
}

#[test]
fn late_requests_to_evacuated_servers_are_found() {
    let case = LateCase {
        name: "late",
        server: "app-2",
        arrived_ms: 12_100,
        disturbed: None,
        is_found: true,
    };
    let cases = [
        LateCase {
            name: "in time",
            arrived_ms: 11_900,
            is_found: false,
            ..case
        },
        LateCase {
            name: "taken back",
            arrived_ms: 30_100,
            is_found: false,
            ..case
        },
        LateCase {
            name: "another data centre",
            server: "app-1",
            is_found: false,
            ..case
        },
        LateCase {
            name: "host was paused",
            disturbed: Some(("h1", 9, 11)),
            is_found: false,
            ..case
        },
        LateCase {
            name: "store was away",
            disturbed: Some(("store", 9, 11)),
            is_found: false,
            ..case
        },
        LateCase {
            name: "disturbance is long over",
            disturbed: Some(("h1", 1, 5)),
            ..case
        },
        LateCase {
            name: "another host was paused",
            disturbed: Some(("h2", 9, 11)),
            is_found: false,
            ..case
        },
        LateCase {
            name: "another host was paused, beyond the longest bound",
            disturbed: Some(("h2", 9, 11)),
            arrived_ms: 18_100,
            ..case
        },
        case,
    ];
    let start = Instant::now();
    let at = |time_ms: u64| start + Duration::from_millis(time_ms);
    for case in cases {
        let arrived_at = at(case.arrived_ms);
        let call = CallerRecord {
            id: "r1".to_owned(),
            kind: RequestKind::Repeatable,
            host: "h1".to_owned(),
            key: "key-1",
            sent_at: arrived_at,
            ended_at: arrived_at,
            answer: None,
        };
        let seen = SeenRequest {
            id: "r1".to_owned(),
            target: "POST /app/x".to_owned(),
            headers: BTreeMap::new(),
            body: Vec::new(),
            at: arrived_at,
            ran: false,
            server: case.server.to_owned(),
            said_leaving: false,
            pause: None,
            limit: None,
        };
        let disturbed = case.disturbed.map(|(host, from, until)| Disturbance {
            host: host.to_owned(),
            from: at(from * 1000),
            until: at(until * 1000),
        });
        let records = SoakRecords {
            calls: vec![call],
            requests: vec![seen],
            disturbances: disturbed.into_iter().collect(),
            second_place: vec!["app-2".to_owned()],
            evacuations: vec![(at(10_000), at(30_000))],
            ..SoakRecords::default()
        };
        let broken = broken_promises(&records);
        assert_that!(
            !broken.is_empty(),
            eq(case.is_found),
            "{}: {broken:?}",
            case.name
        );
    }
}
