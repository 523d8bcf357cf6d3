use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::BackendEntry;

/// The backend servers that exist, according to the store.
///
/// During an outage of the store, entries of running servers may expire; they are written again shortly after it. An
/// entry that disappears then is kept until `return_time` after the outage. At other times it is removed at once.
#[derive(Debug)]
pub struct BackendRoster {
    /// Time within which running servers write their entries again after an outage.
    return_time: Duration,
    records: BTreeMap<Name, RosterRecord>,
    /// Revision at which an entry was removed, to ignore an older write of it that arrives late.
    removed: BTreeMap<Name, Revision>,
    /// When the store was last unusable.
    outage_at: Option<MonotonicTime>,
}

#[derive(Debug)]
struct RosterRecord {
    entry: Arc<BackendEntry>,
    revision: Revision,
    /// When the entry disappeared from the store; `None` while it is listed.
    missing_since: Option<MonotonicTime>,
}

impl BackendRoster {
    /// Creates an empty roster. `return_time` is the time within which running servers write expired entries again.
    pub fn new(return_time: Duration) -> Self {
        Self {
            return_time,
            records: BTreeMap::new(),
            removed: BTreeMap::new(),
            outage_at: None,
        }
    }

    /// Records that the store was unusable at `now`.
    pub fn record_outage(&mut self, now: MonotonicTime) {
        self.outage_at = self.outage_at.max(Some(now));
    }

    /// Time since the store was last unusable; `None` once running servers have had time to write their entries again.
    pub fn outage_age(&self, now: MonotonicTime) -> Option<Duration> {
        let age = now.since(self.outage_at?);
        (age < self.return_time).then_some(age)
    }

    /// The entry of a server, listed or missing.
    pub fn find(&self, id: &str) -> Option<&BackendEntry> {
        self.records.get(id).map(|record| &*record.entry)
    }

    /// Applies a written entry, unless a newer revision or a later record of the server is known.
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

    /// Applies the removal of an entry. Also call it for an entry that became unreadable, because it names no usable
    /// server.
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

    /// Applies a complete listing read at `revision`. Entries that are not in it count as removed.
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
        // No write older than a complete listing can arrive any more.
        self.removed.clear();
    }

    /// Removes missing entries once running servers have had time to write them again.
    pub fn expire(&mut self, now: MonotonicTime) {
        let Self {
            return_time,
            records,
            removed,
            outage_at,
        } = self;
        records.retain(|id, record| {
            let Some(missing_since) = record.missing_since else {
                return true;
            };
            let from = outage_at.map_or(missing_since, |at| at.max(missing_since));
            let stays = now.since(from) < *return_time;
            if !stays {
                removed.insert(id.clone(), record.revision);
            }
            stays
        });
    }

    /// All entries, each with whether the store lists it now. The server of an unlisted entry may be gone.
    pub fn entries(&self) -> impl Iterator<Item = (&Arc<BackendEntry>, bool)> {
        let records = self.records.values();
        records.map(|record| (&record.entry, record.missing_since.is_none()))
    }

    /// True while an entry is missing but kept.
    pub fn has_missing(&self) -> bool {
        let mut records = self.records.values();
        records.any(|record| record.missing_since.is_some())
    }
}
