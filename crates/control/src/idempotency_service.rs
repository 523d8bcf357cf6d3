//! Decides whether a request with an idempotency key may run.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use sha2::Digest;
use sha2::Sha256;
use tokio_util::sync::CancellationToken;
use zinniahinge_kv::KvClient;
use zinniahinge_limits::BeginDecision;
use zinniahinge_limits::FinishOutcome;
use zinniahinge_limits::IdempotencyKey;
use zinniahinge_limits::IdempotencyRecord;
use zinniahinge_limits::IdempotencySettings;
use zinniahinge_limits::IdempotencyTable;
use zinniahinge_limits::RecordPhase;
use zinniahinge_limits::RecordedDecision;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerTarget;
use zinniahinge_types::BeginReply;
use zinniahinge_types::BeginRequest;
use zinniahinge_types::FinishRequest;
use zinniahinge_types::HostId;
use zinniahinge_types::KeepCopyRequest;
use zinniahinge_types::ListCopiesReply;
use zinniahinge_types::ListCopiesRequest;
use zinniahinge_types::Name;
use zinniahinge_types::PeerAck;
use zinniahinge_types::RequestId;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::ShardId;

use crate::member_core::MemberCell;
use crate::record_keys::idempotency_key;
use crate::record_keys::idempotency_prefix;
use crate::record_writer::RecordOutcome;
use crate::record_writer::RecordWriter;
use crate::shard_table::ShardTable;

/// Pause between two attempts to write what the service did not take, and to read back what a former owner left.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time for the guardian to keep or return copies.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

/// Records that the service has not taken yet. They are also at the guardian.
const MAX_BACKLOG: usize = 100_000;

/// Handles `begin` and `finish`, and reads records back after a takeover.
#[derive(Clone)]
pub struct IdempotencyService {
    /// Shards.
    pub shards: Arc<ShardTable>,
    /// Own guardian and the peers' addresses.
    pub member: Arc<MemberCell>,
    /// Writes records.
    pub writer: RecordWriter,
    /// Reads records.
    pub kv: KvClient,
    /// Peers.
    pub client: PeerClient,
    /// Records that the service has not taken yet.
    pub backlog: Arc<Mutex<Vec<BacklogRecord>>>,
}

/// Record that the service has not taken yet.
#[derive(Clone)]
pub struct BacklogRecord {
    shard: ShardId,
    record: IdempotencyRecord,
}

impl IdempotencyService {
    /// Answers the start of a request. `Run` is answered only after the record is durable.
    pub async fn begin(&self, request: BeginRequest) -> BeginReply {
        let BeginRequest {
            account,
            key,
            fingerprint,
            request_id,
        } = request;
        let resource = ResourceKey::Idempotency {
            account: account.clone(),
            key: key.clone(),
        };
        let shard = resource.shard();
        let key = IdempotencyKey::new(&account, &key);
        let decision = self.with_table(shard, |table, now| {
            table.begin(&key, &fingerprint, request_id, now)
        });
        match decision {
            Some(BeginDecision::Record) => {
                let record = IdempotencyRecord {
                    key,
                    fingerprint,
                    attempt: Some(request_id),
                    age: Duration::ZERO,
                    phase: RecordPhase::Running,
                };
                // The handler is dropped when the sender gives the call up and asks again. The key must not stay
                // unrecorded then, or every repeat would wait for a record that nobody writes.
                let this = self.clone();
                let recorded =
                    tokio::spawn(async move { this.record(shard, record, request_id).await });
                recorded.await.unwrap_or(BeginReply::NotOwner)
            }
            Some(BeginDecision::Run) => BeginReply::Run,
            Some(BeginDecision::Stored(answer)) => BeginReply::Stored((*answer).clone()),
            Some(BeginDecision::RanAnswerNotKept) => BeginReply::AnswerNotKept,
            Some(BeginDecision::OutcomeUnknown) => BeginReply::OutcomeUnknown,
            Some(BeginDecision::InProgress) => BeginReply::InProgress,
            Some(BeginDecision::Mismatch) => BeginReply::Mismatch,
            Some(BeginDecision::Full) => BeginReply::Unavailable,
            // The same attempt is being recorded by an earlier message; the sender asks again.
            Some(BeginDecision::AwaitRecord | BeginDecision::Frozen) | None => BeginReply::NotOwner,
        }
    }

