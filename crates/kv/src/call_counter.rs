use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Kind of a call to the key-value service, by which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Read of one record or of a prefix (`range`).
    Read,
    /// Transaction that changes records or checks their revisions (`txn`).
    Write,
    /// Grant, keep-alive or revocation of a lease.
    Lease,
    /// Start of a watch; its events are not counted.
    Watch,
}

/// Counts calls to the key-value service. A call counts once for each endpoint at which it was
/// tried.
#[derive(Debug, Default)]
pub struct CallCounter {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    not_sent: AtomicU64,
    unknown: AtomicU64,
}

/// Snapshot of a [`CallCounter`], counted since the client was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Number of reads.
    pub reads: u64,
    /// Number of transactions.
    pub writes: u64,
    /// Number of lease calls.
    pub leases: u64,
    /// Number of watches that were started.
    pub watches: u64,
    /// Number of calls that were not sent because the connection could not be made.
    pub not_sent: u64,
    /// Number of calls that were sent and got no usable answer.
    pub unknown: u64,
}

impl CallCounter {
    /// Returns the current counts. They are read one by one, so they may be some calls apart.
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
