//! Carries out what the authority state machines order.

use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use zinniahinge_authority::AcquiredShard;
use zinniahinge_authority::AssignmentAction;
use zinniahinge_authority::GuardianAction;
use zinniahinge_authority::HostAction;
use zinniahinge_authority::WriteOutcome;
use zinniahinge_kv::CasOutcome;
use zinniahinge_kv::KvClient;
use zinniahinge_kv::KvError;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerTarget;
use zinniahinge_telemetry::EventLog;
use zinniahinge_types::Assignment;
use zinniahinge_types::EventKind;
use zinniahinge_types::HandoverRequest;
use zinniahinge_types::HeartbeatReply;
use zinniahinge_types::HeartbeatRequest;
use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::Name;
use zinniahinge_types::PeerAck;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;
use zinniahinge_types::ShardOwner;

use crate::copy_store::CopyStore;
use crate::gossip::GossipHandler;
use crate::in_force::InForceCell;
use crate::member_core::MemberCell;
use crate::record_keys::ASSIGNMENT_KEY;
use crate::record_keys::host_key;
use crate::shard_table::ShardTable;

/// How often the state machines are asked what to do.
const TICK: Duration = Duration::from_millis(50);

/// Time for a heartbeat and its reply. A later reply could hardly extend the authority.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to hand the state of one shard to its next owner.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the state machines of one process.
#[derive(Clone)]
pub struct MemberController {
    /// State machines.
    pub member: Arc<MemberCell>,
    /// Shards' state.
    pub shards: Arc<ShardTable>,
    /// Documents, for the summary in heartbeats.
    pub in_force: Arc<InForceCell>,
    /// Key-value service.
    pub kv: KvClient,
    /// Peers.
    pub client: PeerClient,
    /// Handles what heartbeat replies tell.
    pub gossip: Arc<GossipHandler>,
    /// Copies kept for other owners.
    pub copies: Arc<CopyStore>,
    /// Events.
    pub events: Arc<EventLog>,
    /// Log.
    pub logger: Logger,
    /// Notified when the planned stop is complete.
    pub stopped: Arc<Notify>,
}

