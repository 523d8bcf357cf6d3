use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use zinniahinge_platform_standins::CallerAnswer;
use zinniahinge_platform_standins::SeenOrder;
use zinniahinge_platform_standins::SeenRequest;
use zinniahinge_platform_standins::WorkSpan;

use crate::CallerRecord;
use crate::ColdSpan;
use crate::call_index::CallIndex;
use crate::exceeded_limits::exceeded_limits;
use crate::flooded_servers::flooded_servers;
use crate::ignored_requests::ignored_requests;
use crate::late_sends::late_sends;
use crate::overlapping_runs::overlapping_runs;

/// A withdrawn key runs nothing after this time, on any host; from the hosts' settings.
const REVOKE_DEADLINE: Duration = Duration::from_secs(5);

/// Orders of two hosts lie this far apart; from the hosts' settings.
const ORDER_TURN: Duration = Duration::from_secs(3);

/// A host is judged by time bounds again when its last disturbance is this long over; from the platform's rules.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Memory of an engine, megabytes; from the stand-ins' configuration.
const ENGINE_MB: f64 = 130.0;

/// Events of each stream of the stand-ins.
const STREAM_EVENTS: u64 = 6;

/// Time during which a host was paused, down, or cut off from the store, or a backend server from the hosts.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Host, or backend server.
    pub host: String,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
}

/// Everything that callers and backend servers saw in a run.
#[derive(Clone, Debug, Default)]
pub struct SoakRecords {
    /// Requests of callers.
    pub calls: Vec<CallerRecord>,
    /// Requests that arrived at backend servers.
    pub requests: Vec<SeenRequest>,
    /// Orders by engine.
    pub orders: Vec<Vec<SeenOrder>>,
    /// What each backend server worked on.
    pub work: Vec<Vec<WorkSpan>>,
    /// Most memory that each engine used, megabytes.
    pub peaks_mb: Vec<f64>,
    /// The key that is turned, with when it was withdrawn (false) or given again (true).
    pub turned_key: &'static str,
    /// Turns in order.
    pub key_turns: Vec<(Instant, bool)>,
    /// When servers were cold.
    pub cold: Vec<ColdSpan>,
    /// Servers that started again under their id, with when.
    pub restarts: Vec<(String, Instant)>,
    /// What was done to hosts.
    pub disturbances: Vec<Disturbance>,
    /// Servers in the second data centre.
    pub second_place: Vec<String>,
    /// Start and end of each evacuation of the second data centre.
    pub evacuations: Vec<(Instant, Instant)>,
}

/// Every promise that the records show to be broken, in words.
pub fn broken_promises(records: &SoakRecords) -> Vec<String> {
    let index = CallIndex::new(&records.calls);
    // By id and time of the call: a caller may send a refused request once more under its id.
    let mut runs: HashMap<(&str, Instant), usize> = HashMap::new();
    for seen in records.requests.iter().filter(|seen| seen.ran) {
        if let Some(call) = index.call_of(seen) {
            *runs.entry((&call.id, call.sent_at)).or_default() += 1;
        }
    }
    let mut broken = Vec::new();
    for calls in index.by_id() {
        let runs_of = |call: &CallerRecord| {
            let runs = runs.get(&(&*call.id, call.sent_at));
            runs.copied().unwrap_or_default()
        };
        let (id, kind) = (&calls[0].id, calls[0].kind);
        let all_runs: usize = calls.iter().map(|call| runs_of(call)).sum();
        if kind.runs_once() && all_runs > 1 {
            broken.push(format!("request {id} ({kind:?}) ran {all_runs} times"));
        }
        for call in calls {
            check_call(call, runs_of(call), &mut broken);
            if call.key == records.turned_key && runs_of(call) > 0 {
                check_key(call, &records.key_turns, &mut broken);
            }
        }
    }
    for seen in &records.requests {
        let forged = seen.forged_headers();
        if !forged.is_empty() {
            broken.push(format!(
                "request {} arrived with forged {forged:?}",
                seen.id
            ));
        }
        if seen.ran && seen.account() != Some("acme") {
            broken.push(format!("request {} ran for {:?}", seen.id, seen.account()));
        }
    }
    broken.extend(ignored_requests(records));
    broken.extend(exceeded_limits(records));
    broken.extend(flooded_servers(records));
    broken.extend(overlapping_runs(records));
    broken.extend(late_sends(records));
    for (engine, orders) in records.orders.iter().enumerate() {
        check_orders(engine, orders, &records.disturbances, &mut broken);
    }
    for (engine, peak) in records.peaks_mb.iter().enumerate() {
        if *peak > ENGINE_MB {
            broken.push(format!("engine {engine} was ordered to hold {peak} MB"));
        }
    }
    broken
}

