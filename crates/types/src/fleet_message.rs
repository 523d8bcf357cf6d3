//! Messages between hosts and the host that holds the duty to coordinate.

use serde::Deserialize;
use serde::Serialize;

use crate::HostId;
use crate::Name;
use crate::Revision;
use crate::StoreUpdate;

/// What a host can do for the fleet beside its own requests, in thousandths of a core.
pub type HostPower = u32;

/// What a host has done since its last report, and has under way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Sender.
    pub host: HostId,
    /// Fencing number of the holder that the sender last heard; its usage before that is not known to a new holder.
    pub fence: u64,
    /// Version of the newest view that the sender has.
    pub view_version: u64,
    /// Version of the newest totals of backend servers that the sender has.
    pub totals_version: u64,
    /// Revision of the store up to which the sender knows every change; `None` before it has read the store.
    pub store_revision: Option<Revision>,
    /// Units that client accounts used since the last acknowledged report.
    pub accounts: Vec<AccountUse>,
    /// Levels that a former holder told the sender lately; only for a holder that has not answered it yet.
    #[serde(default)]
    pub heard: Vec<PriorLevel>,
    /// Requests by backend server.
    pub backends: Vec<BackendUse>,
    /// Requests by model since the last acknowledged report.
    pub models: Vec<ModelUse>,
}

/// Level of a client account as a former holder told it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriorLevel {
    /// Client account.
    pub account: Name,
    /// Units that were left then.
    pub level: i64,
}

/// Units that a client account used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Client account.
    pub account: Name,
    /// Units; negative if charged requests turned out not to have run.
    pub units: i64,
}

/// Requests of one host on one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendUse {
    /// Backend server.
    pub backend: Name,
    /// Requests on it now.
    pub in_flight: u32,
    /// Prompt tokens of those without a first event.
    pub pending_tokens: u64,
    /// Requests that it answered since the last report.
    pub succeeded: u32,
    /// Requests that it failed since the last report.
    pub failed: u32,
}

/// Requests of one host for one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelUse {
    /// Service.
    pub service: Name,
    /// Model.
    pub model: Name,
    /// Adapter.
    pub adapter: Option<Name>,
    /// Requests.
    pub count: u32,
    /// Their prompt tokens.
    pub prompt_tokens: u64,
    /// Their largest answers, tokens.
    pub output_tokens: u64,
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetReply {
    /// The receiver does not hold the duty.
    NotHolder,
    /// What the fleet as a whole does.
    View(FleetView),
}

/// What the fleet as a whole does, as one host sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Fencing number of the holder.
    pub fence: u64,
    /// Hosts that report.
    pub hosts: u32,
    /// Client accounts with a limit.
    pub accounts: Vec<AccountLevel>,
    /// Backend servers whose totals changed since the version of the report; all that are in use if the report names
    /// another fencing number.
    pub backends: Vec<BackendTotal>,
    /// Newest version of the totals.
    pub totals_version: u64,
    /// Newest version of the models on engines.
    pub view_version: u64,
    /// Engines whose models changed since the version of the report.
    pub engines: Vec<EngineModels>,
    /// What changed in the store since the report's revision; `None` if the holder can't tell.
    pub store: Option<StoreUpdate>,
}

/// What a client account may still use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountLevel {
    /// Client account.
    pub account: Name,
    /// Units left, the receiver's reported usage taken off; negative if too much was used.
    pub level: i64,
    /// Units a second that the other hosts use.
    pub others_per_s: u64,
}

/// What all hosts together have on a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendTotal {
    /// Backend server.
    pub backend: Name,
    /// Requests.
    pub in_flight: u32,
    /// Prompt tokens of those without a first event.
    pub pending_tokens: u64,
    /// True if it fails more often than its peers.
    pub is_suspect: bool,
}

/// Asks to charge a request of a client account whose level the sender doesn't know well enough.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetCharge {
    /// Sender.
    pub host: HostId,
    /// Client account.
    pub account: Name,
    /// Units; 0 only says that the sender reaches no holder.
    pub units: u64,
}

/// Answer to a [`FleetCharge`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetChargeReply {
    /// The receiver neither holds the duty nor stands in for the holder, or doesn't know the account.
    Unknown,
    /// Decided by the holder.
    Holder {
        /// True if the request is charged.
        is_admitted: bool,
        /// What is left after it.
        level: AccountLevel,
    },
    /// Decided by a host that stands in for a holder which doesn't answer.
    StandIn {
        /// True if the request is charged; the sender reports it to the next holder.
        is_admitted: bool,
        /// When it could be, milliseconds, if it is not.
        again_in_ms: u64,
    },
}

/// Models that requests can use on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModels {
    /// Backend server.
    pub backend: Name,
    /// Start of its run, milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Models and their adapters.
    pub models: Vec<(Name, Vec<Name>)>,
}

/// Asks where a request for a model can go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Service.
    pub service: Name,
    /// Model.
    pub model: Name,
    /// Adapter.
    pub adapter: Option<Name>,
    /// Rank of the request, 0 is the most urgent.
    pub urgency: u8,
    /// Time that is left for the request, milliseconds.
    pub time_left_ms: u64,
    /// Backend server that has just refused the request because it doesn't have the model.
    pub refused_by: Option<Name>,
    /// Backend server that could not be reached.
    pub unreached: Option<Name>,
}

/// Answer to a [`PlacementRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlacementReply {
    /// The receiver does not hold the duty, or can't give orders yet.
    NotHolder,
    /// A backend server has it, or will have it.
    At {
        /// Backend server.
        backend: Name,
        /// Estimate of the time until then, milliseconds.
        ready_in_ms: u64,
    },
    /// Nothing is under way yet.
    AskAgain {
        /// When to ask again, milliseconds.
        again_in_ms: u64,
    },
    /// Can't be loaded in time.
    Refused {
        /// When it could be, milliseconds; `None` if never.
        retry_after_ms: Option<u64>,
    },
}
