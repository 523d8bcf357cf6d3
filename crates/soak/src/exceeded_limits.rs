use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use zinniahinge_platform_standins::SeenRequest;

use crate::CallerRecord;
use crate::call_index::CallIndex;
use crate::promise_check::CONTACT_TIME;
use crate::promise_check::SoakRecords;

/// Time after a server first named a limit from which it binds; from the platform's rules.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Span over which arrivals are counted; from the platform's rules.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor by which arrivals in a window may exceed the limit; from the platform's rules.
const EXCESS_FACTOR: f64 = 1.5;

/// Further requests that may arrive in a window; from the platform's rules.
const EXCESS_REQUESTS: f64 = 5.0;

/// Time after a host passed on an answer with the limit from which its requests count; from the platform's rules.
const TOLD_GRACE: Duration = Duration::from_millis(500);

/// Servers that got more requests than their limit allows, in words. A disturbance of a host excuses this host; one of the
/// server's link excuses all, because it holds requests back.
pub(crate) fn exceeded_limits(records: &SoakRecords) -> Vec<String> {
    let index = CallIndex::new(&records.calls);
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut servers: BTreeMap<&str, Vec<&SeenRequest>> = BTreeMap::new();
    for seen in &records.requests {
        *runs.entry(&seen.id).or_default() += usize::from(seen.ran);
        servers.entry(&seen.server).or_default().push(seen);
    }
    let mut broken = Vec::new();
    for mut arrivals in servers.into_values() {
        arrivals.sort_by_key(|seen| seen.at);
        // A limit that is lifted and named again is judged as a new one.
        let spans = arrivals.chunk_by(|one, next| one.limit.is_some() == next.limit.is_some());
        for span in spans.filter(|span| span[0].limit.is_some()) {
            let sent = span.iter().filter_map(|seen| {
                let is_only_run = runs.get(&*seen.id) == Some(&1);
                Some((*seen, index.call_of(seen)?, is_only_run))
            });
            broken.extend(excess(span, &sent.collect::<Vec<_>>(), records));
        }
    }
    broken
}

/// The first window in which more arrived than the limit allows, of the arrivals `span` during which the server named one.
/// `sent` are those of callers, with whether the request ran nowhere else.
fn excess(
    span: &[&SeenRequest],
    sent: &[(&SeenRequest, &CallerRecord, bool)],
    records: &SoakRecords,
) -> Option<String> {
    let mut told: HashMap<&str, Instant> = HashMap::new();
    for (seen, call, is_only_run) in sent {
        if passes_on(seen, call, *is_only_run) {
            let at = told.entry(&call.host).or_insert(call.ended_at);
            *at = call.ended_at.min(*at);
        }
    }
    let bound = sent.iter().filter(|(seen, call, _)| {
        let told = told.get(&*call.host);
        told.is_some_and(|told| *told + TOLD_GRACE <= seen.at)
    });
    let bound: Vec<(&str, Instant)> = bound
        .map(|(seen, call, _)| (&*call.host, seen.at))
        .collect();
    let binds_at = span[0].at + NOTICE_TIME;
    let mut starts = bound.iter().filter(|(_, at)| *at >= binds_at);
    starts.find_map(|(_, start)| {
        let (from, until) = (*start, *start + WINDOW);
        let is_calm = |name: &str| {
            let mut disturbances = records.disturbances.iter();
            !disturbances
                .any(|one| one.host == name && one.from < until && one.until + CONTACT_TIME > from)
        };
        if !is_calm(&span[0].server) {
            return None;
        }
        let counted = bound
            .iter()
            .filter(|(host, at)| *at >= from && *at < until && is_calm(host));
        let count = counted.count();
        // Hosts may not know a lower limit at once: the window before counts, too.
        let near = span
            .iter()
            .filter(|seen| seen.at + WINDOW >= from && seen.at < until);
        let limits = near.filter_map(|seen| seen.limit);
        let limit = limits.fold(0.0, f64::max);
        let allowed = EXCESS_FACTOR * limit * WINDOW.as_secs_f64() + EXCESS_REQUESTS;
        (count as f64 > allowed).then(|| {
            format!(
                "{count} requests reached {} in {WINDOW:?}, from {:?} after it named a limit, of {limit} a second now",
                span[0].server,
                from.duration_since(span[0].at)
            )
        })
    })
}

/// True if the caller surely got the server's answer to this request.
fn passes_on(seen: &SeenRequest, call: &CallerRecord, is_only_run: bool) -> bool {
    let Some(answer) = call.answer.as_ref().filter(|_| seen.ran) else {
        return false;
    };
    // Only a stream's signature names the server.
    let is_own = match &answer.signature {
        Some(signature) if call.kind.is_stream() => signature.ends_with(&seen.server),
        Some(_) => is_only_run,
        None => false,
    };
    answer.status == Some(200) && is_own
}
