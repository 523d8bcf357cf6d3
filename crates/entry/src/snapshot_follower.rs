//! Follows the control process of this host, or of another host while that one is away.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_document::CompiledDocument;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerTarget;
use zinniahinge_telemetry::EventLog;
use zinniahinge_types::EventKind;
use zinniahinge_types::InForceDocument;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;
use zinniahinge_types::SnapshotReply;
use zinniahinge_types::SnapshotRequest;

use crate::entry_snapshot::EntrySnapshot;
use crate::entry_snapshot::ServiceInForce;
use crate::entry_snapshot::SnapshotCell;
use crate::plain_servers::PlainServers;

/// A control process answers a snapshot poll within a second, changed or not.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Keeps a [`SnapshotCell`] up to date.
pub struct SnapshotFollower {
    /// Control process of this host.
    pub own_control: Name,
    /// Sends the polls.
    pub client: PeerClient,
    /// Where the result goes.
    pub cell: Arc<SnapshotCell>,
    /// Servers that follow the host list.
    pub plain_servers: Arc<PlainServers>,
    /// Events of document changes.
    pub events: Arc<EventLog>,
    /// Log.
    pub logger: Logger,
}

/// Position in the version numbers of one control process.
#[derive(Default)]
struct PollPosition {
    address: Option<Name>,
    version: u64,
}

impl SnapshotFollower {
    /// Polls until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let mut position = PollPosition::default();
        let mut failures = 0_usize;
        while !token.is_cancelled() {
            let address = self.pick_control(failures);
            if position.address.as_ref() != Some(&address) {
                position = PollPosition {
                    address: Some(address.clone()),
                    version: 0,
                };
            }
            let poll = self.poll(&address, position.version);
            let Some(result) = token.run_until_cancelled(poll).await else {
                break;
            };
            match result {
                Ok(reply) => {
                    failures = 0;
                    position.version = reply.version;
                    self.apply(reply);
                }
                Err(_) => {
                    failures += 1;
                    token
                        .run_until_cancelled(tokio::time::sleep(RETRY_PAUSE))
                        .await;
                }
            }
        }
    }

    /// The host's own control process first, then the others in turn.
    fn pick_control(&self, failures: usize) -> Name {
        let snapshot = self.cell.load();
        let others: Vec<&Name> = snapshot
            .hosts
            .values()
            .map(|host| &host.control)
            .filter(|control| **control != self.own_control)
            .collect();
        if failures.is_multiple_of(2) || others.is_empty() {
            return self.own_control.clone();
        }
        others[(failures / 2) % others.len()].clone()
    }

    async fn poll(&self, address: &str, after: u64) -> zinniahinge_peer::Result<SnapshotReply> {
        let request = SnapshotRequest {
            after,
            documents: self.held_revisions(),
        };
        let target = PeerTarget {
            address,
            path: "/peer/snapshot",
            timeout: POLL_TIMEOUT,
        };
        self.client.call(target, &request).await
    }

    fn held_revisions(&self) -> BTreeMap<Name, Revision> {
        let snapshot = self.cell.load();
        let services = snapshot.services.iter();
        services
            .map(|(service, held)| (service.clone(), held.revision))
            .collect()
    }

    fn apply(&self, reply: SnapshotReply) {
        let current = self.cell.load();
        let SnapshotReply {
            version: _,
            documents,
            assignment,
            assignment_revision,
            hosts,
            servers,
            staleness,
        } = reply;
        let mut next = EntrySnapshot {
            hosts,
            ..EntrySnapshot::clone(&current)
        };
        // A control process that has just started has not read the host list; the last one is kept.
        if let Some(servers) = servers {
            next.servers = servers;
            next.servers_known = true;
        }
        if assignment_revision >= current.assignment_revision {
            next.assignment = assignment;
            next.assignment_revision = assignment_revision;
        }
        for document in documents {
            self.apply_document(&mut next, document);
        }
        self.plain_servers.update(&next);
        self.cell.store(next);
        self.cell.mark_fresh(staleness);
    }

    fn apply_document(&self, next: &mut EntrySnapshot, document: InForceDocument) {
        let InForceDocument {
            service,
            revision,
            text,
        } = document;
        let held = next.services.get(&service).map_or(0, |held| held.revision);
        if revision <= held {
            return;
        }
        match CompiledDocument::parse(&text) {
            Ok(compiled) => {
                info!(self.logger, "document in force"; "service" => &*service, "revision" => revision);
                self.events.record(
                    EventKind::DocumentInForce,
                    None,
                    service.clone(),
                    format!("revision {revision}"),
                );
                let document = Arc::new(compiled);
                next.services
                    .insert(service, ServiceInForce { revision, document });
            }
            Err(error) => warn!(
                self.logger, "document rejected, the earlier revision stays in force";
                "service" => &*service, "revision" => revision, "error" => %error
            ),
        }
    }
}
