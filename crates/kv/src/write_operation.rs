use bytes::Bytes;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::KvEntry;

/// Most operations in one batch; the service's default limit for a transaction.
pub const MAX_BATCH_OPERATIONS: usize = 128;

/// One operation of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteOperation {
    /// Key; at most one operation of a batch may change it.
    pub key: Name,
    /// Revision that the record must have, 0 for absent; `None` changes it unconditionally.
    pub expected: Option<Revision>,
    /// What to do.
    pub action: WriteAction,
}

/// What an operation does to its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAction {
    /// Writes this value.
    Put(Bytes),
    /// Removes the record.
    Delete,
    /// Only checks the expected revision.
    Check,
}

impl WriteOperation {
    /// Writes `value` unconditionally.
    pub fn put(key: impl Into<Name>, value: impl Into<Bytes>) -> Self {
        Self {
            key: key.into(),
            expected: None,
            action: WriteAction::Put(value.into()),
        }
    }

    /// Removes the record unconditionally.
    pub fn delete(key: impl Into<Name>) -> Self {
        Self {
            key: key.into(),
            expected: None,
            action: WriteAction::Delete,
        }
    }

    /// Changes nothing, for use with [`WriteOperation::with_expected`].
    pub fn check(key: impl Into<Name>) -> Self {
        Self {
            key: key.into(),
            expected: None,
            action: WriteAction::Check,
        }
    }

    /// Applies the whole batch only if the record has revision `expected`, 0 for absent.
    pub fn with_expected(mut self, expected: Revision) -> Self {
        self.expected = Some(expected);
        self
    }
}

/// Result of a compare-and-swap that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written.
    Swapped {
        /// New revision of the record.
        revision: Revision,
    },
    /// The record had another revision; nothing was written.
    Conflict {
        /// The record as it is.
        current: Option<KvEntry>,
    },
}

/// Result of a batch that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// All operations took effect.
    Swapped {
        /// New revision of every record written.
        revision: Revision,
    },
    /// At least one record had another revision; nothing was written.
    Conflict {
        /// Records of the operations with an expected revision that exist, in their order.
        current: Vec<KvEntry>,
    },
}
