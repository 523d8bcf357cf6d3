use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::BackendEntry;
use crate::StoreOutage;

/// Number of answered calls that are remembered. A host makes a few calls a second at most while it follows the store
/// itself, so they cover the time until the coordinator's next failed call is relayed.
const ANSWERED_CALLS: usize = 8;

/// Time for which removed servers are remembered. A copy from which the store returns is some seconds old.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(60);

/// The backend servers that exist, according to the store.
///
/// During an outage of the store, entries of running servers may expire; they are written again shortly after it. An
/// entry that disappears then is kept until `return_time` after the outage. At other times it is removed at once.
///
/// The store may also reject some hosts and serve the others. Servers' entries don't expire then, so an outage that only
/// the coordinator had keeps no entry here.
///
/// When the store returns from a copy, what servers said last still holds, and entries that the copy lacks are kept like those
/// that disappear around an outage.
#[derive(Debug)]
pub struct BackendRoster {
    /// Time within which running servers write their entries again after an outage.
    return_time: Duration,
    records: BTreeMap<Name, RosterRecord>,
    /// Revision at which an entry was removed, to ignore an older write of it that arrives late.
    removed: BTreeMap<Name, Revision>,
    /// Last entries of servers removed lately, and when.
    departed: BTreeMap<Name, (Arc<BackendEntry>, MonotonicTime)>,
    /// Those that were removed before the store returned from a copy, which may still list them.
    departed_before: BTreeMap<Name, Arc<BackendEntry>>,
    /// When the first listing after the store's return from a copy was applied.
    era_began_at: Option<MonotonicTime>,
    /// Outage that this host's own calls had.
    outage: Option<StoreOutage>,
    /// Outage that the coordinator relayed.
    relayed_outage: Option<StoreOutage>,
    /// When this host's last answered calls were sent and answered, the newest last.
    answered: VecDeque<(MonotonicTime, MonotonicTime)>,
}

#[derive(Debug)]
struct RosterRecord {
    entry: Arc<BackendEntry>,
    revision: Revision,
    /// When the entry disappeared from the store; `None` while it is listed.
    missing_since: Option<MonotonicTime>,
    /// True while the store lists an older entry than this one, since it returned from a copy.
    is_ahead: bool,
}

impl BackendRoster {
    /// Creates an empty roster. `return_time` is the time within which running servers write expired entries again.
    pub fn new(return_time: Duration) -> Self {
        Self {
            return_time,
            records: BTreeMap::new(),
            removed: BTreeMap::new(),
            departed: BTreeMap::new(),
            departed_before: BTreeMap::new(),
            era_began_at: None,
            outage: None,
            relayed_outage: None,
            answered: VecDeque::new(),
        }
    }

    /// Records that a reading call of this host, sent at `sent`, failed at `now`.
    pub fn record_failure(&mut self, sent: MonotonicTime, now: MonotonicTime) {
        match self.current_outage() {
            Some(outage) => {
                outage.last_sent = sent;
                outage.until = now;
            }
            None => {
                self.outage = Some(StoreOutage {
                    since: now,
                    last_sent: sent,
                    until: now,
                });
            }
        }
    }

    /// Records that a renewal of the coordinator's lease, sent at `sent`, failed. Renewals are sent more often than reading
    /// calls, so they show sooner that an outage goes on; alone they show none.
    pub fn record_failed_renewal(&mut self, sent: MonotonicTime) {
        if let Some(outage) = self.current_outage() {
            outage.last_sent = outage.last_sent.max(sent);
        }
    }

    /// This host's own outage, unless a call was answered since.
    fn current_outage(&mut self) -> Option<&mut StoreOutage> {
        let answered_at = self.answered.back().map(|(_, answered_at)| *answered_at);
        let outage = self.outage.as_mut();
        outage.filter(|outage| answered_at.is_none_or(|at| at < outage.since))
    }

    /// Records that a call of this host, sent at `sent`, was answered at `now`.
    pub fn record_answer(&mut self, sent: MonotonicTime, now: MonotonicTime) {
        if self.answered.len() == ANSWERED_CALLS {
            self.answered.pop_front();
        }
        self.answered.push_back((sent, now));
    }

    /// Replaces the outage that the coordinator relayed; `None` if its calls are answered.
    pub fn set_relayed_outage(&mut self, outage: Option<StoreOutage>) {
        self.relayed_outage = outage;
    }

