use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use zinniahinge_platform_standins::WorkSpan;

use crate::promise_check::SoakRecords;

/// Longest time for which two backend servers may work on one stream; from the platform's rules.
const ALLOWED_OVERLAP: Duration = Duration::from_millis(400);

/// Streams that two backend servers worked on at once, in words. A disturbance excuses nothing: a host that can't tell whether
/// a run is over need not send the request elsewhere.
pub(crate) fn overlapping_runs(records: &SoakRecords) -> Vec<String> {
    let streams = records.calls.iter().filter(|call| call.kind.is_stream());
    let mut runs: HashMap<&str, Vec<(usize, &WorkSpan)>> =
        streams.map(|call| (&*call.id, Vec::new())).collect();
    for (server, spans) in records.work.iter().enumerate() {
        for span in spans {
            if let Some(runs) = runs.get_mut(&*span.id) {
                runs.push((server, span));
            }
        }
    }
    let now = Instant::now();
    let mut broken = Vec::new();
    for (id, runs) in &runs {
        for (index, (server, span)) in runs.iter().enumerate() {
            for (other_server, other) in &runs[index + 1..] {
                let overlap = span.overlap(other, now);
                if server != other_server && overlap > ALLOWED_OVERLAP {
                    broken.push(format!(
                        "request {id} ran at servers {server} and {other_server} for {overlap:?}"
                    ));
                }
            }
        }
    }
    broken
}
