//! Paths of the messages that a control process answers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use volo_http::request::Request;
use volo_http::server::route::Router;
use volo_http::server::route::post;
use zinniahinge_authority::HeartbeatVerdict;
use zinniahinge_authority::ReceivedHeartbeat;
use zinniahinge_peer::PeerReceiver;
use zinniahinge_types::BeginRequest;
use zinniahinge_types::ChargeRequest;
use zinniahinge_types::DemandRequest;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::FinishRequest;
use zinniahinge_types::HandoverRequest;
use zinniahinge_types::HeartbeatReply;
use zinniahinge_types::HeartbeatRequest;
use zinniahinge_types::HostState;
use zinniahinge_types::InForceDocument;
use zinniahinge_types::KeepCopyRequest;
use zinniahinge_types::ListCopiesReply;
use zinniahinge_types::ListCopiesRequest;
use zinniahinge_types::PeerAck;
use zinniahinge_types::RefundRequest;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::Revision;
use zinniahinge_types::SnapshotContent;
use zinniahinge_types::SnapshotReply;
use zinniahinge_types::SnapshotRequest;

use crate::copy_store::CopyStore;
use crate::dispatch_service::DispatchService;
use crate::gossip::GossipHandler;
use crate::idempotency_service::IdempotencyService;
use crate::in_force::InForceCell;
use crate::limit_service::LimitService;
use crate::member_core::MemberCell;

/// Longest wait of a snapshot poll. It bounds the age of the freshness that the entry process knows.
const SNAPSHOT_WAIT: Duration = Duration::from_millis(500);

/// What the routes act on.
#[derive(Clone)]
pub struct PeerServices {
    /// Authority.
    pub member: Arc<MemberCell>,
    /// Documents and host list.
    pub in_force: Arc<InForceCell>,
    /// Charges.
    pub limits: LimitService,
    /// Dispatch.
    pub dispatch: DispatchService,
    /// Idempotency keys.
    pub idempotency: IdempotencyService,
    /// Copies for other owners.
    pub copies: Arc<CopyStore>,
    /// Revisions of peers.
    pub gossip: Arc<GossipHandler>,
}

/// Adds a route that opens the message, calls `$handler` and seals the reply.
macro_rules! peer_route {
    ($router:expr, $gate:expr, $services:expr, $path:literal, $message:ty, $handler:expr) => {{
        let (gate, services) = ($gate.clone(), $services.clone());
        $router.route(
            $path,
            post(move |request: Request| {
                let (gate, services) = (gate.clone(), services.clone());
                async move {
                    let handler = |message: $message| ($handler)(services, message);
                    gate.serve(request, handler).await
                }
            }),
        )
    }};
}

/// All message paths.
pub fn peer_router(gate: &PeerReceiver, services: &PeerServices) -> Router {
    let router = Router::new();
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/charge",
        ChargeRequest,
        |s: PeerServices, m| async move { s.limits.charge(m).await }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/refund",
        RefundRequest,
        |s: PeerServices, m: RefundRequest| async move { s.limits.refund(&m) }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/dispatch",
        DispatchRequest,
        |s: PeerServices, m| async move { s.dispatch.dispatch(m).await }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/release",
        ReleaseRequest,
        |s: PeerServices, m: ReleaseRequest| async move { s.dispatch.release(&m) }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/demand",
        DemandRequest,
        |s: PeerServices, m| async move { s.dispatch.demand(m) }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/begin",
        BeginRequest,
        |s: PeerServices, m| async move { s.idempotency.begin(m).await }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/finish",
        FinishRequest,
        |s: PeerServices, m| async move { s.idempotency.finish(m).await }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/copy",
        KeepCopyRequest,
        |s: PeerServices, m| async move { s.keep_copy(m) }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/copies",
        ListCopiesRequest,
        |s: PeerServices, m: ListCopiesRequest| async move { s.list_copies(&m) }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/heartbeat",
        HeartbeatRequest,
        |s: PeerServices, m| async move { s.heartbeat(m) }
    );
    let router = peer_route!(
        router,
        gate,
        services,
        "/peer/handover",
        HandoverRequest,
        |s: PeerServices, m| async move { s.hand_over(m) }
    );
    peer_route!(
        router,
        gate,
        services,
        "/peer/snapshot",
        SnapshotRequest,
        |s: PeerServices, m| async move { s.snapshot(m).await }
    )
}

