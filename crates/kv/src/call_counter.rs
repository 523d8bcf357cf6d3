use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Kinds of calls to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// `range`.
    Read,
    /// `txn`.
    Write,
    /// Grant, keep-alive or revocation of a lease.
    Lease,
    /// Start of a watch.
    Watch,
}

/// Counts calls to the key-value service. One call counts once per endpoint it was tried at.
#[derive(Debug, Default)]
pub struct CallCounter {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    not_sent: AtomicU64,
    unknown: AtomicU64,
}

/// Reading of a [`CallCounter`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
    /// Watches started.
    pub watches: u64,
    /// Calls whose connect failed.
    pub not_sent: u64,
    /// Calls that were sent and got no usable answer.
    pub unknown: u64,
}

impl CallCounter {
    /// Current counts.
    pub fn counts(&self) -> CallCounts {
        let Self {
            reads,
            writes,
            leases,
            watches,
            not_sent,
            unknown,
        } = self;
        CallCounts {
            reads: reads.load(Ordering::Relaxed),
            writes: writes.load(Ordering::Relaxed),
            leases: leases.load(Ordering::Relaxed),
            watches: watches.load(Ordering::Relaxed),
            not_sent: not_sent.load(Ordering::Relaxed),
            unknown: unknown.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count_call(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Lease => &self.leases,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_not_sent(&self) {
        self.not_sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }
}
