//! Messages about membership, shard ownership and configuration, and the records kept in the key-value service.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::HostId;
use crate::Incarnation;
use crate::Name;
use crate::Revision;
use crate::ShardId;

/// Stores one control process's membership under the key `hosts/<id>` of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRecord {
    /// Incarnation of the process that owns the record.
    pub incarnation: Incarnation,
    /// Address and location of the host.
    pub address: HostAddress,
    /// Host that monitors this one and may declare it dead; `None` before one is chosen.
    pub guardian: Option<HostId>,
    /// State of the incarnation, which says whether it may still act.
    pub state: HostState,
    /// Number of the last renewal. After a write whose answer was lost, the writer recognises its own write by it.
    #[serde(default)]
    pub renewal: u64,
}

/// Gives the address of a host's control process and the host's location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// IP address and port of the control process.
    pub control: Name,
    /// Data centre of the host.
    pub place: Name,
    /// Region of the data centre.
    pub region: Name,
}

/// States whether an incarnation may own shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// May own shards.
    Live,
    /// Hands its shards over and takes no new ones.
    Leaving,
    /// Declared dead: this incarnation must never act again. The record stays as a tombstone.
    Dead,
}

/// Stores the owner of each shard under the key `assignment` of the key-value service.
///
/// The record's revision is the fencing number of what owners write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Owner per shard, indexed by [`ShardId`]; `None` for a shard that was never owned.
    pub owners: Vec<Option<ShardOwner>>,
}

/// Identifies the owner of a shard; a later incarnation of the same host is not the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    /// Host that owns the shard.
    pub host: HostId,
    /// Incarnation of the owner's control process.
    pub incarnation: Incarnation,
}

impl Assignment {
    /// Returns the owner of `shard`; `None` if it was never owned or is out of range.
    pub fn owner(&self, shard: ShardId) -> Option<&ShardOwner> {
        self.owners.get(usize::from(shard)).and_then(Option::as_ref)
    }
}

/// Shows a host's guardian that the host is alive, and tells it and other peers the revisions that the sender holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Host that sends this.
    pub host: HostId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Number of this heartbeat, which the reply repeats.
    pub sequence: u64,
    /// Revision of the sender's host record that names the receiver as guardian.
    pub record_revision: Revision,
    /// Revisions of the configuration documents that the sender holds, by service.
    pub documents: BTreeMap<Name, Revision>,
    /// Revision of the assignment that the sender holds.
    pub assignment: Revision,
}

/// Answers a [`HeartbeatRequest`].
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// True if the receiver promises not to declare the sender dead before the authority term T has passed since it
    /// received the heartbeat.
    pub acknowledged: bool,
    /// Number of the heartbeat that is answered.
    pub sequence: u64,
    /// Revisions of the configuration documents that the receiver holds, by service.
    pub documents: BTreeMap<Name, Revision>,
    /// Revision of the assignment that the receiver holds.
    pub assignment: Revision,
    /// Time since the receiver last confirmed that its revisions are current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "staleness_ms")]
    pub staleness: Duration,
}

/// Asks a control process for the active configuration, shard owners and hosts (a long poll).
///
/// The reply comes when the snapshot is newer than `after`, or after a timeout.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Version of the snapshot that the sender holds; 0 asks for the current one at once.
    pub after: u64,
    /// Revisions of the configuration documents that the sender holds, by service. The reply leaves out unchanged ones.
    pub documents: BTreeMap<Name, Revision>,
}

/// Answers a [`SnapshotRequest`].
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Version of the snapshot, counted by the replying process; versions of different processes are unrelated.
    pub version: u64,
    /// New snapshot; `None` if the version in the request is still current.
    pub content: Option<SnapshotContent>,
    /// Time since the replying process last confirmed that its revisions are current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "staleness_ms")]
    pub staleness: Duration,
}

/// Holds what an entry process needs to serve requests: configuration, shard owners, hosts and backend servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotContent {
    /// Configuration documents that are newer than those in the request.
    pub documents: Vec<InForceDocument>,
    /// Current owner of each shard.
    pub assignment: Assignment,
    /// Revision of the assignment.
    pub assignment_revision: Revision,
    /// Known hosts, except those declared dead.
    pub hosts: BTreeMap<HostId, HostAddress>,
    /// Backend servers from the host list; `None` until the replying process has read it.
    pub servers: Option<Vec<ServerEntry>>,
}

/// Holds one service's configuration document at the revision that is active.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceDocument {
    /// Service that the document configures.
    pub service: Name,
    /// Revision of the document's record in the key-value service.
    pub revision: Revision,
    /// Text of the document, TOML.
    pub text: Name,
}

/// Describes one backend server as the platform's host list gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name of the backend server.
    pub server: Name,
    /// Group of backend servers that a configuration document refers to, for example `pruef-llm`.
    pub group: Name,
    /// IP address and port.
    pub address: Name,
    /// Data centre of the backend server.
    pub place: Name,
    /// State in the host list, which lags behind the backend server.
    pub state: ServerState,
}

/// States whether a backend server may get new requests, according to the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// May get new requests.
    Live,
    /// Must get no new requests; it is about to stop.
    Leaving,
}

/// Transfers one shard's state to its next owner, before the assignment names that owner.
///
/// The present owner has frozen the state; the reply is a [`PeerAck`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandoverRequest {
    /// Present owner.
    pub host: HostId,
    /// Incarnation of the present owner's process.
    pub incarnation: Incarnation,
    /// Incarnation of the receiver that the state is meant for; any other one must refuse it.
    pub to_incarnation: Incarnation,
    /// Assignment revision under which the state was frozen.
    pub assignment: Revision,
    /// Shard to transfer.
    pub shard: ShardId,
    /// State of the shard, encoded as MessagePack.
    #[serde(with = "serde_with::As::<serde_with::Bytes>")]
    pub state: Vec<u8>,
}

/// Acknowledges a message that needs no other answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAck {
    /// The message took effect, now or earlier.
    Accepted,
    /// The message changed nothing: its incarnation, revision or ticket is out of date, or it could not be stored.
    Stale,
    /// The receiver does not own the shard; the sender must look up the owner again.
    NotOwner,
}