    /// Records that a reading requested at `sent` shows the end of the coordinator's lease. If the coordinator had an outage,
    /// its renewals failed until then.
    pub fn record_lease_end(&mut self, sent: MonotonicTime) {
        if let Some(outage) = &mut self.relayed_outage {
            outage.last_sent = outage.last_sent.max(sent);
        }
    }

    /// This host's own outage, until running servers have had time to write their entries again.
    pub fn own_outage(&self, now: MonotonicTime) -> Option<StoreOutage> {
        self.outage
            .filter(|outage| now.since(outage.until) < self.return_time)
    }

    /// When the store was last unusable for servers, as far as this host can tell.
    fn outage_at(&self) -> Option<MonotonicTime> {
        let mut answered = self.answered.iter();
        let relayed = self.relayed_outage.filter(|outage| {
            !answered.any(|(sent, answered_at)| outage.includes(*sent, *answered_at))
        });
        let outages = [self.outage, relayed].into_iter().flatten();
        let outages = outages.map(|outage| outage.until);
        outages.chain(self.era_began_at).max()
    }

    /// Prepares for the first listing of the store after it returned from a copy. Revisions start anew, and entries that the
    /// copy lacks stay for the time within which running servers write them again.
    pub fn start_era(&mut self, now: MonotonicTime) {
        self.era_began_at = Some(now);
        self.removed.clear();
        let departed = std::mem::take(&mut self.departed).into_iter();
        self.departed_before
            .extend(departed.map(|(id, (entry, _))| (id, entry)));
        for record in self.records.values_mut() {
            record.revision = 0;
        }
    }

    /// The entry of a server, listed or missing.
    pub fn find(&self, id: &str) -> Option<&BackendEntry> {
        self.records.get(id).map(|record| &*record.entry)
    }

    /// The entry of a server as the store lists it now; `None` if the store lacks it, or lists an older one since it returned
    /// from a copy. Before the first return, missing entries count as listed.
    pub fn find_listed(&self, id: &str) -> Option<&BackendEntry> {
        let record = self.records.get(id);
        let listed = record.filter(|record| {
            let is_listed = record.missing_since.is_none() || self.era_began_at.is_none();
            is_listed && !record.is_ahead
        });
        listed.map(|record| &*record.entry)
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
        let departed = self.departed_before.get(&entry.id);
        if departed.is_some_and(|departed| !departed.is_older_than(&entry)) {
            return;
        }
        if let Some(record) = self.records.get_mut(&entry.id) {
            if revision < record.revision {
                return;
            }
            record.revision = revision;
            record.missing_since = None;
            let is_older = entry.is_older_than(&record.entry);
            record.is_ahead = is_older && self.era_began_at.is_some();
            if !is_older {
                record.entry = Arc::new(entry);
            }
            return;
        }
        self.removed.remove(&entry.id);
        self.departed_before.remove(&entry.id);
        let record = RosterRecord {
            entry: Arc::new(entry),
            revision,
            missing_since: None,
            is_ahead: false,
        };
        self.records.insert(record.entry.id.clone(), record);
    }

    /// Applies the removal of an entry. Also call it for an entry that became unreadable, because it names no usable
    /// server.
    pub fn remove(&mut self, id: &str, revision: Revision, now: MonotonicTime) {
        let outage_at = self.outage_at();
        let keeps = outage_at.is_some_and(|at| now.since(at) < self.return_time);
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
            let entry = record.entry.clone();
            self.records.remove(&entry.id);
            self.removed.insert(entry.id.clone(), revision);
            self.departed.insert(entry.id.clone(), (entry, now));
            self.departed
                .retain(|_, (_, at)| now.since(*at) < DEPARTURE_MEMORY);
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

    /// Removes missing entries once running servers have had time to write them again, or if no outage explains their
    /// absence any more.
    pub fn expire(&mut self, now: MonotonicTime) {
        let outage_at = self.outage_at();
        let Self {
            return_time,
            records,
            removed,
            departed,
            ..
        } = self;
        records.retain(|id, record| {
            let Some(missing_since) = record.missing_since else {
                return true;
            };
            let stays = outage_at.is_some_and(|at| {
                missing_since.since(at) < *return_time
                    && now.since(at.max(missing_since)) < *return_time
            });
            if !stays {
                removed.insert(id.clone(), record.revision);
                departed.insert(id.clone(), (record.entry.clone(), now));
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
