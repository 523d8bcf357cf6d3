use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::Bound;
use std::time::Duration;
use std::time::Instant;

/// A record of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// Key.
    pub key: Vec<u8>,
    /// Value, empty for a removed record.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub mod_revision: u64,
    /// Revision of the creation, 0 for a removed record.
    pub create_revision: u64,
    /// Writes since the creation, 0 for a removed record.
    pub version: u64,
    /// Lease that the record is bound to, 0 for none.
    pub lease: i64,
}

/// Range of keys: one key, or all from `start` up to `end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// First key.
    pub start: Vec<u8>,
    /// First key beyond the range, a zero byte for no end; empty for `start` alone.
    pub end: Vec<u8>,
}

/// Change inside a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// Writes a record.
    Put {
        /// Key.
        key: Vec<u8>,
        /// Value.
        value: Vec<u8>,
        /// Lease, 0 for none.
        lease: i64,
    },
    /// Removes records.
    Delete(KeyRange),
}

/// Records, history and leases of the key-value service.
#[derive(Debug)]
pub struct KvStore {
    revision: u64,
    compacted: u64,
    records: BTreeMap<Vec<u8>, StoreRecord>,
    history: VecDeque<StoreRecord>,
    history_limit: usize,
    leases: HashMap<i64, StoreLease>,
    next_lease: i64,
}

#[derive(Debug)]
struct StoreLease {
    time_to_live: Duration,
    expires_at: Instant,
}

impl KeyRange {
    /// Whether the range includes `key`.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

impl KvStore {
    /// Empty store that keeps at least the last `history_limit` changes for watches.
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: 1,
            compacted: 0,
            records: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            leases: HashMap::new(),
            next_lease: 1,
        }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Oldest revision that a watch can start from is the next one.
    pub fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Revision of the last change of `key`, 0 if it is absent.
    pub fn mod_revision(&self, key: &[u8]) -> u64 {
        self.records
            .get(key)
            .map_or(0, |record| record.mod_revision)
    }

    /// Records in `range`, in key order.
    pub fn read(&self, range: &KeyRange) -> Vec<StoreRecord> {
        self.records
            .range::<[u8], _>((Bound::Included(range.start.as_slice()), Bound::Unbounded))
            .take_while(|(key, _)| range.contains(key))
            .map(|(_, record)| record.clone())
            .collect()
    }

    /// Changes in `range` from revision `from` on.
    pub fn changes(&self, range: &KeyRange, from: u64) -> Vec<StoreRecord> {
        let first = self.history.partition_point(|r| r.mod_revision < from);
        self.history
            .range(first..)
            .filter(|record| range.contains(&record.key))
            .cloned()
            .collect()
    }

    /// Applies all changes under one new revision, unless they change nothing.
    pub fn apply(&mut self, changes: Vec<StoreChange>) {
        let revision = self.revision + 1;
        let logged = self.history.len();
        for change in changes {
            match change {
                StoreChange::Put { key, value, lease } => self.put(revision, key, value, lease),
                StoreChange::Delete(range) => {
                    for record in self.read(&range) {
                        self.remove(revision, &record.key);
                    }
                }
            }
        }
        if self.history.len() > logged {
            self.revision = revision;
        }
        // Twice the limit, so that the history is trimmed rarely.
        if self.history.len() > 2 * self.history_limit {
            let cut = self.history.len() - self.history_limit;
            self.compact(self.history[cut].mod_revision - 1);
        }
    }

    /// Forgets the history up to `revision`, at most the present one.
    pub fn compact(&mut self, revision: u64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let kept = self
            .history
            .partition_point(|r| r.mod_revision <= self.compacted);
        self.history.drain(..kept);
    }

    /// Creates a lease and returns its id.
    pub fn grant(&mut self, time_to_live: Duration, now: Instant) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let expires_at = now + time_to_live;
        let lease = StoreLease {
            time_to_live,
            expires_at,
        };
        self.leases.insert(id, lease);
        id
    }

    /// Extends a lease and returns its time to live; `None` if it has lapsed.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.time_to_live;
        Some(lease.time_to_live)
    }

    /// Whether the lease exists.
    pub fn has_lease(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Ends a lease and removes its records.
    pub fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let bound = self.records.values().filter(|record| record.lease == id);
        let changes = bound
            .map(|record| {
                StoreChange::Delete(KeyRange {
                    start: record.key.clone(),
                    end: Vec::new(),
                })
            })
            .collect();
        self.apply(changes);
    }

    /// Ends the leases that expired before `now`, or all of them.
    pub fn expire(&mut self, now: Instant, all: bool) {
        let lapsed = self
            .leases
            .iter()
            .filter(|(_, l)| all || l.expires_at <= now);
        let lapsed: Vec<i64> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            self.revoke(id);
        }
    }

    fn put(&mut self, revision: u64, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        let previous = self.records.get(&key);
        let record = StoreRecord {
            key: key.clone(),
            value,
            mod_revision: revision,
            create_revision: previous.map_or(revision, |record| record.create_revision),
            version: previous.map_or(1, |record| record.version + 1),
            lease,
        };
        self.history.push_back(record.clone());
        self.records.insert(key, record);
    }

    fn remove(&mut self, revision: u64, key: &[u8]) {
        self.records.remove(key);
        self.history.push_back(StoreRecord {
            key: key.to_vec(),
            value: Vec::new(),
            mod_revision: revision,
            create_revision: 0,
            version: 0,
            lease: 0,
        });
    }
}
