//! Idempotency records kept for other owners while the key-value service is out.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use zinniahinge_authority::MemberTable;
use zinniahinge_limits::IdempotencyKey;
use zinniahinge_limits::IdempotencyRecord;
use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::HostState;
use zinniahinge_types::Incarnation;
use zinniahinge_types::KeepCopyRequest;
use zinniahinge_types::RecordBytes;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;

/// Bytes kept at most. A full store refuses copies, and the owner then refuses new keys, because forgetting one could
/// repeat a request.
const MAX_BYTES: usize = 32 * 1024 * 1024;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CopyKey {
    host: HostId,
    shard: ShardId,
    key: IdempotencyKey,
}

#[derive(Default)]
struct CopyBook {
    records: BTreeMap<CopyKey, Vec<u8>>,
    bytes: usize,
    watched: BTreeMap<HostId, WatchedRun>,
}

/// Run of another host that this one watches.
struct WatchedRun {
    incarnation: Incarnation,
    /// Revision of its record when it was first seen to name this host as guardian.
    first_seen: Revision,
}

/// Copies by owner, shard and key; a later copy of a key replaces the earlier one.
#[derive(Default)]
pub struct CopyStore {
    book: Mutex<CopyBook>,
}

impl CopyStore {
    /// Keeps a record. Returns false if it is not understood or does not fit.
    pub fn keep(&self, request: KeepCopyRequest) -> bool {
        let KeepCopyRequest {
            host,
            incarnation: _,
            shard,
            record,
        } = request;
        let Ok(parsed) = rmp_serde::from_slice::<IdempotencyRecord>(&record) else {
            return false;
        };
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let key = CopyKey {
            host,
            shard,
            key: parsed.key,
        };
        let held = book.records.get(&key).map_or(0, Vec::len);
        let bytes = book.bytes - held + record.len();
        if bytes > MAX_BYTES {
            return false;
        }
        book.bytes = bytes;
        book.records.insert(key, record);
        true
    }

    /// Notes the hosts whose records name `own` as their guardian.
    pub fn watch(&self, own: &str, members: &MemberTable) {
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        for (host, entry) in members.iter() {
            let HostRecord {
                incarnation,
                guardian,
                state,
                ..
            } = &entry.record;
            let is_mine = guardian.as_deref() == Some(own) && *state != HostState::Dead;
            let is_known = book
                .watched
                .get(host)
                .is_some_and(|run| run.incarnation == *incarnation);
            if is_mine && !is_known {
                let run = WatchedRun {
                    incarnation: *incarnation,
                    first_seen: entry.revision,
                };
                book.watched.insert(host.clone(), run);
            }
        }
    }

    /// True if no copy of `host` can have been lost with an earlier run of this process, which joined at `joined_at`.
    /// A record written before that named the earlier run.
    pub fn is_complete(&self, host: &str, joined_at: Option<Revision>) -> bool {
        let book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let watched = book.watched.get(host);
        watched
            .zip(joined_at)
            .is_some_and(|(run, joined_at)| run.first_seen > joined_at)
    }

    /// Records kept for `shard` of `host`.
    pub fn records(&self, host: &str, shard: ShardId) -> Vec<RecordBytes> {
        let book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let records = book.records.iter();
        let records = records.filter(|(key, _)| &*key.host == host && key.shard == shard);
        records
            .map(|(_, record)| RecordBytes(record.clone()))
            .collect()
    }
}
