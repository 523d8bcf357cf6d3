use std::collections::BTreeMap;

/// Tracks the tokens missing from a full bucket, split by the grant that took them.
///
/// The bound "in every window, admitted tokens are at most rate × time + burst" is equivalent to a bucket level of
/// `min over window starts s of (burst + rate × (now − s) − admitted since s)`. Each entry is the difference between
/// that value at two neighbouring starts; a start that can no longer be the minimum has no entry. Two rules follow:
///
/// - Time repays the newest entry first.
/// - A refund repays the entry of its own grant, then older entries, never newer ones. Anything left after the oldest
///   entry is lost: without the charge, the bucket would have been full and these tokens would have overflowed.
///
/// The result equals recomputing the whole history with the smaller charge. Adding refunds to the level instead would
/// break the bound: with burst 100 and rate 1/s, charge A of 100 at 0 s, charge B of 50 at 50 s, a full refund of A and
/// charge C of 100 would admit 150 tokens (B and C) at one instant.
#[derive(Clone, Debug, Default)]
pub(crate) struct DebtStack {
    /// Missing micro-tokens by sequence number of the grant, oldest first. No entry is zero.
    entries: BTreeMap<u64, u64>,
    /// Sum of `entries` in micro-tokens.
    total: u64,
}

impl DebtStack {
    /// Returns the micro-tokens missing from a full bucket.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the number of entries, which compaction bounds.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Yields entries as (sequence, micro-tokens), oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.entries.iter().map(|(seq, debt)| (*seq, *debt))
    }

    /// Adds `debt` micro-tokens to the entry of the grant `sequence`.
    pub(crate) fn push(&mut self, sequence: u64, debt: u64) {
        if debt == 0 {
            return;
        }
        *self.entries.entry(sequence).or_default() += debt;
        self.total = self.total.saturating_add(debt);
    }

    /// Repays up to `credit` micro-tokens, newest entry first; any rest is lost.
    pub(crate) fn repay_newest(&mut self, mut credit: u64) {
        while credit > 0 {
            let Some(mut entry) = self.entries.last_entry() else {
                return;
            };
            let paid = credit.min(*entry.get());
            *entry.get_mut() -= paid;
            if *entry.get() == 0 {
                entry.remove();
            }
            self.total -= paid;
            credit -= paid;
        }
    }

    /// Repays up to `credit` micro-tokens of the entry `sequence`, then of older ones; any rest is lost.
    pub(crate) fn repay_from(&mut self, sequence: u64, mut credit: u64) {
        while credit > 0 {
            let Some((&key, debt)) = self.entries.range_mut(..=sequence).next_back() else {
                return;
            };
            let paid = credit.min(*debt);
            *debt -= paid;
            if *debt == 0 {
                self.entries.remove(&key);
            }
            self.total -= paid;
            credit -= paid;
        }
    }

    /// Merges neighbouring entries that no refund can tell apart, to bound memory.
    ///
    /// `refundable` holds the sequence numbers of grants that may still be refunded, ascending. Two neighbours can be
    /// told apart only by a refund of the older one's grant or of a grant between them.
    pub(crate) fn compact(&mut self, refundable: &[u64]) {
        let entries = std::mem::take(&mut self.entries);
        let mut last: Option<(usize, u64)> = None;
        for (key, mut debt) in entries {
            let group = refundable.partition_point(|sequence| *sequence < key);
            if let Some((last_group, last_key)) = last
                && last_group == group
            {
                debt += self.entries.remove(&last_key).unwrap_or(0);
            }
            self.entries.insert(key, debt);
            last = Some((group, key));
        }
    }
}
