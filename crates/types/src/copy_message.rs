//! Messages that keep idempotency records safe while the key-value service is out.

use serde::Deserialize;
use serde::Serialize;

use crate::HostId;
use crate::Incarnation;
use crate::ShardId;

/// Asks the sender's guardian to keep a record that cannot be written to the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeepCopyRequest {
    /// Owner of the shard.
    pub host: HostId,
    /// Run of the owner.
    pub incarnation: Incarnation,
    /// Shard of the record.
    pub shard: ShardId,
    /// Record, MessagePack.
    #[serde(with = "serde_with::As::<serde_with::Bytes>")]
    pub record: Vec<u8>,
}

/// Asks the guardian of a dead owner for the records that it kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListCopiesRequest {
    /// Dead owner.
    pub host: HostId,
    /// Shard that was taken over.
    pub shard: ShardId,
}

/// Records that a guardian kept for a dead owner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ListCopiesReply {
    /// True if the guardian has watched the owner's present run from its start, so that no copy was lost with an
    /// earlier run of the guardian.
    pub is_complete: bool,
    /// Records, MessagePack each.
    pub records: Vec<RecordBytes>,
}

/// One record, MessagePack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBytes(
    /// Bytes of the record.
    #[serde(with = "serde_with::As::<serde_with::Bytes>")]
    pub Vec<u8>,
);
