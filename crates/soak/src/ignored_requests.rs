use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use zinniahinge_platform_standins::SeenRequest;

use crate::CallerRecord;
use crate::call_index::CallIndex;
use crate::promise_check::SoakRecords;

/// Requests that callers send later than this after an answer said that the server leaves don't reach it; from the hosts'
/// settings.
const DRAIN_DEADLINE: Duration = Duration::from_secs(2);

/// Time after the answer that asked for a pause from which requests count; from the platform's rules.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// Requests of one host that may reach a server during its pause; from the platform's rules.
const ALLOWED_IN_PAUSE: usize = 2;

/// Requests that hosts sent to servers which had asked them not to, in words. A disturbance of the host or of the server's
/// link excuses it: the host may have forgotten, or never got the answer. What a server asks holds until it starts again.
pub(crate) fn ignored_requests(records: &SoakRecords) -> Vec<String> {
    let index = CallIndex::new(&records.calls);
    let mut arrivals: BTreeMap<(&str, &str), Vec<(&SeenRequest, &CallerRecord)>> = BTreeMap::new();
    for seen in &records.requests {
        if let Some(call) = index.call_of(seen) {
            let pair = (&*call.host, &*seen.server);
            arrivals.entry(pair).or_default().push((seen, call));
        }
    }
    let mut broken = Vec::new();
    for ((host, server), mut arrivals) in arrivals {
        arrivals.sort_by_key(|(seen, _)| seen.at);
        let is_calm = |from: Instant, until: Instant| {
            let mut disturbances = records.disturbances.iter();
            !disturbances.any(|one| {
                (one.host == host || one.host == server) && one.from <= until && one.until >= from
            })
        };
        let is_same_run = |from: Instant, until: Instant| {
            let mut restarts = records.restarts.iter();
            !restarts.any(|(restarted, at)| *restarted == server && (from..=until).contains(at))
        };
        check_leaving(&arrivals, &is_calm, &is_same_run, &mut broken);
        check_pauses(&arrivals, &is_calm, &is_same_run, &mut broken);
    }
    broken
}

fn check_leaving(
    arrivals: &[(&SeenRequest, &CallerRecord)],
    is_calm: &impl Fn(Instant, Instant) -> bool,
    is_same_run: &impl Fn(Instant, Instant) -> bool,
    broken: &mut Vec<String>,
) {
    // Only an answer that reached its caller was surely passed on.
    let mut told = arrivals.iter().filter(|(seen, call)| {
        let answer = call.answer.as_ref();
        let is_passed_on = answer.is_some_and(|answer| answer.status == Some(200));
        seen.said_leaving && seen.ran && is_passed_on
    });
    let Some((told, call)) = told.next() else {
        return;
    };
    let Some(answered_by) = call
        .answer
        .as_ref()
        .and_then(|answer| answer.signature.as_deref())
    else {
        return;
    };
    // A stream's signature names the server; a plain request that ran at one server only was answered by that one.
    let is_stream = call.kind.is_stream();
    if is_stream && !answered_by.ends_with(&told.server) {
        return;
    }
    let late = arrivals.iter().filter(|(seen, call)| {
        call.sent_at > told.at + DRAIN_DEADLINE
            && is_calm(told.at, seen.at)
            && is_same_run(told.at, seen.at)
    });
    for (seen, call) in late {
        broken.push(format!(
            "request {} of {} reached {} {:?} after an answer said that it leaves",
            seen.id,
            call.host,
            seen.server,
            seen.at.duration_since(told.at)
        ));
    }
}

fn check_pauses(
    arrivals: &[(&SeenRequest, &CallerRecord)],
    is_calm: &impl Fn(Instant, Instant) -> bool,
    is_same_run: &impl Fn(Instant, Instant) -> bool,
    broken: &mut Vec<String>,
) {
    for (asked, call) in arrivals {
        let Some(pause) = asked.pause else { continue };
        let (from, until) = (asked.at + PAUSE_GRACE, asked.at + pause);
        if !is_calm(asked.at, until) {
            continue;
        }
        let during = arrivals
            .iter()
            .filter(|(seen, _)| seen.at > from && seen.at < until)
            .filter(|(seen, _)| is_same_run(asked.at, seen.at))
            .count();
        if during > ALLOWED_IN_PAUSE {
            broken.push(format!(
                "{during} requests of {} reached {} in a pause of {pause:?}",
                call.host, asked.server
            ));
        }
    }
}
