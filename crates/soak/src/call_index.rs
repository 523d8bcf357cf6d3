use std::collections::HashMap;

use zinniahinge_platform_standins::SeenRequest;

use crate::CallerRecord;

/// Requests of callers by id, those with the same id in the order in which they were sent.
pub(crate) struct CallIndex<'a> {
    calls: HashMap<&'a str, Vec<&'a CallerRecord>>,
}

impl<'a> CallIndex<'a> {
    pub(crate) fn new(records: &'a [CallerRecord]) -> Self {
        let mut calls: HashMap<&str, Vec<&CallerRecord>> = HashMap::new();
        for call in records {
            calls.entry(&call.id).or_default().push(call);
        }
        for calls in calls.values_mut() {
            calls.sort_by_key(|call| call.sent_at);
        }
        Self { calls }
    }

    /// The request that an arrival belongs to: the last one under its id that had been sent.
    pub(crate) fn call_of(&self, seen: &SeenRequest) -> Option<&'a CallerRecord> {
        let calls = self.calls.get(&*seen.id)?;
        let mut sent = calls.iter().rev().filter(|call| call.sent_at <= seen.at);
        sent.next().or(calls.first()).copied()
    }

    /// The requests under each id.
    pub(crate) fn by_id(&self) -> impl Iterator<Item = &[&'a CallerRecord]> {
        self.calls.values().map(Vec::as_slice)
    }
}
