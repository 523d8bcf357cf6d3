//! What is in force on this host: documents, host list and the peers' freshness.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use zinniahinge_document::CompiledDocument;
use zinniahinge_types::InForceDocument;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;
use zinniahinge_types::ServerEntry;
use zinniahinge_types::ServerState;

/// One document in force.
#[derive(Clone)]
pub struct DocumentEntry {
    /// Text and revision, as passed on.
    pub source: InForceDocument,
    /// Lookup tables.
    pub compiled: Arc<CompiledDocument>,
}

/// Immutable picture; replaced as a whole.
#[derive(Clone, Default)]
pub struct InForceState {
    /// Documents by service.
    pub documents: BTreeMap<Name, DocumentEntry>,
    /// Backend servers of the host list.
    pub servers: Vec<ServerEntry>,
    /// False until the host list was read for the first time.
    pub servers_known: bool,
}

impl InForceState {
    /// Revision of each document.
    pub fn revisions(&self) -> BTreeMap<Name, Revision> {
        let documents = self.documents.iter();
        documents
            .map(|(service, entry)| (service.clone(), entry.source.revision))
            .collect()
    }

    /// Compiled document of `service`.
    pub fn document(&self, service: &str) -> Option<&Arc<CompiledDocument>> {
        self.documents.get(service).map(|entry| &entry.compiled)
    }

    /// True if the host list shows `server` as live.
    pub fn is_live(&self, server: &str) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|entry| &*entry.server == server && entry.state == ServerState::Live)
    }
}

/// Holder of the [`InForceState`].
pub struct InForceCell {
    state: ArcSwap<InForceState>,
    /// Serialises writers; a lost update could make a revision go back.
    writer: Mutex<()>,
    version: watch::Sender<u64>,
    heard: Mutex<Option<Instant>>,
}

impl Default for InForceCell {
    fn default() -> Self {
        Self {
            state: ArcSwap::default(),
            writer: Mutex::new(()),
            version: watch::Sender::new(1),
            heard: Mutex::new(None),
        }
    }
}

impl InForceCell {
    /// The present state.
    pub fn load(&self) -> Arc<InForceState> {
        self.state.load_full()
    }

    /// Takes a document in unless the held revision is as new. Returns true if it came into force.
    pub fn offer_document(&self, source: InForceDocument) -> bool {
        let Ok(compiled) = CompiledDocument::parse(&source.text) else {
            return false;
        };
        let compiled = Arc::new(compiled);
        self.change(|state| {
            let held = state.documents.get(&source.service);
            if held.is_some_and(|held| held.source.revision >= source.revision) {
                return false;
            }
            state
                .documents
                .insert(source.service.clone(), DocumentEntry { source, compiled });
            true
        })
    }

    /// Replaces the host list. Returns true if it changed.
    pub fn set_servers(&self, servers: Vec<ServerEntry>) -> bool {
        self.change(|state| {
            let is_new = !state.servers_known || state.servers != servers;
            state.servers = servers;
            state.servers_known = true;
            is_new
        })
    }

    /// Wakes followers although no document changed, for example after a new assignment.
    pub fn touch(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    /// Receiver of the version number.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Notes that the key-value service or a peer was heard at `at`.
    pub fn mark_heard(&self, at: Instant) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        *heard = (*heard).max(Some(at));
    }

    /// Time since the key-value service or a peer was heard; a large value if never.
    pub fn staleness(&self) -> Duration {
        let heard = *self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.map_or(Duration::from_secs(3600), |heard| heard.elapsed())
    }

    fn change(&self, change: impl FnOnce(&mut InForceState) -> bool) -> bool {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = InForceState::clone(&self.state.load());
        let changed = change(&mut state);
        if changed {
            self.state.store(Arc::new(state));
            self.touch();
        }
        changed
    }
}
