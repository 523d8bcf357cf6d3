use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_types::AdapterDemand;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::CacheLevel;
use crate::GapHistogram;
use crate::LifecycleStage;
use crate::MemoryReservation;
use crate::replica_record::DrainReason;

/// State of a [`crate::PoolPlanner`] for a planned handover. Times are relative, because the clocks
/// of two processes have different origins. The catalog is left out; the next owner reads it from
/// the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PoolState {
    /// Version of the newest replica list.
    pub version: u64,
    /// Id of the newest order.
    pub last_order: u64,
    /// Time until the next load may start.
    pub permit_in: Duration,
    /// Backend servers by name.
    pub(crate) servers: BTreeMap<Name, ServerSnapshot>,
    /// Dispatchers' reports by model.
    pub(crate) demands: BTreeMap<Name, DemandSnapshot>,
    /// Orders without a known result.
    pub(crate) orders: Vec<OrderSnapshot>,
}

/// A backend server in a [`PoolState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ServerSnapshot {
    pub(crate) address: Name,
    pub(crate) place: Name,
    pub(crate) boot_id: u64,
    pub(crate) fencing: bool,
    pub(crate) leaving: bool,
    pub(crate) observed: bool,
    pub(crate) memory_bytes: u64,
    pub(crate) accelerators: u32,
    pub(crate) cached: BTreeMap<Name, CacheLevel>,
    pub(crate) replicas: BTreeMap<Name, ReplicaSnapshot>,
    pub(crate) failures: BTreeMap<Name, FailureSnapshot>,
}

/// A replica in a [`PoolState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ReplicaSnapshot {
    pub(crate) stage: LifecycleStage,
    pub(crate) bytes: u64,
    #[serde(rename = "with_adapters")]
    pub(crate) bytes_include_adapters: bool,
    pub(crate) slots: u32,
    pub(crate) adapters: BTreeMap<Name, AdapterSnapshot>,
    pub(crate) drain: Option<DrainSnapshot>,
    pub(crate) in_flight: u32,
    pub(crate) running: u32,
    #[serde(rename = "unsure")]
    pub(crate) maybe_running: bool,
    pub(crate) used: bool,
    pub(crate) ready_for: Duration,
    pub(crate) idle_for: Duration,
}

/// An adapter in a [`PoolState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AdapterSnapshot {
    pub(crate) stage: LifecycleStage,
    pub(crate) bytes: u64,
    pub(crate) drain: Option<DrainSnapshot>,
    pub(crate) idle_for: Duration,
}

/// A drain in a [`PoolState`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct DrainSnapshot {
    pub(crate) reason: DrainReason,
    pub(crate) version: u64,
    pub(crate) running_for: Duration,
    pub(crate) acknowledged: bool,
}

/// Failed loads in a [`PoolState`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct FailureSnapshot {
    pub(crate) count: u32,
    pub(crate) retry_in: Duration,
}

/// A dispatcher's report in a [`PoolState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DemandSnapshot {
    pub(crate) waiting: Vec<AdapterDemand>,
    pub(crate) reported: bool,
    pub(crate) report_age: Duration,
    pub(crate) sent_version: u64,
    pub(crate) list_version: u64,
    pub(crate) gaps: GapHistogram,
    pub(crate) inactive_for: Option<Duration>,
}

/// An open order in a [`PoolState`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OrderSnapshot {
    pub(crate) reservation: MemoryReservation,
    pub(crate) resend_in: Duration,
    pub(crate) permit: bool,
    pub(crate) account: Option<Name>,
}

/// Returns the time `age` before `now`, but not before the clock's origin.
pub(crate) fn time_before(now: MonotonicTime, age: Duration) -> MonotonicTime {
    MonotonicTime::from_origin(now.since_origin().saturating_sub(age))
}
