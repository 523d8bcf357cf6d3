use std::time::Duration;
use std::time::Instant;

use zinniahinge_platform_standins::SeenRequest;

use crate::call_index::CallIndex;
use crate::promise_check::CONTACT_TIME;
use crate::promise_check::Disturbance;
use crate::promise_check::SoakRecords;

/// Time after which the servers of an evacuated data centre must get nothing; from the hosts' settings.
const EVACUATION_DEADLINE: Duration = Duration::from_secs(2);

/// Addition to the deadline while other hosts are disturbed; from the platform's rules.
const MAX_STRETCH: Duration = Duration::from_secs(6);

/// Name of the store in disturbances.
pub(crate) const STORE: &str = "store";

/// Requests that reached an evacuated data centre too late, in words. A disturbance of the store or of the server's link
/// excuses all hosts, one of a host excuses this host and stretches the deadline of the others.
pub(crate) fn late_sends(records: &SoakRecords) -> Vec<String> {
    let index = CallIndex::new(&records.calls);
    let requests = records.requests.iter();
    let there = requests.filter(|seen| records.second_place.contains(&seen.server));
    let late = there.filter_map(|seen| {
        let evacuated = records.evacuations.iter();
        let (from, _) = evacuated
            .filter(|(from, until)| (*from..*until).contains(&seen.at))
            .min()?;
        let host = &index.call_of(seen)?.host;
        let delay = seen.at.duration_since(*from);
        (delay > deadline(records, seen, host, *from)?).then(|| {
            format!(
                "request {} of {host} reached {} {delay:?} after its data centre was evacuated",
                seen.id, seen.server
            )
        })
    });
    late.collect()
}

/// Deadline for an arrival under the evacuation since `from`; `None` if none holds.
fn deadline(
    records: &SoakRecords,
    seen: &SeenRequest,
    host: &str,
    from: Instant,
) -> Option<Duration> {
    let overlaps = |one: &&Disturbance| one.from <= seen.at && one.until + CONTACT_TIME >= from;
    let mut deadline = EVACUATION_DEADLINE;
    for disturbance in records.disturbances.iter().filter(overlaps) {
        if [host, &*seen.server, STORE].contains(&&*disturbance.host) {
            return None;
        }
        deadline = EVACUATION_DEADLINE + MAX_STRETCH;
    }
    Some(deadline)
}
