//! Messages that copy idempotency records to another host while the key-value service is unreachable.

use serde::Deserialize;
use serde::Serialize;

use crate::HostId;
use crate::Incarnation;
use crate::ShardId;

/// Asks the sender's guardian, the host that monitors it, to keep a record that cannot be written to the key-value
/// service.
///
/// The reply is a [`PeerAck`](crate::PeerAck). A later copy of the same key replaces the earlier one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeepCopyRequest {
    /// Host that owns the shard and sends the copy.
    pub host: HostId,
    /// Incarnation of the owner's process.
    pub incarnation: Incarnation,
    /// Shard that the record belongs to.
    pub shard: ShardId,
    /// Idempotency record, encoded as MessagePack.
    #[serde(with = "serde_with::As::<serde_with::Bytes>")]
    pub record: Vec<u8>,
}

/// Asks the guardian of a dead owner for the copies that it kept, so that the shard's new owner can restore them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListCopiesRequest {
    /// Host that owned the shard and was declared dead.
    pub host: HostId,
    /// Shard that the sender took over.
    pub shard: ShardId,
}

/// Answers a [`ListCopiesRequest`] with the records that the guardian kept.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ListCopiesReply {
    /// True if the guardian's process has monitored the owner's present incarnation from its start. Otherwise copies
    /// may have been lost with an earlier incarnation of the guardian, and the list must not be relied on.
    pub is_complete: bool,
    /// Idempotency records of the shard.
    pub records: Vec<RecordBytes>,
}

/// Holds the encoded bytes of one record or stored value; serialized as a byte string, not as a list of numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBytes(
    /// MessagePack for an idempotency record; for a value of the store, the bytes as written there.
    #[serde(with = "serde_with::As::<serde_with::Bytes>")]
    pub Vec<u8>,
);
