//! Writes owners' records to the key-value service, in batches and fenced by the assignment.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use zinniahinge_kv::BatchOutcome;
use zinniahinge_kv::KvClient;
use zinniahinge_kv::MAX_BATCH_OPERATIONS;
use zinniahinge_kv::WriteOperation;
use zinniahinge_types::Assignment;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;

use crate::in_force::InForceCell;
use crate::member_core::MemberCell;
use crate::record_keys::ASSIGNMENT_KEY;

/// Time in which writes are gathered. It bounds the calls to 100 a second per host at any request rate.
const GATHER_TIME: Duration = Duration::from_millis(10);

/// Writes that may wait for the writer.
const QUEUE_LIMIT: usize = 4096;

/// Attempts of one batch. An attempt fails if the assignment changed since it was read.
const MAX_ATTEMPTS: u32 = 4;

/// What happened to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The record is durable.
    Written,
    /// This process does not own the shard any more; nothing was written.
    NotOwner,
    /// The key-value service gave no answer. The write may have taken effect.
    Unavailable,
}

struct RecordWrite {
    shard: ShardId,
    key: Arc<str>,
    /// `None` removes the record.
    value: Option<Bytes>,
    done: oneshot::Sender<RecordOutcome>,
}

/// Sends records to the writer task.
#[derive(Clone)]
pub struct RecordWriter {
    sender: mpsc::Sender<RecordWrite>,
}

/// Task that writes the records.
pub struct RecordWriterTask {
    kv: KvClient,
    member: Arc<MemberCell>,
    in_force: Arc<InForceCell>,
    receiver: mpsc::Receiver<RecordWrite>,
}

impl RecordWriter {
    /// A writer and its task.
    pub fn new(
        kv: KvClient,
        member: Arc<MemberCell>,
        in_force: Arc<InForceCell>,
    ) -> (Self, RecordWriterTask) {
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        (
            Self { sender },
            RecordWriterTask {
                kv,
                member,
                in_force,
                receiver,
            },
        )
    }

    /// Writes a record of `shard`; without a value the record is removed.
    pub async fn write(
        &self,
        shard: ShardId,
        key: impl Into<Arc<str>>,
        value: Option<Bytes>,
    ) -> RecordOutcome {
        let (done, outcome) = oneshot::channel();
        let write = RecordWrite {
            shard,
            key: key.into(),
            value,
            done,
        };
        if self.sender.send(write).await.is_err() {
            return RecordOutcome::Unavailable;
        }
        outcome.await.unwrap_or(RecordOutcome::Unavailable)
    }
}

impl RecordWriterTask {
    /// Writes until `token` is cancelled.
    pub async fn run(mut self, token: CancellationToken) {
        let mut held = None;
        loop {
            let first = match held.take() {
                Some(write) => write,
                None => match token.run_until_cancelled(self.receiver.recv()).await {
                    Some(Some(write)) => write,
                    _ => return,
                },
            };
            tokio::time::sleep(GATHER_TIME).await;
            let batch;
            (batch, held) = self.gather(first);
            self.write_batch(batch).await;
        }
    }

    /// Takes what waits, up to the limit of a transaction. A second write to a key must come after the first, so
    /// it starts the next batch.
    fn gather(&mut self, first: RecordWrite) -> (Vec<RecordWrite>, Option<RecordWrite>) {
        let mut keys = HashSet::from([first.key.clone()]);
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_OPERATIONS - 1 {
            let Ok(write) = self.receiver.try_recv() else {
                break;
            };
            if !keys.insert(write.key.clone()) {
                return (batch, Some(write));
            }
            batch.push(write);
        }
        (batch, None)
    }

    async fn write_batch(&self, mut batch: Vec<RecordWrite>) {
        for _ in 0..MAX_ATTEMPTS {
            let Some(fence) = self.keep_owned(&mut batch) else {
                return;
            };
            match self.kv.write_batch(&operations(&batch, fence)).await {
                Ok(BatchOutcome::Swapped { .. }) => {
                    self.in_force.mark_heard(std::time::Instant::now());
                    finish(batch, RecordOutcome::Written);
                    return;
                }
                Ok(BatchOutcome::Conflict { .. }) => self.refresh_assignment().await,
                Err(_) => break,
            }
        }
        finish(batch, RecordOutcome::Unavailable);
    }

    /// Answers writes to shards that this process may not act for, and returns the fencing number for the rest.
    fn keep_owned(&self, batch: &mut Vec<RecordWrite>) -> Option<Revision> {
        let mut fence = None;
        let mut kept = Vec::with_capacity(batch.len());
        for write in batch.drain(..) {
            match self.member.gate.check(write.shard, self.member.now()) {
                Some(revision) => {
                    fence = Some(revision);
                    kept.push(write);
                }
                None => finish(vec![write], RecordOutcome::NotOwner),
            }
        }
        *batch = kept;
        fence
    }

    async fn refresh_assignment(&self) {
        let Ok(Some(entry)) = self.kv.get(ASSIGNMENT_KEY).await else {
            return;
        };
        let Ok(assignment) = serde_json::from_slice::<Assignment>(&entry.value) else {
            return;
        };
        self.member.update(|core, _now| {
            core.planner
                .assignment_observed(entry.mod_revision, assignment);
        });
        self.in_force.touch();
    }
}

/// The check makes the service refuse the batch if the assignment is not the one that this process acts on. A paused
/// former owner that wakes up between its own check and the write therefore changes nothing.
fn operations(batch: &[RecordWrite], fence: Revision) -> Vec<WriteOperation> {
    let check = WriteOperation::check(ASSIGNMENT_KEY).with_expected(fence);
    let writes = batch.iter().map(|write| match &write.value {
        Some(value) => WriteOperation::put(write.key.clone(), value.clone()),
        None => WriteOperation::delete(write.key.clone()),
    });
    std::iter::once(check).chain(writes).collect()
}

fn finish(batch: Vec<RecordWrite>, outcome: RecordOutcome) {
    for write in batch {
        let _ = write.done.send(outcome);
    }
}
