use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::BackendEntry;

/// Which backend servers exist, as the store lists them.
///
/// During an outage of the store entries may lapse although their servers live, and come back shortly after it. An
/// entry that vanishes then is kept for `return_time` after the outage; at other times it goes at once.
#[derive(Debug)]
pub struct BackendRoster {
    return_time: Duration,
    records: BTreeMap<Name, RosterRecord>,
    /// Revision at which an entry vanished; an older write of it that arrives late changes nothing.
    removed: BTreeMap<Name, Revision>,
    disturbed_at: Option<MonotonicTime>,
}

#[derive(Debug)]
struct RosterRecord {
    entry: Arc<BackendEntry>,
    revision: Revision,
    missing_since: Option<MonotonicTime>,
}

impl BackendRoster {
    /// An empty roster. `return_time` is the time within which lapsed entries of living servers come back.
    pub fn new(return_time: Duration) -> Self {
        Self {
            return_time,
            records: BTreeMap::new(),
            removed: BTreeMap::new(),
            disturbed_at: None,
        }
    }

    /// Notes that the store could not be used at `now`.
    pub fn note_outage(&mut self, now: MonotonicTime) {
        self.disturbed_at = self.disturbed_at.max(Some(now));
    }

    /// Time since the store last could not be used; `None` if entries that lapsed then would be back by now.
    pub fn outage_age(&self, now: MonotonicTime) -> Option<Duration> {
        let age = now.since(self.disturbed_at?);
        (age < self.return_time).then_some(age)
    }

    /// The entry of a server, if it is known.
    pub fn find(&self, id: &str) -> Option<&BackendEntry> {
        self.records.get(id).map(|record| &*record.entry)
    }

    /// Takes a written entry in. One that is older than what is known changes nothing.
    pub fn put(&mut self, entry: BackendEntry, revision: Revision) {
        if self
            .removed
            .get(&entry.id)
            .is_some_and(|removed| *removed > revision)
        {
            return;
        }
        if let Some(record) = self.records.get_mut(&entry.id) {
            if revision < record.revision {
                return;
            }
            record.revision = revision;
            record.missing_since = None;
            if !entry.is_older_than(&record.entry) {
                record.entry = Arc::new(entry);
            }
            return;
        }
        self.removed.remove(&entry.id);
        let record = RosterRecord {
            entry: Arc::new(entry),
            revision,
            missing_since: None,
        };
        self.records.insert(record.entry.id.clone(), record);
    }

    /// Takes the removal of an entry in. Also called for an entry that became unreadable: it names no server to use.
    pub fn remove(&mut self, id: &str, revision: Revision, now: MonotonicTime) {
        let keeps = self.outage_age(now).is_some();
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        if revision < record.revision {
            return;
        }
        record.revision = revision;
        if keeps {
            record.missing_since.get_or_insert(now);
        } else {
            let id = record.entry.id.clone();
            self.records.remove(&id);
            self.removed.insert(id, revision);
        }
    }

    /// Takes a whole listing in, read at `revision`: entries that are not in it have vanished.
    pub fn replace(
        &mut self,
        listing: impl IntoIterator<Item = (BackendEntry, Revision)>,
        revision: Revision,
        now: MonotonicTime,
    ) {
        let mut vanished: Vec<Name> = self.records.keys().cloned().collect();
        for (entry, revision) in listing {
            vanished.retain(|id| *id != entry.id);
            self.put(entry, revision);
        }
        for id in vanished {
            self.remove(&id, revision, now);
        }
        // Nothing older than a whole listing can arrive any more.
        self.removed.clear();
    }

    /// Removes entries that stayed away for longer than living servers need to come back.
    pub fn expire(&mut self, now: MonotonicTime) {
        let Self {
            return_time,
            records,
            removed,
            disturbed_at,
        } = self;
        records.retain(|id, record| {
            let Some(missing_since) = record.missing_since else {
                return true;
            };
            let from = disturbed_at.map_or(missing_since, |at| at.max(missing_since));
            let stays = now.since(from) < *return_time;
            if !stays {
                removed.insert(id.clone(), record.revision);
            }
            stays
        });
    }

    /// Entries with whether they are listed now; one that is not may be gone.
    pub fn entries(&self) -> impl Iterator<Item = (&Arc<BackendEntry>, bool)> {
        let records = self.records.values();
        records.map(|record| (&record.entry, record.missing_since.is_none()))
    }

    /// True while an entry waits for its server to come back.
    pub fn has_missing(&self) -> bool {
        let mut records = self.records.values();
        records.any(|record| record.missing_since.is_some())
    }
}
