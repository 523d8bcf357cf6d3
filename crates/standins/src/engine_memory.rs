use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use tokio::sync::Semaphore;

use crate::CacheLevel;
use crate::EnginePhase;
use crate::EngineSettings;
use crate::FencingMode;
use crate::ModelCounts;
use crate::OrderReply;
use crate::ReplicaReport;
use crate::StateReport;
use crate::reply::Refusal;

/// What an engine holds: replicas, memory, checkpoints and orders. The counts outlive a restart.
#[derive(Debug)]
pub struct EngineMemory {
    settings: EngineSettings,
    boot_id: String,
    used_bytes: u64,
    overcommit_peak_bytes: u64,
    replicas: BTreeMap<String, ModelReplica>,
    cache: BTreeMap<String, CacheLevel>,
    /// Unloaded checkpoints in the host's memory, the oldest first.
    memory_cache: VecDeque<String>,
    applied: BTreeMap<String, OrderReply>,
    highest_fence: u64,
    fenced_orders: u64,
    counts: BTreeMap<String, ModelCounts>,
    reported_at: Option<Instant>,
}

/// One loaded model.
#[derive(Debug)]
pub struct ModelReplica {
    /// Version of the model.
    pub version: String,
    /// Memory that it takes.
    pub bytes: u64,
    /// Life cycle.
    pub phase: EnginePhase,
    /// Order that loaded it.
    pub order_id: String,
    /// Loaded adapters.
    pub adapters: BTreeMap<String, AdapterReplica>,
    /// One permit per request that may run.
    pub slots: Arc<Semaphore>,
    /// Requests running.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    reported_running: u32,
    reported_waiting: u32,
}

/// One loaded adapter.
#[derive(Debug)]
pub struct AdapterReplica {
    /// Memory that it takes.
    pub bytes: u64,
    /// Whether requests can use it.
    pub is_ready: bool,
    /// Requests running or waiting.
    pub requests: u32,
}

