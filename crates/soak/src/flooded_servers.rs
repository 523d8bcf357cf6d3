use std::time::Duration;
use std::time::Instant;

use crate::SoakRecords;
use crate::promise_check::CONTACT_TIME;

/// Requests a second that a cold server takes, and the time for which servers are cold after a start; from the run's
/// configuration.
pub(crate) const COLD_PER_S: f64 = 6.5;
pub(crate) const COLD_S: f64 = 3.0;

/// Factor and further requests by which arrivals in a second may exceed that; from the hosts' settings.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// Time after a server became cold from which its requests are judged: a change of the store is known to all hosts by then.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Span over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Time during which a server was cold.
#[derive(Clone, Debug)]
pub struct ColdSpan {
    /// Backend server.
    pub server: String,
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
}

/// Servers that got more requests in a second than they bear while they are cold, in words. A disturbance around the window
/// excuses it: hosts may not know of the cold time, or a link held requests back.
pub(crate) fn flooded_servers(records: &SoakRecords) -> Vec<String> {
    let allowed = COLD_PER_S * EXCESS_FACTOR + EXCESS_REQUESTS;
    let spans = records.cold.iter();
    let broken = spans.filter_map(|span| {
        let judged = span.from + NOTICE_TIME..span.until;
        let arrivals = records.requests.iter().filter(|seen| {
            let is_own = seen.expected_server() == Some(&seen.server);
            is_own && seen.server == span.server && judged.contains(&seen.at)
        });
        let mut arrivals: Vec<Instant> = arrivals.map(|seen| seen.at).collect();
        arrivals.sort_unstable();
        arrivals.iter().enumerate().find_map(|(first, start)| {
            let until = *start + WINDOW;
            let in_window = arrivals[first..].iter().take_while(|at| **at < until);
            let count = in_window.count();
            let mut disturbances = records.disturbances.iter();
            let is_disturbed =
                disturbances.any(|one| one.from < until && one.until + CONTACT_TIME > span.from);
            (count as f64 > allowed && !is_disturbed).then(|| {
                format!(
                    "{count} requests reached {} in {WINDOW:?}, {:?} after it became cold",
                    span.server,
                    start.duration_since(span.from)
                )
            })
        })
    });
    broken.collect()
}
