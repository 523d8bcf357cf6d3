//! Follows the watched records of the key-value service.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::StreamExt;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_authority::MemberEntry;
use zinniahinge_document::DocumentRecord;
use zinniahinge_kv::KvClient;
use zinniahinge_kv::KvEntry;
use zinniahinge_kv::WatchChange;
use zinniahinge_kv::WatchEvent;
use zinniahinge_telemetry::EventLog;
use zinniahinge_types::Assignment;
use zinniahinge_types::EventKind;
use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::InForceDocument;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::in_force::InForceCell;
use crate::member_core::MemberCell;
use crate::record_keys::WATCHED_PREFIX;
use crate::record_keys::WatchedKey;
use crate::record_keys::parse_watched;

/// Pause before the records are listed again after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Lists and watches the records.
pub struct ConfigFollower {
    /// Key-value service.
    pub kv: KvClient,
    /// Receives host records and the assignment.
    pub member: Arc<MemberCell>,
    /// Receives documents.
    pub in_force: Arc<InForceCell>,
    /// Events.
    pub events: Arc<EventLog>,
    /// Log.
    pub logger: Logger,
}

impl ConfigFollower {
    /// Follows until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let mut was_reachable = true;
        while !token.is_cancelled() {
            let Some(listing) = token.run_until_cancelled(self.list()).await else {
                break;
            };
            let is_reachable = listing.is_some();
            if is_reachable != was_reachable {
                self.note_contact(is_reachable);
                was_reachable = is_reachable;
            }
            if let Some(revision) = listing {
                self.watch(revision + 1, &token).await;
            }
            token
                .run_until_cancelled(tokio::time::sleep(RETRY_PAUSE))
                .await;
        }
    }

    async fn list(&self) -> Option<Revision> {
        let started = Instant::now();
        let listing = self.kv.range_prefix(WATCHED_PREFIX).await.ok()?;
        self.in_force.mark_heard(started);
        let mut hosts = Vec::new();
        let mut has_assignment = false;
        for entry in &listing.entries {
            match parse_watched(&entry.key) {
                Some(WatchedKey::Host(host)) => hosts.extend(parse_host(host, entry)),
                Some(WatchedKey::Assignment) => {
                    has_assignment = true;
                    self.observe_assignment(entry.mod_revision, &entry.value);
                }
                Some(WatchedKey::Document(service)) => {
                    self.observe_document(service, entry.mod_revision, &entry.value);
                }
                None => {}
            }
        }
        self.load_members(listing.revision, hosts, has_assignment);
        Some(listing.revision)
    }

    fn load_members(
        &self,
        revision: Revision,
        hosts: Vec<(HostId, MemberEntry)>,
        has_assignment: bool,
    ) {
        let loaded = self.member.update(|core, now| {
            if !has_assignment {
                core.planner.assignment_observed(0, Assignment::default());
            }
            let own = hosts
                .iter()
                .find(|(host, _)| *host == self.member.identity.host);
            if let Some((_, entry)) = own {
                core.authority
                    .record_observed(entry.revision, Some(entry.record.clone()), now);
            }
            core.members.load(revision, hosts)
        });
        if let Err(error) = loaded {
            warn!(self.logger, "host records not loaded"; "error" => %error);
        }
        self.in_force.touch();
    }

    async fn watch(&self, from: Revision, token: &CancellationToken) {
        let mut stream = self.kv.watch(WATCHED_PREFIX, from, token.clone());
        while let Some(event) = stream.next().await {
            match event {
                Ok(event) => {
                    self.in_force.mark_heard(Instant::now());
                    self.apply(event);
                }
                Err(_) => return,
            }
        }
    }

    fn apply(&self, event: WatchEvent) {
        let WatchEvent {
            key,
            change,
            mod_revision,
        } = event;
        let value = match change {
            WatchChange::Put { value, .. } => Some(value),
            WatchChange::Deleted => None,
        };
        match (parse_watched(&key), value) {
            (Some(WatchedKey::Host(host)), value) => self.observe_host(host, mod_revision, value),
            (Some(WatchedKey::Assignment), Some(value)) => {
                self.observe_assignment(mod_revision, &value);
                self.in_force.touch();
            }
            (Some(WatchedKey::Document(service)), Some(value)) => {
                self.observe_document(service, mod_revision, &value);
            }
            _ => {}
        }
    }

    fn observe_host(&self, host: HostId, revision: Revision, value: Option<Bytes>) {
        let record = match value.map(|value| serde_json::from_slice::<HostRecord>(&value)) {
            Some(Ok(record)) => Some(record),
            Some(Err(error)) => {
                warn!(self.logger, "host record not understood"; "host" => &*host, "error" => %error);
                return;
            }
            None => None,
        };
        let observed = self.member.update(|core, now| {
            if host == self.member.identity.host {
                core.authority
                    .record_observed(revision, record.clone(), now);
            }
            core.members.observe(host, revision, record)
        });
        if let Err(error) = observed {
            warn!(self.logger, "host record ignored"; "error" => %error);
        }
        self.in_force.touch();
    }

    fn observe_assignment(&self, revision: Revision, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(assignment) => self.member.update(|core, _now| {
                core.planner.assignment_observed(revision, assignment);
            }),
            Err(error) => warn!(self.logger, "assignment not understood"; "error" => %error),
        }
    }

    fn observe_document(&self, service: Name, revision: Revision, value: &[u8]) {
        let Ok(DocumentRecord { text, .. }) = DocumentRecord::from_json(value) else {
            warn!(self.logger, "document record not understood"; "service" => &*service);
            return;
        };
        let source = InForceDocument {
            service: service.clone(),
            revision,
            text,
        };
        if self.in_force.offer_document(source) {
            info!(self.logger, "document in force"; "service" => &*service, "revision" => revision);
            let detail = format!("revision {revision}");
            self.events
                .record(EventKind::DocumentInForce, None, service, detail);
        }
    }

    fn note_contact(&self, is_reachable: bool) {
        let detail = if is_reachable {
            "reachable"
        } else {
            "unreachable"
        };
        warn!(self.logger, "key-value service"; "contact" => detail);
        self.events
            .record(EventKind::ServiceContact, None, "key-value service", detail);
    }
}

fn parse_host(host: HostId, entry: &KvEntry) -> Option<(HostId, MemberEntry)> {
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some((
        host,
        MemberEntry {
            revision: entry.mod_revision,
            record,
        },
    ))
}