impl PeerServices {
    fn heartbeat(&self, request: HeartbeatRequest) -> HeartbeatReply {
        let HeartbeatRequest {
            host,
            incarnation,
            sequence,
            record_revision,
            documents,
            assignment,
        } = request;
        self.in_force.mark_heard(Instant::now());
        let heartbeat = ReceivedHeartbeat {
            host: host.clone(),
            incarnation,
            record_revision,
        };
        let verdict = self.member.update(|core, now| {
            let own = core.authority.local_status(now);
            core.guardian
                .heartbeat_received(&heartbeat, &own, &core.members, now)
        });
        if self.gossip.is_behind(&documents, assignment) {
            self.pull_from(&host);
        }
        HeartbeatReply {
            acknowledged: verdict == HeartbeatVerdict::Acknowledge,
            sequence,
            documents: self.in_force.load().revisions(),
            assignment: self.assignment_revision(),
            staleness: self.in_force.staleness(),
        }
    }

    fn pull_from(&self, host: &str) {
        let address = self.member.read(|core, _now| {
            core.members
                .get(host)
                .map(|entry| entry.record.address.control.clone())
        });
        if let Some(address) = address {
            let gossip = self.gossip.clone();
            tokio::spawn(async move { gossip.pull(&address).await });
        }
    }

    fn assignment_revision(&self) -> Revision {
        self.member.read(|core, _now| {
            core.planner
                .assignment()
                .map_or(0, |(revision, _)| revision)
        })
    }

    fn hand_over(&self, request: HandoverRequest) -> PeerAck {
        self.member.update(|core, _now| core.staged.stage(request))
    }

    /// Only a guardian with authority keeps copies: one that is declared dead itself would lose them.
    fn keep_copy(&self, request: KeepCopyRequest) -> PeerAck {
        let may_keep = self.member.gate.has_authority(self.member.now());
        if may_keep && self.copies.keep(request) {
            PeerAck::Accepted
        } else {
            PeerAck::Stale
        }
    }

    fn list_copies(&self, request: &ListCopiesRequest) -> ListCopiesReply {
        let joined_at = self
            .member
            .read(|core, now| core.authority.local_status(now).joined_at);
        ListCopiesReply {
            is_complete: self.copies.is_complete(&request.host, joined_at),
            records: self.copies.records(&request.host, request.shard),
        }
    }

    async fn snapshot(&self, request: SnapshotRequest) -> SnapshotReply {
        let mut version = self.in_force.subscribe();
        if request.after == *version.borrow_and_update() {
            let _ = tokio::time::timeout(SNAPSHOT_WAIT, version.changed()).await;
        }
        let current = *version.borrow_and_update();
        SnapshotReply {
            version: current,
            content: (request.after != current).then(|| self.snapshot_content(&request)),
            staleness: self.in_force.staleness(),
        }
    }

    fn snapshot_content(&self, request: &SnapshotRequest) -> SnapshotContent {
        let state = self.in_force.load();
        let newer = |document: &&InForceDocument| {
            let held = request.documents.get(&document.service);
            held.is_none_or(|held| *held < document.revision)
        };
        let documents = state.documents.values().map(|entry| &entry.source);
        let documents = documents.filter(newer).cloned().collect();
        self.member.read(|core, _now| {
            let (assignment_revision, assignment) = core
                .planner
                .assignment()
                .map(|(revision, assignment)| (revision, assignment.clone()))
                .unwrap_or_default();
            let hosts = core.members.iter();
            let hosts = hosts.filter(|(_, entry)| entry.record.state != HostState::Dead);
            SnapshotContent {
                documents,
                assignment,
                assignment_revision,
                hosts: hosts
                    .map(|(host, entry)| (host.clone(), entry.record.address.clone()))
                    .collect(),
                servers: state.servers_known.then(|| state.servers.clone()),
            }
        })
    }
}
