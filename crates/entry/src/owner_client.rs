//! Calls to the process that owns a piece of state, wherever it is now.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerTarget;
use zinniahinge_types::ResourceKey;

use crate::entry_snapshot::SnapshotCell;

/// First pause before the owner is looked up again.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause. A takeover takes seconds; polling faster would only load the new owner.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Longest wait for one answer that is not a long poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// No owner answered before the deadline. The message may have reached a former owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerUnavailable;

/// Result of an owner call.
pub type Result<T, E = OwnerUnavailable> = std::result::Result<T, E>;

/// One message to an owner.
#[derive(Clone, Copy)]
pub struct OwnerCall<'a, Req> {
    /// State that the message is about.
    pub key: &'a ResourceKey,
    /// Path of the message type.
    pub path: &'a str,
    /// The message.
    pub message: &'a Req,
    /// When to give up.
    pub deadline: Instant,
    /// True if the answer may take until the deadline.
    pub long_poll: bool,
}

/// Finds owners and repeats messages until one answers. Messages carry ids, so that a repeat has no second effect.
#[derive(Clone)]
pub struct OwnerClient {
    client: PeerClient,
    cell: Arc<SnapshotCell>,
}

impl OwnerClient {
    /// Creates a client that looks owners up in `cell`.
    pub fn new(client: PeerClient, cell: Arc<SnapshotCell>) -> Self {
        Self { client, cell }
    }

    /// Sends the message until an owner answers or the deadline passes. `is_refused` recognises the answer of a
    /// process that does not own the state.
    pub async fn call<Req, Rep>(
        &self,
        call: OwnerCall<'_, Req>,
        is_refused: impl Fn(&Rep) -> bool,
    ) -> Result<Rep>
    where
        Req: Serialize,
        Rep: DeserializeOwned,
    {
        let mut pause = FIRST_PAUSE;
        loop {
            let left = call.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(OwnerUnavailable);
            }
            if let Some(reply) = self.try_once(&call, left).await
                && !is_refused(&reply)
            {
                return Ok(reply);
            }
            tokio::time::sleep(pause.min(left)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn try_once<Req, Rep>(&self, call: &OwnerCall<'_, Req>, left: Duration) -> Option<Rep>
    where
        Req: Serialize,
        Rep: DeserializeOwned,
    {
        let address = self.cell.load().owner_address(call.key)?;
        let timeout = if call.long_poll {
            left
        } else {
            left.min(CALL_TIMEOUT)
        };
        let target = PeerTarget {
            address: &address,
            path: call.path,
            timeout,
        };
        tokio::select! {
            reply = self.client.call(target, call.message) => reply.ok(),
            () = self.owner_moved(call.key, &address) => None,
        }
    }

    /// Completes when `key` has another owner than `address`. Without it, a long poll at a paused owner would
    /// last until the deadline although a successor could answer.
    async fn owner_moved(&self, key: &ResourceKey, address: &str) {
        let mut changed = self.cell.subscribe();
        while changed.changed().await.is_ok() {
            if self.cell.load().owner_address(key).as_deref() != Some(address) {
                return;
            }
        }
    }
}
