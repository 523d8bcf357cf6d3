//! Messages between hosts and the coordinator, the one host that sums up usage and decides where models are loaded.
//!
//! The coordinator is elected; a message calls it the holder, since it holds a lease. Its fencing number grows with
//! each election.

use serde::Deserialize;
use serde::Serialize;

use crate::AnswerCounts;
use crate::BlockedParts;
use crate::ColdNotice;
use crate::HostId;
use crate::LimitNotice;
use crate::Name;
use crate::PaceNotice;
use crate::PartReport;
use crate::RelayedOutage;
use crate::Revision;
use crate::StoreEra;
use crate::StorePosition;
use crate::StoreUpdate;

/// Capacity that a host can spend on coordinating the fleet, in thousandths of a processor core.
///
/// A host with a slow network link states less than its processor share. Hosts with more become coordinator first.
pub type HostPower = u32;

/// Reports a host's usage since its last acknowledged report, and the requests that it has in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Host that sends the report.
    pub host: HostId,
    /// Fencing number of the coordinator that last answered the sender. A new coordinator doesn't know what was
    /// reported to an earlier one.
    pub fence: u64,
    /// Version of the newest model lists in [`FleetView::engines`] that the sender has.
    pub view_version: u64,
    /// Version of the newest totals in [`FleetView::backends`] that the sender has.
    pub totals_version: u64,
    /// Revision of the platform's store up to which the sender knows every change; `None` before it has read the store.
    pub store_revision: Option<Revision>,
    /// Newest era of the store that the sender has seen; `store_revision` is of this era. Revision 0 of an era above 0 asks for
    /// a complete listing, since the sender knows nothing of the era and can't read the store.
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    pub store_era: StoreEra,
    /// Usage of client accounts since the last acknowledged report.
    pub accounts: Vec<AccountUse>,
    /// Account levels that the sender recently received from an earlier coordinator. Sent only until the new
    /// coordinator has answered, which starts from the lowest level reported.
    #[serde(default)]
    pub heard: Vec<PriorLevel>,
    /// Requests in flight and outcomes, by backend server.
    pub backends: Vec<BackendUse>,
    /// Requests since the last acknowledged report, by model.
    pub models: Vec<ModelUse>,
    /// Times that engines took for requests since the last report, by service. A report that isn't acknowledged loses
    /// them: they are samples, not counts.
    #[serde(default)]
    pub engine_times: Vec<EngineTimes>,
    /// Times that servers which state how long work takes on them took since the last report, by run. Samples, as above.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub run_times: Vec<RunTimes>,
    /// What the sender's requests showed about the parts of their prompts. Empty in reports of earlier versions.
    #[serde(default)]
    pub parts: PartReport,
    /// Backend servers that said that they leave, and that the store lists as ready. Empty in reports of earlier versions.
    #[serde(default)]
    pub leaving: Vec<BackendRun>,
    /// Limits that backend servers named and that the sender knows, lifted ones too. Empty in reports of earlier versions.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// Backend servers that the sender found to be cold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdNotice>,
    /// Paces of backend servers that an earlier coordinator sent. Sent only until the new coordinator has answered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<PaceNotice>,
}

impl FleetReport {
    /// Position in the store up to which the sender knows every change; revision 0 if it asks for a listing.
    pub fn store_position(&self) -> Option<StorePosition> {
        let era = self.store_era;
        self.store_revision
            .map(|revision| StorePosition { era, revision })
    }
}

/// Gives a client account's level as an earlier coordinator last sent it, so that a new one does not start from
/// nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriorLevel {
    /// Client account.
    pub account: Name,
    /// Units that were left at that time; negative if too much was used.
    pub level: i64,
}

/// Gives the units that a client account used through one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Client account.
    pub account: Name,
    /// Requests or tokens, as the account's quota counts; negative if charged requests turned out not to have run.
    pub units: i64,
}

