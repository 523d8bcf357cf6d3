//! Orders to the model engine and its state report.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::CacheLevel;

/// Body of `POST /v1/load_model`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Model.
    pub model: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Memory that the replica takes.
    pub bytes: u64,
    /// Identifies the order; a repeat gets the first answer.
    pub order_id: String,
    /// Fencing number of the owner that gives the order.
    #[serde(default)]
    pub fence: u64,
    /// Run of the engine that the order is meant for; any if it is left out.
    #[serde(default)]
    pub boot_id: Option<String>,
}

/// Body of `POST /v1/unload_model`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// Model.
    pub model: String,
    /// Identifies the order; a repeat gets the first answer.
    pub order_id: String,
    /// Fencing number of the owner that gives the order.
    #[serde(default)]
    pub fence: u64,
    /// Run of the engine that the order is meant for; any if it is left out.
    #[serde(default)]
    pub boot_id: Option<String>,
}

/// Body of `POST /v1/load_lora_adapter` and, without `bytes`, of `POST /v1/unload_lora_adapter`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// Base model; it must be loaded.
    pub model: String,
    /// Adapter.
    pub adapter: String,
    /// Memory that the adapter takes.
    #[serde(default)]
    pub bytes: u64,
    /// Identifies the order; a repeat gets the first answer.
    pub order_id: String,
    /// Fencing number of the owner that gives the order.
    #[serde(default)]
    pub fence: u64,
    /// Run of the engine that the order is meant for; any if it is left out.
    #[serde(default)]
    pub boot_id: Option<String>,
}

/// Answer to an order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Repeated from the order.
    pub order_id: String,
    /// Run of the engine that carried it out.
    pub boot_id: String,
    /// False if there was nothing to do.
    pub changed: bool,
    /// Where a loaded checkpoint came from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub source: Option<CacheLevel>,
    /// Duration of the work.
    pub took_ms: u64,
    /// Memory in use afterwards.
    pub memory_used_bytes: u64,
}

/// Life cycle of a replica on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePhase {
    /// Its weights are on their way; the memory is taken.
    Loading,
    /// Serves requests.
    Ready,
    /// Gives up its memory; serves nothing.
    Unloading,
}

/// Replica in the state report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Memory that it takes, adapters left out.
    pub bytes: u64,
    /// Life cycle.
    pub phase: EnginePhase,
    /// Order that loaded it.
    pub order_id: String,
    /// Loaded adapters and the memory that they take.
    pub adapters: BTreeMap<String, u64>,
    /// Requests running, as old as the report lag allows.
    pub running: u32,
    /// Requests waiting, as old as the report lag allows.
    pub waiting: u32,
}

/// Counts per model, kept over restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelCounts {
    /// Loads started.
    pub loads: u64,
    /// Load orders for a model that was loaded already.
    pub duplicate_loads: u64,
    /// Unloads finished.
    pub unloads: u64,
    /// Most replicas that were loaded or loading at once.
    pub peak_replicas: u32,
    /// Requests finished.
    pub finished: u64,
    /// Requests whose caller left early.
    pub cancelled: u64,
}

/// Answer of `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateReport {
    /// Changes with each start.
    pub boot_id: String,
    /// Memory for models and adapters.
    pub memory_capacity_bytes: u64,
    /// Memory taken now.
    pub memory_used_bytes: u64,
    /// Largest excess over the capacity so far, kept over restarts.
    pub overcommit_peak_bytes: u64,
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Requests running, as old as the report lag allows.
    pub running: u32,
    /// Requests waiting, as old as the report lag allows.
    pub waiting: u32,
    /// Replicas.
    pub models: Vec<ReplicaReport>,
    /// Cache level by checkpoint (`model@version`).
    pub cache: BTreeMap<String, CacheLevel>,
    /// Orders carried out since the start.
    pub applied_orders: Vec<String>,
    /// Newest fencing number seen since the start.
    pub highest_fence: u64,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
    /// Loads started, all models.
    pub loads: u64,
    /// Unloads finished, all models.
    pub unloads: u64,
    /// Counts by model.
    pub counts: BTreeMap<String, ModelCounts>,
}
