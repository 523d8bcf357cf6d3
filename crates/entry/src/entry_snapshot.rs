//! What is in force, in the form that requests read.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use zinniahinge_document::ClientAccount;
use zinniahinge_document::CompiledDocument;
use zinniahinge_types::Assignment;
use zinniahinge_types::HostAddress;
use zinniahinge_types::HostId;
use zinniahinge_types::Name;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::Revision;
use zinniahinge_types::ServerEntry;

/// One service's document, compiled.
#[derive(Clone, Debug)]
pub struct ServiceInForce {
    /// Revision of the record.
    pub revision: Revision,
    /// Lookup tables.
    pub document: Arc<CompiledDocument>,
}

/// Immutable picture of what is in force; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct EntrySnapshot {
    /// Documents by service.
    pub services: BTreeMap<Name, ServiceInForce>,
    /// Owner of each shard.
    pub assignment: Assignment,
    /// Revision of the assignment.
    pub assignment_revision: Revision,
    /// Known hosts.
    pub hosts: BTreeMap<HostId, HostAddress>,
    /// Backend servers of the host list.
    pub servers: Vec<ServerEntry>,
    /// False until a control process passed on the host list.
    pub servers_known: bool,
}

impl EntrySnapshot {
    /// Control process that owns `key` now.
    pub fn owner_address(&self, key: &ResourceKey) -> Option<Name> {
        let owner = self.assignment.owner(key.shard())?;
        self.hosts
            .get(&owner.host)
            .map(|address| address.control.clone())
    }

    /// Account of `service` that a key with this digest belongs to.
    pub fn account(&self, service: &str, digest: &[u8; 32]) -> Option<&ClientAccount> {
        self.services
            .get(service)?
            .document
            .account_by_digest(digest)
    }

    /// True if any service has an account with this digest.
    pub fn knows_key(&self, digest: &[u8; 32]) -> bool {
        let mut services = self.services.values();
        services.any(|service| service.document.account_by_digest(digest).is_some())
    }
}

/// Holder of the current [`EntrySnapshot`]. Requests read it without a lock.
pub struct SnapshotCell {
    current: ArcSwap<EntrySnapshot>,
    origin: Instant,
    /// Milliseconds after `origin` at which the snapshot was last known to be current, plus one; 0: never.
    fresh_ms: AtomicU64,
    changed: watch::Sender<u64>,
}

impl Default for SnapshotCell {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            origin: Instant::now(),
            fresh_ms: AtomicU64::new(0),
            changed: watch::Sender::new(0),
        }
    }
}

impl SnapshotCell {
    /// The snapshot in force.
    pub fn load(&self) -> Arc<EntrySnapshot> {
        self.current.load_full()
    }

    /// Replaces the snapshot and wakes open streams, which check their key again.
    pub fn store(&self, snapshot: EntrySnapshot) {
        self.current.store(Arc::new(snapshot));
        self.changed.send_modify(|version| *version += 1);
    }

    /// Notes that the snapshot was current `staleness` ago.
    pub fn mark_fresh(&self, staleness: Duration) {
        let at = self.origin.elapsed().saturating_sub(staleness);
        self.fresh_ms
            .fetch_max(at.as_millis() as u64 + 1, Ordering::AcqRel);
    }

    /// Time since the snapshot was last known to be current; `None` if it never was.
    pub fn staleness(&self) -> Option<Duration> {
        match self.fresh_ms.load(Ordering::Acquire) {
            0 => None,
            at => Some(
                self.origin
                    .elapsed()
                    .saturating_sub(Duration::from_millis(at - 1)),
            ),
        }
    }

    /// Receiver that wakes at each replacement.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