fn check_call(call: &CallerRecord, runs: usize, broken: &mut Vec<String>) {
    let CallerRecord {
        id, kind, answer, ..
    } = call;
    let Some(answer) = answer else {
        return;
    };
    if answer.promises_not_run() && runs > 0 && kind.runs_once() {
        let status = answer.status;
        broken.push(format!("request {id} was answered {status:?} and ran"));
    }
    let is_success = answer
        .status
        .is_some_and(|status| (200..300).contains(&status));
    if is_success && let Some(fault) = answer_fault(call, answer) {
        broken.push(format!("request {id} ({kind:?}): {fault}"));
    }
}

/// What is wrong with a success. A stream that is cut is no whole answer, and may not look like one.
fn answer_fault(call: &CallerRecord, answer: &CallerAnswer) -> Option<String> {
    let seal = format!("seal-{}", call.id);
    let signature = answer.signature.as_deref();
    if !signature.is_some_and(|signature| signature.starts_with(&seal)) {
        return Some(format!("success with the signature {signature:?}"));
    }
    let body = answer.body.as_deref()?;
    let expected = if call.kind.is_stream() {
        let events =
            (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n"));
        events.collect()
    } else {
        format!("answer to {}", call.id)
    };
    (body != expected).then(|| format!("success with the body {body:?}"))
}

fn check_key(call: &CallerRecord, turns: &[(Instant, bool)], broken: &mut Vec<String>) {
    let before = turns.iter().rev().find(|(at, _)| *at <= call.sent_at);
    if let Some((at, false)) = before {
        let late = call.sent_at.duration_since(*at);
        if late > REVOKE_DEADLINE {
            broken.push(format!(
                "request {} ran, sent {late:?} after its key was withdrawn",
                call.id
            ));
        }
    }
}

fn check_orders(
    engine: usize,
    orders: &[SeenOrder],
    disturbances: &[Disturbance],
    broken: &mut Vec<String>,
) {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let accepted = |order: &&SeenOrder| order.status < 300;
    for order in orders {
        let holder = holders.entry(order.fence).or_insert(&order.holder);
        if *holder != order.holder {
            broken.push(format!(
                "engine {engine}: {holder} and {} gave orders under fence {}",
                order.holder, order.fence
            ));
        }
    }
    let taken: Vec<&SeenOrder> = orders.iter().filter(accepted).collect();
    for pair in taken.windows(2) {
        let [former, next] = pair else { continue };
        if next.fence < former.fence {
            broken.push(format!(
                "engine {engine}: fence {} after {}",
                next.fence, former.fence
            ));
        }
        let gap = next.at.duration_since(former.at);
        let is_judged = [former, next].into_iter().all(|order| {
            let own = disturbances.iter().filter(|one| one.host == order.holder);
            let mut own = own.filter(|one| one.from <= order.at);
            own.all(|one| one.until + CONTACT_TIME < order.at)
        });
        if former.holder != next.holder && gap < ORDER_TURN && is_judged {
            broken.push(format!(
                "engine {engine}: orders of {} and {} {gap:?} apart",
                former.holder, next.holder
            ));
        }
    }
}
