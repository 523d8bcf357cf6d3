use bytes::Bytes;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::KvEntry;

/// Limits the operations of one batch to the service's default limit for a transaction.
pub const MAX_BATCH_OPERATIONS: usize = 128;

/// Operation of a batch, which is applied only together with the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteOperation {
    /// Key of the record. At most one operation of a batch may change it.
    pub key: Name,
    /// Revision that the record must have, 0 if it must not exist; `None` applies the operation
    /// unconditionally.
    pub expected: Option<Revision>,
    /// What the operation does to its record.
    pub action: WriteAction,
}

/// Effect of an operation on its record.
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
    /// Creates an operation that writes `value` unconditionally.
    pub fn put(key: impl Into<Name>, value: impl Into<Bytes>) -> Self {
        Self {
            key: key.into(),
            expected: None,
            action: WriteAction::Put(value.into()),
        }
    }

    /// Creates an operation that removes the record unconditionally.
    pub fn delete(key: impl Into<Name>) -> Self {
        Self {
            key: key.into(),
            expected: None,
            action: WriteAction::Delete,
        }
    }

    /// Creates an operation that changes nothing, for use with [`WriteOperation::with_expected`].
    pub fn check(key: impl Into<Name>) -> Self {
        Self {
            key: key.into(),
            expected: None,
            action: WriteAction::Check,
        }
    }

    /// Lets the whole batch apply only if the record has revision `expected`; 0 means that it must
    /// not exist.
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
        /// Current record; `None` if it does not exist.
        current: Option<KvEntry>,
    },
}

/// Result of a batch that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// All operations took effect.
    Swapped {
        /// New revision of every record that was written.
        revision: Revision,
    },
    /// At least one record had another revision; nothing was written.
    Conflict {
        /// Existing records of the operations with an expected revision, in the order of
        /// operations.
        current: Vec<KvEntry>,
    },
}