    async fn record(
        &self,
        shard: ShardId,
        record: IdempotencyRecord,
        attempt: RequestId,
    ) -> BeginReply {
        let key = record.key.clone();
        match self.make_durable(shard, &record).await {
            RecordOutcome::Written => {}
            // The sender asks the next owner; nothing was written under this one.
            RecordOutcome::NotOwner => return BeginReply::NotOwner,
            RecordOutcome::Unavailable => {
                self.with_table(shard, |table, _now| table.abandon(&key, attempt));
                return BeginReply::Unavailable;
            }
        }
        match self.with_table(shard, |table, _now| table.confirm_recorded(&key, attempt)) {
            Some(RecordedDecision::Run) => BeginReply::Run,
            Some(RecordedDecision::Withdrawn) => BeginReply::Unavailable,
            Some(RecordedDecision::Frozen) | None => BeginReply::NotOwner,
        }
    }

    /// Writes the record to the service or, while that is out, copies it to the guardian.
    async fn make_durable(&self, shard: ShardId, record: &IdempotencyRecord) -> RecordOutcome {
        let outcome = self.write(shard, record).await;
        if outcome == RecordOutcome::Unavailable && self.copy_to_guardian(shard, record).await {
            self.add_backlog(shard, record.clone());
            return RecordOutcome::Written;
        }
        outcome
    }

    /// Takes the end of a request in.
    pub async fn finish(&self, request: FinishRequest) -> PeerAck {
        let FinishRequest {
            account,
            key,
            fingerprint,
            request_id,
            answer,
            ran,
        } = request;
        let resource = ResourceKey::Idempotency {
            account: account.clone(),
            key: key.clone(),
        };
        let shard = resource.shard();
        let key = IdempotencyKey::new(&account, &key);
        if !ran {
            return self.abandon(shard, key, request_id).await;
        }
        let outcome = answer.map_or(FinishOutcome::Unknown, FinishOutcome::Answer);
        let changed = self.with_table(shard, |table, now| {
            table.finish(&key, &fingerprint, request_id, outcome, now)
        });
        match changed {
            None => PeerAck::NotOwner,
            Some(None) => PeerAck::Stale,
            Some(Some(phase)) => {
                let record = IdempotencyRecord {
                    key,
                    fingerprint,
                    attempt: Some(request_id),
                    age: Duration::ZERO,
                    phase,
                };
                self.write_later(shard, record);
                PeerAck::Accepted
            }
        }
    }

    /// The durable record goes first: a successor that finds it answers "outcome unknown", which is safe but wrong.
    async fn abandon(&self, shard: ShardId, key: IdempotencyKey, attempt: RequestId) -> PeerAck {
        let released = self.with_table(shard, |table, _now| table.abandon(&key, attempt));
        match released {
            None => PeerAck::NotOwner,
            Some(false) => PeerAck::Stale,
            Some(true) => {
                self.remove_backlog(&key);
                let record_key = record_key(shard, &key);
                let this = self.clone();
                tokio::spawn(async move { this.writer.write(shard, record_key, None).await });
                PeerAck::Accepted
            }
        }
    }

    // ------------------------------------------------------------------------

    async fn write(&self, shard: ShardId, record: &IdempotencyRecord) -> RecordOutcome {
        let Ok(value) = serde_json::to_vec(record) else {
            return RecordOutcome::Unavailable;
        };
        let key = record_key(shard, &record.key);
        self.writer
            .write(shard, key, Some(Bytes::from(value)))
            .await
    }

    fn write_later(&self, shard: ShardId, record: IdempotencyRecord) {
        let this = self.clone();
        tokio::spawn(async move {
            if this.write(shard, &record).await == RecordOutcome::Unavailable {
                this.copy_to_guardian(shard, &record).await;
                this.add_backlog(shard, record);
            }
        });
    }

    async fn copy_to_guardian(&self, shard: ShardId, record: &IdempotencyRecord) -> bool {
        let (address, incarnation) = self.member.read(|core, _now| {
            let guardian = core
                .authority
                .guardian()
                .and_then(|guardian| core.members.get(guardian));
            (
                guardian.map(|entry| entry.record.address.control.clone()),
                core.incarnation,
            )
        });
        let (Some(address), Ok(record)) = (address, rmp_serde::to_vec_named(record)) else {
            return false;
        };
        let host = self.member.identity.host.clone();
        let request = KeepCopyRequest {
            host,
            incarnation,
            shard,
            record,
        };
        let target = PeerTarget {
            address: &address,
            path: "/peer/copy",
            timeout: COPY_TIMEOUT,
        };
        matches!(
            self.client.call(target, &request).await,
            Ok(PeerAck::Accepted)
        )
    }

