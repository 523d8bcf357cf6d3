use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::ModelUse;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Time after the last request from which a model or adapter no longer counts as asked for.
const ASKED_TIME: Duration = Duration::from_secs(60);

/// Time from the first request on in which a model or adapter doesn't count as unserved: most loads from a copy end
/// within it.
const MIN_AGE: Duration = Duration::from_secs(2);

/// Models and adapters that were asked for, by any host, and not served since.
#[derive(Debug, Default)]
pub struct UnservedModels {
    records: HashMap<ModelKey, UnservedRecord>,
}

/// Service, model and adapter.
type ModelKey = (Name, Name, Option<Name>);

#[derive(Debug)]
struct UnservedRecord {
    /// First request that nothing was served after.
    since: MonotonicTime,
    asked_at: MonotonicTime,
}

/// Models and adapters without a served request, at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct UnservedSummary {
    /// Number of models and adapters; each adapter counts by itself.
    pub count: usize,
    /// Model asked for longest.
    pub model: Name,
    /// Adapter asked for longest; `None` for requests to the model alone.
    pub adapter: Option<Name>,
    /// Time since the first of its requests.
    pub age: Duration,
}

impl UnservedModels {
    /// Applies one host's requests for a model or adapter since its last report.
    pub fn record(&mut self, used: &ModelUse, now: MonotonicTime) {
        let key = (
            used.service.clone(),
            used.model.clone(),
            used.adapter.clone(),
        );
        if used.served > 0 {
            self.records.remove(&key);
        } else if used.count > 0 {
            let record = self.records.entry(key).or_insert(UnservedRecord {
                since: now,
                asked_at: now,
            });
            record.asked_at = now;
        }
    }

    /// Returns the models and adapters that were asked for in the last minute and not served for 2 s or more; `None` if
    /// there are none.
    pub fn summary(&mut self, now: MonotonicTime) -> Option<UnservedSummary> {
        self.records
            .retain(|_, record| now.since(record.asked_at) < ASKED_TIME);
        let records = self.records.iter();
        let unserved = || {
            records
                .clone()
                .filter(|(_, record)| now.since(record.since) >= MIN_AGE)
        };
        let ((_, model, adapter), oldest) = unserved().min_by_key(|(_, record)| record.since)?;
        Some(UnservedSummary {
            count: unserved().count(),
            model: model.clone(),
            adapter: adapter.clone(),
            age: now.since(oldest.since),
        })
    }
}
