//! Spreads revisions between control processes, so that a change reaches hosts that miss it at the service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio_util::sync::CancellationToken;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerTarget;
use zinniahinge_types::HeartbeatReply;
use zinniahinge_types::HeartbeatRequest;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;
use zinniahinge_types::SnapshotContent;
use zinniahinge_types::SnapshotReply;
use zinniahinge_types::SnapshotRequest;

use crate::in_force::InForceCell;
use crate::member_core::MemberCell;

/// One exchange with a random peer per second. A revision that reaches one host spreads to n hosts in about
/// log2(n) exchanges, 9 s at 400 hosts; the watch is the fast path.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Time for one exchange.
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);

/// Exchanges revisions with peers and pulls what is newer there.
pub struct GossipHandler {
    /// Own revisions of the assignment and the peers' addresses.
    pub member: Arc<MemberCell>,
    /// Own documents.
    pub in_force: Arc<InForceCell>,
    /// Peers.
    pub client: PeerClient,
}

impl GossipHandler {
    /// Exchanges revisions with a random peer until `token` is cancelled.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let mut ticks = tokio::time::interval(GOSSIP_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while token.run_until_cancelled(ticks.tick()).await.is_some() {
            if let Some(peer) = self.random_peer() {
                self.exchange(&peer).await;
            }
        }
    }

    fn random_peer(&self) -> Option<Name> {
        self.member.read(|core, _now| {
            let peers: Vec<Name> = core
                .members
                .live()
                .filter(|(host, _)| **host != self.member.identity.host)
                .map(|(_, entry)| entry.record.address.control.clone())
                .collect();
            let index = rand::random_range(0..peers.len().max(1));
            peers.get(index).cloned()
        })
    }

    /// Record revision 0 names no guardian, so the receiver answers without a promise.
    async fn exchange(&self, address: &str) {
        let (incarnation, assignment) = self.member.read(|core, _now| {
            let revision = core
                .planner
                .assignment()
                .map_or(0, |(revision, _)| revision);
            (core.incarnation, revision)
        });
        let request = HeartbeatRequest {
            host: self.member.identity.host.clone(),
            incarnation,
            sequence: 0,
            record_revision: 0,
            documents: self.in_force.load().revisions(),
            assignment,
        };
        let target = PeerTarget {
            address,
            path: "/peer/heartbeat",
            timeout: GOSSIP_TIMEOUT,
        };
        if let Ok(reply) = self
            .client
            .call::<_, HeartbeatReply>(target, &request)
            .await
        {
            self.learn(address, &reply).await;
        }
    }

    /// Pulls what `address` has newer than this host.
    pub async fn learn(&self, address: &str, reply: &HeartbeatReply) {
        self.in_force.mark_heard(Instant::now());
        if self.is_behind(&reply.documents, reply.assignment) {
            self.pull(address).await;
        }
    }

    /// True if any of the given revisions is newer than this host's.
    pub fn is_behind(&self, documents: &BTreeMap<Name, Revision>, assignment: Revision) -> bool {
        let held = self.in_force.load().revisions();
        let mut documents = documents.iter();
        let newer = |(service, revision): (&Name, &Revision)| {
            held.get(service).is_none_or(|held| held < revision)
        };
        documents.any(newer)
            || self.member.read(|core, _now| {
                core.planner
                    .assignment()
                    .is_none_or(|(revision, _)| revision < assignment)
            })
    }

    /// Asks `address` for everything newer.
    pub async fn pull(&self, address: &str) {
        let request = SnapshotRequest {
            after: 0,
            documents: self.in_force.load().revisions(),
        };
        let target = PeerTarget {
            address,
            path: "/peer/snapshot",
            timeout: GOSSIP_TIMEOUT,
        };
        let Ok(reply) = self.client.call::<_, SnapshotReply>(target, &request).await else {
            return;
        };
        let Some(content) = reply.content else {
            return;
        };
        let SnapshotContent {
            documents,
            assignment,
            assignment_revision,
            hosts: _,
            servers: _,
        } = content;
        for document in documents {
            self.in_force.offer_document(document);
        }
        if assignment_revision > 0 {
            self.member.update(|core, _now| {
                core.planner
                    .assignment_observed(assignment_revision, assignment);
            });
        }
        self.in_force.touch();
    }
}