/// Counts one host's requests to one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendUse {
    /// Backend server.
    pub backend: Name,
    /// Requests in flight now.
    pub in_flight: u32,
    /// Prompt tokens of the requests in flight that have not received their first event.
    pub pending_tokens: u64,
    /// Requests that the backend server answered since the last report.
    pub succeeded: u32,
    /// Requests that failed on the backend server since the last report.
    pub failed: u32,
    /// The requests in flight for models. Empty in reports of earlier versions.
    #[serde(default)]
    pub runs: Vec<ModelRuns>,
    /// How the backend server answered since the last report, if its service has paces. A report that isn't acknowledged
    /// loses them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<AnswerCounts>,
}

/// Counts one host's requests in flight for one model or adapter on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRuns {
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for requests to the base model alone.
    pub adapter: Option<Name>,
    /// Number of requests.
    pub count: u32,
    /// Sum of the largest outputs that they allow, in tokens.
    pub output_tokens: u64,
}

/// Names one run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendRun {
    /// Backend server.
    pub backend: Name,
    /// Start time of the run, milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Sums up one host's requests for one model or adapter.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelUse {
    /// Service whose configuration defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for requests to the base model alone.
    pub adapter: Option<Name>,
    /// Number of requests.
    pub count: u32,
    /// Sum of their prompt tokens.
    pub prompt_tokens: u64,
    /// Sum of the largest outputs that they allow, in tokens.
    pub output_tokens: u64,
    /// Requests whose callers got a whole answer, these or earlier ones. 0 in reports of earlier versions.
    #[serde(default)]
    pub served: u32,
}

/// Sums up the times that the engines of one service took for requests of one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineTimes {
    /// Service that the engines belong to.
    pub service: Name,
    /// Prompt tokens of requests that were sent to an engine without other unread prompts.
    pub prompt_tokens: u64,
    /// Time from the send to the first event of these requests, microseconds.
    pub prompt_us: u64,
    /// Output tokens that requests with complete answers allowed.
    pub output_tokens: u64,
    /// Time from the first to the last event of these answers, microseconds.
    pub output_us: u64,
}

/// Sums up the times that one run of a backend server, which states how long work takes on it, took for requests of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunTimes {
    /// The run.
    pub run: BackendRun,
    /// Service that the server belongs to.
    pub service: Name,
    /// Base model of the requests; `None` for a service without models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Events of complete answers after the first; answered requests for a service without models.
    pub units: u64,
    /// Their time, microseconds: for each answer, the number of events times the median between two; from the send to the end
    /// for a service without models.
    pub time_us: u64,
}

/// Answers a [`FleetReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetReply {
    /// The receiver is not the coordinator.
    NotHolder,
    /// The receiver is not the coordinator, and has seen this era of the store, which is newer than the report's.
    NotHolderInEra(StoreEra),
    /// State of the fleet, as far as it changed since the versions in the report.
    View(Box<FleetView>),
}

/// Describes the fleet's usage and load to one host, which admits and routes requests by it until the next reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Fencing number of the coordinator that answers.
    pub fence: u64,
    /// Number of hosts that send reports.
    pub hosts: u32,
    /// Levels of the client accounts that have a rate limit.
    pub accounts: Vec<AccountLevel>,
    /// Backend servers whose totals changed since the report's `totals_version`; all that are in use if the report
    /// names another fencing number, since each coordinator counts its own versions.
    pub backends: Vec<BackendTotal>,
    /// Newest version of the totals in `backends`.
    pub totals_version: u64,
    /// Newest version of the model lists in `engines`.
    pub view_version: u64,
    /// Backend servers whose loaded models changed since the report's `view_version`.
    pub engines: Vec<EngineModels>,
    /// Changes of the platform's store since the report's revision; `None` if the coordinator no longer has all of
    /// them.
    pub store: Option<StoreUpdate>,
    /// Newest era of the store that the coordinator has seen.
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    pub store_era: StoreEra,
    /// Outage of the platform's store as the coordinator's own calls see it. Stated also if the receiver knows newer changes
    /// than the coordinator, as happens when the store rejects only the coordinator. Absent from earlier versions.
    #[serde(default)]
    pub store_outage: Option<RelayedOutage>,
    /// Blocked prompt parts, if the sender of the report knows an older version of them.
    #[serde(default)]
    pub blocked: Option<BlockedParts>,
    /// Backend servers that said to some host that they leave, and that the store lists as ready.
    #[serde(default)]
    pub leaving: Vec<BackendRun>,
    /// Newest limits that backend servers named to any host, lifted ones too.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// Backend servers that any host found to be cold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdNotice>,
    /// Backend servers that have a pace; all others have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<PaceNotice>,
}

