use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use zinniahinge_types::GrantId;
use zinniahinge_types::MonotonicTime;

/// Describes a grant, or the tombstone that stops its id from being granted again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantEntry {
    /// Sequence number of the grant in its bucket.
    pub(crate) sequence: u64,
    /// Tokens charged.
    pub(crate) tokens: u64,
    /// Tokens left in the bucket when the grant was issued; a repeat is answered with the same value.
    pub(crate) remaining: u64,
    /// True after a refund: the entry is a tombstone.
    pub(crate) settled: bool,
    /// Time at which the entry is removed.
    pub(crate) expires_at: MonotonicTime,
}

/// Keeps grants for refunds and repeats, bounded in time (`ttl`) and number (`capacity`).
///
/// When full, it removes the entry that expires first. Removal never breaks the rate bound: a late refund is ignored
/// and a repeated charge is counted again.
#[derive(Clone, Debug)]
pub(crate) struct GrantLog {
    entries: HashMap<GrantId, GrantEntry>,
    /// Entries by expiry, earliest first. An entry whose expiry moved leaves a stale pair behind.
    expiries: VecDeque<(MonotonicTime, GrantId)>,
    ttl: Duration,
    capacity: usize,
    /// Sum of `tokens` over entries that are not settled.
    unsettled_tokens: u64,
}

impl GrantLog {
    /// Creates an empty log; a capacity of 0 counts as 1.
    pub(crate) fn new(ttl: Duration, capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            expiries: VecDeque::new(),
            ttl,
            capacity: capacity.max(1),
            unsettled_tokens: 0,
        }
    }

    pub(crate) fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Returns the number of grants and tombstones.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the tokens charged by grants that may still be refunded.
    pub(crate) fn unsettled_tokens(&self) -> u64 {
        self.unsettled_tokens
    }

    pub(crate) fn get(&self, grant_id: GrantId) -> Option<&GrantEntry> {
        self.entries.get(&grant_id)
    }

    /// Yields entries in the order of their expiry, without stale pairs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (GrantId, &GrantEntry)> + '_ {
        self.expiries.iter().filter_map(|(expires_at, grant_id)| {
            let entry = self.entries.get(grant_id)?;
            (entry.expires_at == *expires_at).then_some((*grant_id, entry))
        })
    }

    /// Adds an entry, which must expire no earlier than all entries before it.
    pub(crate) fn insert(&mut self, grant_id: GrantId, entry: GrantEntry) {
        if !entry.settled {
            self.unsettled_tokens += entry.tokens;
        }
        self.expiries.push_back((entry.expires_at, grant_id));
        self.entries.insert(grant_id, entry);
    }

    /// Turns a grant into a tombstone that is kept for at least `ttl` from `now`.
    ///
    /// Returns the grant as it was before, or `None` if it is unknown or already settled.
    pub(crate) fn settle(&mut self, grant_id: GrantId, now: MonotonicTime) -> Option<GrantEntry> {
        let entry = self.entries.get_mut(&grant_id)?;
        if entry.settled {
            return None;
        }
        let before = *entry;
        self.unsettled_tokens -= entry.tokens;
        entry.settled = true;
        if now + self.ttl > entry.expires_at {
            entry.expires_at = now + self.ttl;
            self.expiries.push_back((entry.expires_at, grant_id));
        }
        Some(before)
    }

    /// Returns the sequence numbers of grants that may still be refunded, ascending.
    pub(crate) fn refundable(&self) -> Vec<u64> {
        let unsettled = self.entries.values().filter(|entry| !entry.settled);
        let mut sequences: Vec<u64> = unsettled.map(|entry| entry.sequence).collect();
        sequences.sort_unstable();
        sequences
    }

    /// Removes expired entries, and those that expire first while the log is over its capacity.
    pub(crate) fn evict(&mut self, now: MonotonicTime) {
        while let Some(&(expires_at, grant_id)) = self.expiries.front() {
            if expires_at > now && self.entries.len() <= self.capacity {
                break;
            }
            self.expiries.pop_front();
            let is_current = |entry: &GrantEntry| entry.expires_at == expires_at;
            if !self.entries.get(&grant_id).is_some_and(is_current) {
                continue;
            }
            if let Some(entry) = self.entries.remove(&grant_id)
                && !entry.settled
            {
                self.unsettled_tokens -= entry.tokens;
            }
        }
    }
}