impl MemberController {
    /// Runs until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut had_authority = false;
        while token.run_until_cancelled(ticks.tick()).await.is_some() {
            self.tick();
            let has_authority = self.member.gate.has_authority(self.member.now());
            if has_authority != had_authority {
                self.note_authority(has_authority);
                had_authority = has_authority;
            }
        }
    }

    /// Begins a planned stop: shards are handed over, then the host writes its own tombstone.
    pub async fn leave(&self, deadline: Duration) {
        self.member.update(|core, _now| core.authority.leave());
        let drained = async {
            while !self.member.read(|core, _now| core.planner.is_drained()) {
                tokio::time::sleep(TICK).await;
            }
        };
        let in_time = tokio::time::timeout(deadline, drained).await.is_ok();
        info!(self.logger, "shards handed over"; "complete" => in_time);
        self.member.update(|core, _now| core.authority.stop());
        let _ = tokio::time::timeout(deadline, self.stopped.notified()).await;
    }

    fn tick(&self) {
        let (host_actions, guardian_actions, assignment_actions, gained) =
            self.member.update(|core, now| {
                let host_actions = core.authority.tick(now, &core.members);
                self.copies.watch(&self.member.identity.host, &core.members);
                let own = core.authority.local_status(now);
                let guardian_actions = core.guardian.tick(&own, &core.members, now);
                let assignment_actions = core.planner.tick(&own, &core.members, now);
                (
                    host_actions,
                    guardian_actions,
                    assignment_actions,
                    core.planner.take_acquired(),
                )
            });
        for gain in gained {
            self.acquire(gain);
        }
        self.shards.reconcile(&self.member);
        host_actions
            .into_iter()
            .for_each(|action| self.run_host_action(action));
        guardian_actions
            .into_iter()
            .for_each(|action| self.run_guardian_action(action));
        assignment_actions
            .into_iter()
            .for_each(|action| self.run_assignment_action(action));
    }

    // ------------------------------------------------------------------------

    fn run_host_action(&self, action: HostAction) {
        let this = self.clone();
        match action {
            HostAction::SendHeartbeat {
                to,
                sequence,
                record_revision,
            } => {
                tokio::spawn(
                    async move { this.send_heartbeat(to, sequence, record_revision).await },
                );
            }
            HostAction::WriteRecord {
                renewal,
                expected,
                record,
            } => {
                tokio::spawn(async move { this.write_record(renewal, expected, record).await });
            }
            HostAction::ReadRecord => {
                tokio::spawn(async move { this.read_record().await });
            }
            HostAction::Rejoin { above } => self.rejoin(above),
            HostAction::Stopped => self.stopped.notify_one(),
        }
    }

    async fn send_heartbeat(&self, to: HostId, sequence: u64, record_revision: Revision) {
        let (address, incarnation) = self.member.read(|core, _now| {
            let entry = core.members.get(&to);
            (
                entry.map(|entry| entry.record.address.control.clone()),
                core.incarnation,
            )
        });
        let Some(address) = address else { return };
        let request = HeartbeatRequest {
            host: self.member.identity.host.clone(),
            incarnation,
            sequence,
            record_revision,
            documents: self.in_force.load().revisions(),
            assignment: self.assignment_revision(),
        };
        let target = PeerTarget {
            address: &address,
            path: "/peer/heartbeat",
            timeout: HEARTBEAT_TIMEOUT,
        };
        let Ok(reply) = self
            .client
            .call::<_, HeartbeatReply>(target, &request)
            .await
        else {
            return;
        };
        self.member.update(|core, now| {
            if core.incarnation == incarnation {
                core.authority
                    .heartbeat_answered(reply.sequence, reply.acknowledged, now);
            }
        });
        self.gossip.learn(&address, &reply).await;
    }

    async fn write_record(&self, renewal: u64, expected: Revision, record: HostRecord) {
        let incarnation = record.incarnation;
        let key = host_key(&self.member.identity.host);
        let outcome = self.swap(&key, expected, &record).await;
        self.member.update(|core, now| {
            if core.incarnation == incarnation {
                core.authority.write_finished(renewal, outcome, now);
            }
        });
    }

    async fn read_record(&self) {
        let host = &self.member.identity.host;
        let Some((revision, record)) = self.read_host(host).await else {
            return;
        };
        self.member.update(|core, now| {
            core.authority
                .record_observed(revision, record.clone(), now);
            let _ = core.members.observe(host.clone(), revision, record);
        });
    }

    /// Record of `host` and its revision; the store's revision if there is no record.
    async fn read_host(&self, host: &str) -> Option<(Revision, Option<HostRecord>)> {
        let key = host_key(host);
        let listing = self.kv.range_prefix(&key).await.ok()?;
        match listing.entries.iter().find(|entry| *entry.key == *key) {
            Some(entry) => Some((
                entry.mod_revision,
                Some(serde_json::from_slice(&entry.value).ok()?),
            )),
            None => Some((listing.revision, None)),
        }
    }

    fn rejoin(&self, above: u64) {
        warn!(
            self.logger,
            "this incarnation was declared dead, joining again"
        );
        self.shards.drop_all();
        self.member.rejoin(above);
    }

    // ------------------------------------------------------------------------

    fn run_guardian_action(&self, action: GuardianAction) {
        let this = self.clone();
        tokio::spawn(async move {
            match action {
                GuardianAction::DeclareDead {
                    host,
                    expected,
                    record,
                } => {
                    this.declare_dead(host, expected, record).await;
                }
                GuardianAction::TakeOver {
                    host,
                    expected,
                    record,
                } => {
                    let detail = format!("guardian {}", this.member.identity.host);
                    this.events
                        .record(EventKind::GuardianChanged, None, host.clone(), detail);
                    this.swap(&host_key(&host), expected, &record).await;
                    this.observe_host(&host).await;
                }
            }
        });
    }

    async fn declare_dead(&self, host: HostId, expected: Revision, record: HostRecord) {
        let value = encode(&record);
        match self
            .kv
            .compare_and_swap(&host_key(&host), expected, value)
            .await
        {
            Err(KvError::NotSent { .. }) => {
                self.member
                    .update(|core, _now| core.guardian.tombstone_not_sent(&host, expected));
            }
            Ok(CasOutcome::Swapped { .. }) => {
                warn!(self.logger, "host declared dead"; "host" => &*host);
                let detail = format!("incarnation {}", record.incarnation);
                self.events
                    .record(EventKind::HostDeclaredDead, None, host.clone(), detail);
            }
            _ => {}
        }
        self.observe_host(&host).await;
    }

    async fn observe_host(&self, host: &HostId) {
        if let Some((revision, record)) = self.read_host(host).await {
            let _ = self
                .member
                .update(|core, _now| core.members.observe(host.clone(), revision, record));
            self.in_force.touch();
        }
    }

    // ------------------------------------------------------------------------

    fn run_assignment_action(&self, action: AssignmentAction) {
        let this = self.clone();
        match action {
            AssignmentAction::HandOver {
                shard,
                to,
                frozen_at,
            } => {
                let state = self.shards.freeze(shard);
                let detail = format!("to {}", to.host);
                self.note_shard(EventKind::ShardReleased, shard, detail);
                tokio::spawn(async move { this.hand_over(shard, to, frozen_at, state).await });
            }
            AssignmentAction::WriteAssignment {
                expected,
                assignment,
                claimed: _,
                released: _,
            } => {
                tokio::spawn(async move { this.write_assignment(expected, assignment).await });
            }
            AssignmentAction::ReadAssignment => {
                tokio::spawn(async move { this.read_assignment().await });
            }
        }
    }

    async fn hand_over(
        &self,
        shard: ShardId,
        to: ShardOwner,
        frozen_at: Revision,
        state: Option<Vec<u8>>,
    ) {
        let staged = match state {
            Some(state) => self.stage(shard, &to, frozen_at, state).await,
            None => false,
        };
        self.member.update(|core, _now| {
            if staged {
                core.planner.state_staged(shard, frozen_at);
            } else {
                core.planner.staging_failed(shard, frozen_at);
            }
        });
    }

    async fn stage(
        &self,
        shard: ShardId,
        to: &ShardOwner,
        frozen_at: Revision,
        state: Vec<u8>,
    ) -> bool {
        let (address, incarnation) = self.member.read(|core, _now| {
            let entry = core.members.get(&to.host);
            (
                entry.map(|entry| entry.record.address.control.clone()),
                core.incarnation,
            )
        });
        let Some(address) = address else { return false };
        let request = HandoverRequest {
            host: self.member.identity.host.clone(),
            incarnation,
            to_incarnation: to.incarnation,
            assignment: frozen_at,
            shard,
            state,
        };
        let target = PeerTarget {
            address: &address,
            path: "/peer/handover",
            timeout: HANDOVER_TIMEOUT,
        };
        matches!(
            self.client.call(target, &request).await,
            Ok(PeerAck::Accepted)
        )
    }

    async fn write_assignment(&self, expected: Revision, assignment: Assignment) {
        let outcome = self.swap(ASSIGNMENT_KEY, expected, &assignment).await;
        self.member.update(|core, now| {
            core.planner
                .write_finished(expected, assignment, outcome, now);
        });
        self.in_force.touch();
    }

    async fn read_assignment(&self) {
        let Ok(entry) = self.kv.get(ASSIGNMENT_KEY).await else {
            return;
        };
        let (revision, assignment) = match entry {
            Some(entry) => match serde_json::from_slice(&entry.value) {
                Ok(assignment) => (entry.mod_revision, assignment),
                Err(_) => return,
            },
            None => (0, Assignment::default()),
        };
        self.member
            .update(|core, _now| core.planner.assignment_observed(revision, assignment));
        self.in_force.touch();
    }

    fn acquire(&self, gain: AcquiredShard) {
        let staged = self.member.update(|core, _now| core.staged.take(&gain));
        let detail = match (&staged, &gain.previous) {
            (Some(staged), _) => format!("state from {}", staged.from.host),
            (None, Some(previous)) => format!("recovered after {}", previous.host),
            (None, None) => "new".to_owned(),
        };
        self.note_shard(EventKind::ShardAcquired, gain.shard, detail);
        self.shards.acquire(&gain, staged, self.member.now());
    }

    // ------------------------------------------------------------------------

    async fn swap<T: serde::Serialize>(
        &self,
        key: &str,
        expected: Revision,
        value: &T,
    ) -> WriteOutcome {
        match self.kv.compare_and_swap(key, expected, encode(value)).await {
            Ok(CasOutcome::Swapped { revision }) => WriteOutcome::Written { revision },
            Ok(CasOutcome::Conflict { .. }) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        }
    }

    fn assignment_revision(&self) -> Revision {
        self.member.read(|core, _now| {
            core.planner
                .assignment()
                .map_or(0, |(revision, _)| revision)
        })
    }

    fn note_authority(&self, has_authority: bool) {
        let kind = if has_authority {
            EventKind::AuthorityGained
        } else {
            EventKind::AuthorityLost
        };
        info!(self.logger, "authority"; "held" => has_authority);
        self.events
            .record(kind, None, self.member.identity.host.clone(), "");
    }

    fn note_shard(&self, kind: EventKind, shard: ShardId, detail: String) {
        self.events
            .record(kind, None, Name::from(format!("shard {shard}")), detail);
    }
}

/// Records are plain structs without maps of other keys than strings, so encoding them cannot fail.
fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
