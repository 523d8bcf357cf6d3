//! Membership, assignment and snapshot messages, and the records kept in the key-value service.

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

/// Record `hosts/<id>` of one control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRecord {
    /// Run of the process that owns the record.
    pub incarnation: Incarnation,
    /// Addresses of the host's processes.
    pub address: HostAddress,
    /// Host that watches this one.
    pub guardian: Option<HostId>,
    /// Whether the incarnation may still act.
    pub state: HostState,
    /// Number of the last renewal; lets the writer recognise its own write after a lost answer.
    #[serde(default)]
    pub renewal: u64,
}

/// Where a host's processes listen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// IP address and port of the control process.
    pub control: Name,
    /// Place of the host.
    pub place: Name,
    /// Region of the place.
    pub region: Name,
}

/// State of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// May own shards.
    Live,
    /// Hands its shards over and takes none.
    Leaving,
    /// Tombstone: this incarnation never acts again.
    Dead,
}

/// Record `assignment`: the owner of each shard. Its revision is the fencing number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Owner per shard, indexed by [`ShardId`]; `None` for a shard never owned.
    pub owners: Vec<Option<ShardOwner>>,
}

/// Owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwner {
    /// Host of the owner.
    pub host: HostId,
    /// Run of the owner's control process.
    pub incarnation: Incarnation,
}

impl Assignment {
    /// Owner of `shard`, if it has one.
    pub fn owner(&self, shard: ShardId) -> Option<&ShardOwner> {
        self.owners.get(usize::from(shard)).and_then(Option::as_ref)
    }
}

/// Sent by a host to its guardian, and to other peers to spread revisions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Sender.
    pub host: HostId,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Number of this heartbeat; the reply repeats it.
    pub sequence: u64,
    /// Revision of the sender's host record that names the receiver as guardian.
    pub record_revision: Revision,
    /// Revisions of the documents that the sender holds.
    pub documents: BTreeMap<Name, Revision>,
    /// Revision of the assignment that the sender holds.
    pub assignment: Revision,
}

/// Answer to a [`HeartbeatRequest`].
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// True if the receiver promises not to declare the sender dead before its receive time + T.
    pub acknowledged: bool,
    /// Repeated from the request.
    pub sequence: u64,
    /// Revisions of the documents that the receiver holds.
    pub documents: BTreeMap<Name, Revision>,
    /// Revision of the assignment that the receiver holds.
    pub assignment: Revision,
    /// Time since the receiver last knew its revisions to be current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "staleness_ms")]
    pub staleness: Duration,
}

/// Asks for what is in force; answered when something is newer than `after`, or after a timeout.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Version of the sender's snapshot; 0 asks for the current one at once.
    pub after: u64,
    /// Documents that the sender holds; unchanged ones are left out of the reply.
    pub documents: BTreeMap<Name, Revision>,
}

/// What is in force on a host.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Local version number in the replying process.
    pub version: u64,
    /// Documents newer than those in the request.
    pub documents: Vec<InForceDocument>,
    /// Current owner of each shard.
    pub assignment: Assignment,
    /// Revision of the assignment.
    pub assignment_revision: Revision,
    /// Known hosts, dead ones left out.
    pub hosts: BTreeMap<HostId, HostAddress>,
    /// Backend servers from the host list; `None` until the replying process has read it.
    pub servers: Option<Vec<ServerEntry>>,
    /// Time since the replying process last knew its revisions to be current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "staleness_ms")]
    pub staleness: Duration,
}

/// One service's document at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceDocument {
    /// Service.
    pub service: Name,
    /// Revision of the key-value record.
    pub revision: Revision,
    /// Document text, TOML.
    pub text: Name,
}

/// Backend server in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name of the backend server.
    pub server: Name,
    /// Group of backend servers that a document refers to, for example `pruef-llm`.
    pub group: Name,
    /// IP address and port.
    pub address: Name,
    /// Place of the backend server.
    pub place: Name,
    /// State by the host list, which lags.
    pub state: ServerState,
}

/// State of a backend server by the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// May get work.
    Live,
    /// Must get no new work.
    Leaving,
}

/// Moves the state of shards to their next owner, before the assignment names it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandoverRequest {
    /// Present owner.
    pub host: HostId,
    /// Run of the present owner.
    pub incarnation: Incarnation,
    /// Run of the receiver that the state is meant for.
    pub to_incarnation: Incarnation,
    /// Assignment revision under which the state was frozen.
    pub assignment: Revision,
    /// Shard that moves.
    pub shard: ShardId,
    /// State of the shard, MessagePack.
    #[serde(with = "serde_with::As::<serde_with::Bytes>")]
    pub state: Vec<u8>,
}

/// Plain acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAck {
    /// The message took effect, now or earlier.
    Accepted,
    /// The message changed nothing: stale incarnation, revision or ticket.
    Stale,
    /// This process does not own the shard now; look the owner up again.
    NotOwner,
}
