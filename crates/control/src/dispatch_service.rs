//! Handles dispatch requests, and reports demand to the pools.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use zinniahinge_document::ServiceKind;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerTarget;
use zinniahinge_telemetry::EventLog;
use zinniahinge_types::DemandReply;
use zinniahinge_types::DemandRequest;
use zinniahinge_types::DispatchReply;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::EventKind;
use zinniahinge_types::Name;
use zinniahinge_types::PeerAck;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::RequestId;
use zinniahinge_types::ResourceKey;

use crate::dispatch_table::DispatchAnswer;
use crate::dispatch_table::ModelKey;
use crate::in_force::InForceCell;
use crate::limit_service::account_limits;
use crate::member_core::MemberCell;
use crate::shard_table::ShardTable;
use crate::work_signal::WorkSignal;

/// How often due demand reports are looked for while a request waits for a load.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);

/// How often they are looked for otherwise; models with replicas report once a second.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for a demand report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often documents and the host list are applied to the dispatchers even if nothing woke the task.
const APPLY_INTERVAL: Duration = Duration::from_secs(1);

/// Dispatch requests and demand.
#[derive(Clone)]
pub struct DispatchService {
    /// Shards.
    pub shards: Arc<ShardTable>,
    /// Owners of the pools.
    pub member: Arc<MemberCell>,
    /// Documents and host list.
    pub in_force: Arc<InForceCell>,
    /// Peers.
    pub client: PeerClient,
    /// Events.
    pub events: Arc<EventLog>,
    /// Raised when a request starts to wait.
    pub waiting: Arc<WorkSignal>,
    /// Raised when a request may wait for a load.
    pub demand: Arc<WorkSignal>,
    /// Raised when a pool has new demand.
    pub plan: Arc<WorkSignal>,
}

/// Forgets a waiting request when its handler is dropped because the asking process left.
struct CancelGuard {
    shards: Arc<ShardTable>,
    resource: ResourceKey,
    key: ModelKey,
    request_id: RequestId,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Self {
            shards,
            resource,
            key,
            request_id,
            is_armed,
        } = self;
        if *is_armed {
            shards.with(resource, |state, _owner| {
                state.models.cancel(key, *request_id)
            });
        }
    }
}

impl DispatchService {
    /// Answers a dispatch request once a replica is free.
    pub async fn dispatch(&self, request: DispatchRequest) -> DispatchReply {
        let key = ModelKey {
            service: request.service.clone(),
            model: request.model.clone(),
        };
        let resource = ResourceKey::Model {
            service: key.service.clone(),
            model: key.model.clone(),
        };
        let (request_id, trace_id) = (request.request_id, request.trace_id);
        let subject = request
            .adapter
            .clone()
            .unwrap_or_else(|| request.model.clone());
        let account = request.account.clone();
        let answer = self.shards.with(&resource, |state, owner| {
            state.models.submit(request, owner.now)
        });
        match answer {
            None => DispatchReply::NotOwner,
            Some(DispatchAnswer::Decided(reply)) => reply,
            Some(DispatchAnswer::Waiting(answer)) => {
                self.waiting.raise();
                self.demand.raise();
                self.events
                    .record(EventKind::RequestQueued, Some(trace_id), subject, account);
                let shards = self.shards.clone();
                let mut guard = CancelGuard {
                    shards,
                    resource,
                    key,
                    request_id,
                    is_armed: true,
                };
                let reply = answer.await;
                guard.is_armed = false;
                reply.unwrap_or(DispatchReply::NotOwner)
            }
        }
    }

    /// Takes a ticket back.
    pub fn release(&self, request: &ReleaseRequest) -> PeerAck {
        let ReleaseRequest { service, model, .. } = request;
        let resource = ResourceKey::Model {
            service: service.clone(),
            model: model.clone(),
        };
        let released = self.shards.with(&resource, |state, owner| {
            state.models.release(request, owner.now)
        });
        match released {
            None => PeerAck::NotOwner,
            Some(true) => PeerAck::Accepted,
            Some(false) => PeerAck::Stale,
        }
    }