impl EngineMemory {
    /// Empty engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            cache: settings.cached.clone(),
            settings,
            boot_id: new_boot_id(),
            used_bytes: 0,
            overcommit_peak_bytes: 0,
            replicas: BTreeMap::new(),
            memory_cache: VecDeque::new(),
            applied: BTreeMap::new(),
            highest_fence: 0,
            fenced_orders: 0,
            counts: BTreeMap::new(),
            reported_at: None,
        }
    }

    /// Id of the present run.
    pub fn boot_id(&self) -> &str {
        &self.boot_id
    }

    /// Starts anew: everything but the disk and the counts is lost.
    pub fn restart(&mut self) {
        self.boot_id = new_boot_id();
        self.used_bytes = 0;
        self.replicas.clear();
        self.memory_cache.clear();
        self.applied.clear();
        self.highest_fence = 0;
        for level in self.cache.values_mut() {
            if *level == CacheLevel::Memory {
                *level = CacheLevel::Disk;
            }
        }
    }

    // ------------------------------------------------------------------------------------------

    /// Refuses an order that was meant for another run: it may have been on its way when the engine restarted.
    pub fn check_boot(&self, boot_id: Option<&str>) -> Result<(), Refusal> {
        match boot_id {
            Some(boot_id) if boot_id != self.boot_id => Err(Refusal::conflict(
                "the order is meant for another run of this engine",
            )),
            _ => Ok(()),
        }
    }

    /// Notes a fencing number; refuses an old one if the engine honours fencing.
    pub fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        if fence < self.highest_fence && self.settings.fencing == FencingMode::Honour {
            self.fenced_orders += 1;
            let mut refusal = Refusal::conflict("fencing number is old");
            refusal.body["highest_fence"] = self.highest_fence.into();
            return Err(refusal);
        }
        self.highest_fence = self.highest_fence.max(fence);
        Ok(())
    }

    /// Answer to an order that was carried out before.
    pub fn applied(&self, order_id: &str) -> Option<OrderReply> {
        self.applied.get(order_id).cloned()
    }

    /// Records an order as carried out and makes its answer.
    pub fn finish_order(
        &mut self,
        order_id: &str,
        changed: bool,
        source: Option<CacheLevel>,
        started: Instant,
    ) -> OrderReply {
        let reply = OrderReply {
            order_id: order_id.to_owned(),
            boot_id: self.boot_id.clone(),
            changed,
            source,
            took_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
            memory_used_bytes: self.used_bytes,
        };
        self.applied.insert(order_id.to_owned(), reply.clone());
        reply
    }

    /// Takes memory, over the capacity unless that is checked.
    pub fn take_bytes(&mut self, bytes: u64) -> Result<(), Refusal> {
        let capacity = self.settings.memory_capacity_bytes;
        let used = self.used_bytes.saturating_add(bytes);
        if used > capacity && self.settings.memory_check {
            let status = StatusCode::INSUFFICIENT_STORAGE;
            return Err(Refusal::new(status, "not enough memory"));
        }
        self.used_bytes = used;
        let excess = used.saturating_sub(capacity);
        self.overcommit_peak_bytes = self.overcommit_peak_bytes.max(excess);
        Ok(())
    }

    /// Gives memory back.
    pub fn return_bytes(&mut self, bytes: u64) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }

    // ------------------------------------------------------------------------------------------

    /// Replica of `model`.
    pub fn replica(&mut self, model: &str) -> Option<&mut ModelReplica> {
        self.replicas.get_mut(model)
    }

    /// Replica of `model` if it serves requests.
    pub fn ready_replica(&mut self, model: &str) -> Result<&mut ModelReplica, Refusal> {
        self.replicas
            .get_mut(model)
            .filter(|replica| replica.phase == EnginePhase::Ready)
            .ok_or_else(|| Refusal::not_found(format!("model {model} is not loaded")))
    }

    /// Adds a replica that is loading.
    pub fn insert_replica(&mut self, model: &str, version: &str, bytes: u64, order_id: &str) {
        let replica = ModelReplica {
            version: version.to_owned(),
            bytes,
            phase: EnginePhase::Loading,
            order_id: order_id.to_owned(),
            adapters: BTreeMap::new(),
            slots: Arc::new(Semaphore::new(self.settings.slots as usize)),
            running: 0,
            waiting: 0,
            reported_running: 0,
            reported_waiting: 0,
        };
        self.replicas.insert(model.to_owned(), replica);
        let counts = self.counts(model);
        counts.loads += 1;
        counts.peak_replicas = counts.peak_replicas.max(1);
    }

    /// Removes a replica with its adapters. The checkpoint of one that was loaded stays in the
    /// host's memory.
    pub fn remove_replica(&mut self, model: &str) {
        let Some(replica) = self.replicas.remove(model) else {
            return;
        };
        let adapter_bytes: u64 = replica.adapters.values().map(|a| a.bytes).sum();
        self.return_bytes(replica.bytes + adapter_bytes);
        if replica.phase != EnginePhase::Loading {
            self.keep_checkpoint(checkpoint_name(model, &replica.version));
        }
    }

    /// Counts of `model`.
    pub fn counts(&mut self, model: &str) -> &mut ModelCounts {
        self.counts.entry(model.to_owned()).or_default()
    }

    /// Where a checkpoint is.
    pub fn cache_level(&self, checkpoint: &str) -> CacheLevel {
        let level = self.cache.get(checkpoint).copied();
        level.unwrap_or(CacheLevel::Remote)
    }

    /// Records that a fetched checkpoint is on the host's disk now.
    pub fn store_checkpoint(&mut self, checkpoint: String) {
        self.cache.entry(checkpoint).or_insert(CacheLevel::Disk);
    }

    fn keep_checkpoint(&mut self, checkpoint: String) {
        self.memory_cache.retain(|kept| *kept != checkpoint);
        self.memory_cache.push_back(checkpoint.clone());
        self.cache.insert(checkpoint, CacheLevel::Memory);
        while self.memory_cache.len() > self.settings.memory_checkpoints {
            if let Some(oldest) = self.memory_cache.pop_front() {
                self.cache.insert(oldest, CacheLevel::Disk);
            }
        }
    }

    // ------------------------------------------------------------------------------------------

    /// State report. Load figures are renewed when they are older than the report lag.
    pub fn report(&mut self) -> StateReport {
        let lag = self.settings.report_lag;
        if self.reported_at.is_none_or(|at| at.elapsed() >= lag) {
            self.reported_at = Some(Instant::now());
            for replica in self.replicas.values_mut() {
                replica.reported_running = replica.running;
                replica.reported_waiting = replica.waiting;
            }
        }
        let models: Vec<ReplicaReport> = self
            .replicas
            .iter()
            .map(|(model, replica)| replica.report(model))
            .collect();
        StateReport {
            boot_id: self.boot_id.clone(),
            memory_capacity_bytes: self.settings.memory_capacity_bytes,
            memory_used_bytes: self.used_bytes,
            overcommit_peak_bytes: self.overcommit_peak_bytes,
            slots: self.settings.slots,
            running: models.iter().map(|model| model.running).sum(),
            waiting: models.iter().map(|model| model.waiting).sum(),
            models,
            cache: self.cache.clone(),
            applied_orders: self.applied.keys().cloned().collect(),
            highest_fence: self.highest_fence,
            fenced_orders: self.fenced_orders,
            loads: self.counts.values().map(|counts| counts.loads).sum(),
            unloads: self.counts.values().map(|counts| counts.unloads).sum(),
            counts: self.counts.clone(),
        }
    }
}

impl ModelReplica {
    fn report(&self, model: &str) -> ReplicaReport {
        let ready = self.adapters.iter().filter(|(_, adapter)| adapter.is_ready);
        ReplicaReport {
            model: model.to_owned(),
            version: self.version.clone(),
            bytes: self.bytes,
            phase: self.phase,
            order_id: self.order_id.clone(),
            adapters: ready.map(|(name, a)| (name.clone(), a.bytes)).collect(),
            running: self.reported_running,
            waiting: self.reported_waiting,
        }
    }
}

/// Name of a checkpoint in caches and in the weight store.
pub fn checkpoint_name(model: &str, version: &str) -> String {
    format!("{model}@{version}")
}

fn new_boot_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
