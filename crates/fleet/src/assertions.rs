use std::collections::BTreeMap;

use crate::Fleet;
use crate::LoadRecord;
use crate::fleet_error::Result;

/// Requests that were not served, in words.
pub fn unserved(records: &[LoadRecord]) -> Vec<String> {
    let records = records.iter().filter(|record| !record.is_success());
    records.map(LoadRecord::summary).collect()
}

/// How often each booking ran at `service-1`, by body.
pub async fn booking_runs(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let report = fleet.read_json("service-1", "/runs").await?;
    let runs = report["runs"].as_object().into_iter().flatten();
    let runs = runs.map(|(body, count)| (body.clone(), count.as_u64().unwrap_or(u64::MAX)));
    Ok(runs.collect())
}

/// Bookings that ran more than once, or were served and did not run.
pub async fn not_run_once(
    fleet: &Fleet,
    records: &[LoadRecord],
    prefix: &str,
) -> Result<Vec<String>> {
    let runs = booking_runs(fleet).await?;
    let mut faults: Vec<String> = runs
        .iter()
        .filter(|(_, count)| **count != 1)
        .map(|(body, count)| format!("{body} ran {count} times"))
        .collect();
    let served = records.iter().filter(|record| record.is_success());
    let bookings = served.filter(|record| record.id.starts_with(prefix));
    for record in bookings.filter(|record| !runs.contains_key(&record.id)) {
        faults.push(format!("{} was answered and did not run", record.id));
    }
    Ok(faults)
}