    fn add_backlog(&self, shard: ShardId, record: IdempotencyRecord) {
        let mut backlog = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
        backlog.retain(|held| held.record.key != record.key);
        if backlog.len() < MAX_BACKLOG {
            backlog.push(BacklogRecord { shard, record });
        }
    }

    fn remove_backlog(&self, key: &IdempotencyKey) {
        let mut backlog = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
        backlog.retain(|held| held.record.key != *key);
    }

    // ------------------------------------------------------------------------

    /// Writes the backlog and reads back records of shards that were taken over, until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        while token
            .run_until_cancelled(tokio::time::sleep(RETRY_PAUSE))
            .await
            .is_some()
        {
            self.flush_backlog().await;
            for (shard, former) in self.unrecovered() {
                let this = self.clone();
                tokio::spawn(async move { this.recover(shard, former).await });
            }
        }
    }

    async fn flush_backlog(&self) {
        let backlog = {
            let held = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
            held.clone()
        };
        for BacklogRecord { shard, record } in backlog {
            match self.write(shard, &record).await {
                RecordOutcome::Unavailable => return,
                RecordOutcome::Written | RecordOutcome::NotOwner => {
                    let mut held = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
                    held.retain(|held| held.record != record);
                }
            }
        }
    }

    fn unrecovered(&self) -> Vec<(ShardId, HostId)> {
        let mut shards = Vec::new();
        self.shards.for_each(|state, _owner| {
            if let (None, Some(former)) = (&state.idempotency, &state.recovered_from) {
                shards.push((state.shard, former.clone()));
            }
        });
        shards
    }

    async fn recover(&self, shard: ShardId, former: HostId) {
        let Ok(listing) = self.kv.range_prefix(&idempotency_prefix(shard)).await else {
            return;
        };
        let entries = listing.entries.iter();
        let mut records: Vec<IdempotencyRecord> = entries
            .filter_map(|entry| serde_json::from_slice(&entry.value).ok())
            .collect();
        let copies = self.read_copies(shard, &former).await;
        let is_complete = copies.is_some();
        // The guardian's copies are newer than the service's records, so they are added first.
        let mut all = copies.unwrap_or_default();
        all.append(&mut records);
        self.shards.with_shard(shard, |state, owner| {
            if state.idempotency.is_none() {
                let mut table = IdempotencyTable::new(IdempotencySettings::default());
                table.recover(all, is_complete, owner.now);
                state.idempotency = Some(table);
            }
        });
    }

    /// Copies that the dead owner's guardian holds; `None` if they may be lost.
    async fn read_copies(&self, shard: ShardId, former: &HostId) -> Option<Vec<IdempotencyRecord>> {
        let address = self.guardian_of(former)?;
        let request = ListCopiesRequest {
            host: former.clone(),
            shard,
        };
        let target = PeerTarget {
            address: &address,
            path: "/peer/copies",
            timeout: COPY_TIMEOUT,
        };
        let reply: ListCopiesReply = self.client.call(target, &request).await.ok()?;
        if !reply.is_complete {
            return None;
        }
        let records = reply.records.iter();
        records
            .map(|record| rmp_serde::from_slice(&record.0).ok())
            .collect()
    }

    fn guardian_of(&self, former: &HostId) -> Option<Name> {
        self.member.read(|core, _now| {
            let entry = core.members.get(former)?;
            let guardian = core.members.get(entry.record.guardian.as_ref()?)?;
            Some(guardian.record.address.control.clone())
        })
    }

    fn with_table<T>(
        &self,
        shard: ShardId,
        act: impl FnOnce(&mut IdempotencyTable, zinniahinge_types::MonotonicTime) -> T,
    ) -> Option<T> {
        let result = self.shards.with_shard(shard, |state, owner| {
            state
                .idempotency
                .as_mut()
                .map(|table| act(table, owner.now))
        });
        result.flatten()
    }
}

fn record_key(shard: ShardId, key: &IdempotencyKey) -> String {
    let mut hash = Sha256::new();
    hash.update((key.account.len() as u64).to_be_bytes());
    hash.update(key.account.as_bytes());
    hash.update(key.key.as_bytes());
    let digest: String = hash
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    idempotency_key(shard, &digest)
}
