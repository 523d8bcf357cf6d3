use std::collections::VecDeque;

use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::Revision;

/// Changes that are kept at most; a host that is further behind reads the store itself.
const MAX_CHANGES: usize = 2_000;

/// Bytes of values that are kept at most.
const MAX_BYTES: usize = 512 * 1024;

/// The newest changes of the store that a host knows, without gaps, so that it can pass them on to others.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// All needed changes after this revision are kept.
    complete_after: Revision,
    /// Every change up to this revision is known.
    revision: Revision,
    changes: VecDeque<RelayedChange>,
    bytes: usize,
}

impl ChangeLog {
    /// Starts anew after a listing at `revision`, which may have missed changes before it.
    pub fn restart(&mut self, revision: Revision) {
        *self = Self {
            complete_after: revision,
            revision,
            ..Self::default()
        };
    }

    /// Revision up to which every change is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Adds a change. Changes come in the order of their revisions.
    pub fn push(&mut self, change: RelayedChange) {
        self.bytes += value_bytes(&change);
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= value_bytes(&dropped);
            self.complete_after = self.complete_after.max(dropped.revision);
        }
    }

    /// Notes that every change up to `revision` was taken in.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// The kept changes after `revision`; `None` if some may be missing, or this log is behind it.
    pub fn since(&self, revision: Revision) -> Option<impl Iterator<Item = &RelayedChange>> {
        let is_complete = self.complete_after <= revision && revision <= self.revision;
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