    /// Answers a dispatcher's report with the model's replicas.
    pub fn demand(&self, request: DemandRequest) -> DemandReply {
        let service = request.service.clone();
        let resource = ResourceKey::Pool {
            service: service.clone(),
        };
        let waits = !request.waiting.is_empty();
        let reply = self.shards.with(&resource, |state, owner| {
            let pool = state.pools.get_mut(&service)?;
            pool.is_ready
                .then(|| pool.planner.apply_demand(request, owner.now))
        });
        if waits {
            self.plan.raise();
        }
        reply.flatten().unwrap_or(DemandReply::NotOwner)
    }

    // ------------------------------------------------------------------------

    /// Sends due demand reports until `token` is cancelled.
    pub async fn report_demand(self, token: CancellationToken) {
        loop {
            let mut reports = Vec::new();
            let mut waits = false;
            self.shards.for_each(|state, owner| {
                reports.extend(state.models.due_reports(owner.now));
                waits |= state.models.waits_for_load();
            });
            for report in reports {
                let this = self.clone();
                tokio::spawn(async move { this.report(report).await });
            }
            let pause = self.demand.pause(waits, BUSY_INTERVAL, IDLE_INTERVAL);
            if token.run_until_cancelled(pause).await.is_none() {
                return;
            }
        }
    }

    async fn report(&self, request: DemandRequest) {
        let key = ModelKey {
            service: request.service.clone(),
            model: request.model.clone(),
        };
        let reply = self.send_report(&request).await;
        let in_force = self.in_force.load();
        let resource = ResourceKey::Model {
            service: key.service.clone(),
            model: key.model.clone(),
        };
        self.shards.with(&resource, |state, owner| {
            state
                .models
                .finish_report(&key, reply, &in_force, owner.now);
        });
    }

    async fn send_report(&self, request: &DemandRequest) -> Option<DemandReply> {
        let resource = ResourceKey::Pool {
            service: request.service.clone(),
        };
        let owner = self.owner_address(&resource)?;
        if owner.is_own {
            return Some(self.demand(request.clone()));
        }
        let target = PeerTarget {
            address: &owner.address,
            path: "/peer/demand",
            timeout: REPORT_TIMEOUT,
        };
        self.client.call(target, request).await.ok()
    }

    fn owner_address(&self, resource: &ResourceKey) -> Option<OwnerAddress> {
        self.member.read(|core, _now| {
            let (_, assignment) = core.planner.assignment()?;
            let owner = assignment.owner(resource.shard())?;
            let address = core
                .members
                .get(&owner.host)?
                .record
                .address
                .control
                .clone();
            let is_own = owner.host == self.member.identity.host;
            Some(OwnerAddress { address, is_own })
        })
    }

    // ------------------------------------------------------------------------

    /// Applies new documents, host lists and deaths to the shards until `token` is cancelled.
    pub async fn apply_changes(self, token: CancellationToken) {
        let mut version = self.in_force.subscribe();
        loop {
            self.apply();
            let wait = tokio::time::timeout(APPLY_INTERVAL, version.changed());
            if token.run_until_cancelled(wait).await.is_none() {
                return;
            }
        }
    }

    /// The requests and tickets of a host that was declared dead stay: its record speaks for the control process
    /// only, and its entry process may go on. Tickets lapse at their deadline.
    fn apply(&self) {
        let in_force = self.in_force.load();
        let models = all_models(&in_force);
        self.shards.for_each(|state, owner| {
            state
                .accounts
                .set_limits(|key| account_limits(&in_force, key), owner.now);
            let own = models.iter().filter(|model| model.shard == state.shard);
            state.models.add_models(own.map(|model| model.key.clone()));
            state.models.apply_in_force(&in_force, owner.now);
        });
    }
}

struct OwnerAddress {
    address: Name,
    is_own: bool,
}

struct ListedModel {
    key: ModelKey,
    shard: zinniahinge_types::ShardId,
}

fn all_models(in_force: &crate::in_force::InForceState) -> Vec<ListedModel> {
    let mut models = Vec::new();
    for (service, entry) in &in_force.documents {
        let document = entry.compiled.document();
        if document.kind != ServiceKind::Models {
            continue;
        }
        for model in &document.models {
            let key = ModelKey {
                service: service.clone(),
                model: model.name.clone(),
            };
            let resource = ResourceKey::Model {
                service: service.clone(),
                model: model.name.clone(),
            };
            models.push(ListedModel {
                key,
                shard: resource.shard(),
            });
        }
    }
    models
}