/// States how much of its quota a client account may still use, over all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountLevel {
    /// Client account.
    pub account: Name,
    /// Units left after all usage that the receiver has reported; negative if too much was used.
    pub level: i64,
    /// Units per second that all hosts except the receiver use.
    pub others_per_s: u64,
}

/// Sums up the load that all hosts together put on a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendTotal {
    /// Backend server.
    pub backend: Name,
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of the requests in flight that have not received their first event.
    pub pending_tokens: u64,
    /// True if the backend server fails more requests than its peers do, so that hosts avoid it.
    pub is_suspect: bool,
    /// Time that work takes on the server, in percent of the average of its service; `None` if it was not measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_percent: Option<u32>,
    /// Start of the run that `time_percent` applies to, milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
}

/// Asks to charge one request to a client account, if the sender has no recent level or the account is near its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetCharge {
    /// Host that sends this.
    pub host: HostId,
    /// Client account to charge; empty if `units` is 0.
    pub account: Name,
    /// Units to charge; 0 charges nothing and only tells the stand-in that the sender cannot reach the coordinator.
    pub units: u64,
}

/// Answers a [`FleetCharge`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetChargeReply {
    /// The receiver is neither the coordinator nor its stand-in, or doesn't know the account.
    Unknown,
    /// The coordinator decided.
    Holder {
        /// True if the request is charged and may run.
        is_admitted: bool,
        /// Level of the account after the decision.
        level: AccountLevel,
    },
    /// The host that is next in line as coordinator decided, because the coordinator doesn't answer.
    StandIn {
        /// True if the request is charged and may run; the sender reports the charge to the next coordinator.
        is_admitted: bool,
        /// Time in milliseconds after which the charge may succeed; meaningless if it was admitted.
        again_in_ms: u64,
    },
}

/// Lists the models that are loaded and usable on one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModels {
    /// Backend server.
    pub backend: Name,
    /// Start time of the backend server's process, milliseconds since the Unix epoch. The list applies only to that
    /// run.
    pub born_ms: u64,
    /// Base models, each with its usable adapters.
    pub models: Vec<(Name, Vec<Name>)>,
}

/// Asks the coordinator which backend server can run a request for a model.
///
/// The coordinator holds the reply back for a short time if it can't name a backend server yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Service whose configuration defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for the base model alone.
    pub adapter: Option<Name>,
    /// Priority of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time left until the request's deadline, milliseconds.
    pub time_left_ms: u64,
    /// Backend server that just refused the request because it doesn't have the model.
    pub refused_by: Option<Name>,
    /// Backend server that the sender just failed to connect to.
    pub unreached: Option<Name>,
    /// Regions in which the request may run; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<Name>>,
}

/// Answers a [`PlacementRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlacementReply {
    /// The receiver is not the coordinator, or cannot order loads yet.
    NotHolder,
    /// The model is loaded on a backend server, or is being loaded there.
    At {
        /// Backend server to send the request to.
        backend: Name,
        /// Estimated time until the model is usable there, milliseconds; 0 if it is loaded.
        ready_in_ms: u64,
    },
    /// No backend server can be named yet; the sender asks again while its deadline allows.
    AskAgain {
        /// Time after which to ask again, milliseconds.
        again_in_ms: u64,
    },
    /// The model can't be loaded before the request's deadline.
    Refused {
        /// Time after which a new request could succeed, milliseconds; `None` if none can.
        retry_after_ms: Option<u64>,
    },
}
