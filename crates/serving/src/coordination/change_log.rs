use std::collections::VecDeque;

use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

/// Largest number of changes kept. A host that is further behind reads the store itself.
const MAX_CHANGES: usize = 2_000;

/// Largest total size of the kept values, bytes.
const MAX_BYTES: usize = 512 * 1024;

/// The newest changes of the store without gaps, which a host passes on to other hosts.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Era of all revisions.
    era: StoreEra,
    /// All changes after this revision that hosts need are kept.
    complete_after: Revision,
    /// Revision up to which every change is known.
    revision: Revision,
    changes: VecDeque<RelayedChange>,
    /// Total size of the kept values.
    bytes: usize,
    /// True while the changes begin with a complete listing.
    has_listing: bool,
}

impl ChangeLog {
    /// Drops all changes after a listing at `position`, before which changes may have been missed.
    pub fn restart(&mut self, position: StorePosition) {
        let StorePosition { era, revision } = position;
        *self = Self {
            era,
            complete_after: revision,
            revision,
            ..Self::default()
        };
    }

    /// Adds the items of the listing of the last [`Self::restart`], for hosts that know nothing of its era and can't read the
    /// store. Call it before changes are added.
    pub fn keep_listing(&mut self, mut items: Vec<RelayedChange>) {
        items.sort_by_key(|item| item.revision);
        self.has_listing = true;
        for item in items {
            self.push(item);
        }
    }

    /// Position up to which every change is known.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.revision,
        }
    }

    /// Adds a change. Call it in the order of revisions. Old changes are dropped if the log becomes too large.
    pub fn push(&mut self, change: RelayedChange) {
        self.bytes += value_bytes(&change);
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= value_bytes(&dropped);
            self.complete_after = self.complete_after.max(dropped.revision);
            self.has_listing = false;
        }
    }

    /// Records that every change up to `revision` of the log's era was added, or is not needed by hosts.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// The changes after `position`; `None` if some of them may be missing, if this log is behind it, or if it is of another
    /// era. After revision 0, a complete listing and the changes since.
    pub fn since(&self, position: StorePosition) -> Option<impl Iterator<Item = &RelayedChange>> {
        let StorePosition { era, revision } = position;
        let is_known = self.complete_after <= revision && revision <= self.revision;
        let is_complete = era == self.era && (is_known || revision == 0 && self.has_listing);
        let start = self
            .changes
            .partition_point(|change| change.revision <= revision);
        is_complete.then(|| self.changes.range(start..))
    }
}

fn value_bytes(change: &RelayedChange) -> usize {
    match &change.value {
        RelayedValue::Written(value) => value.0.len(),
        RelayedValue::Removed | RelayedValue::Omitted => 0,
    }
}
