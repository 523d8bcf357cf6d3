use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::BackendEntry;
use crate::BackendPhase;
use crate::EngineSpec;
use crate::HeldModel;
use crate::ResidencyAction;
use crate::residency::residency_demand::WeightSource;

/// The planner's state of one engine: the models it holds, the order it carries out, and unanswered orders that may
/// still reach it.
#[derive(Debug)]
pub(crate) struct EngineRecord {
    pub(crate) id: Name,
    pub(crate) address: SocketAddr,
    /// Data centre of the engine.
    pub(crate) place: Name,
    /// Start of the engine's run, milliseconds since the Unix epoch.
    pub(crate) born_ms: u64,
    /// False while the engine is draining or its data centre evacuated, or another server has answered at its address.
    pub(crate) is_accepting: bool,
    /// Number of orders that the engine has accepted; `None` until a report states it.
    pub(crate) sequence: Option<u64>,
    /// Models that are loaded, loading or unloading.
    pub(crate) held: BTreeMap<Name, HeldRecord>,
    /// Models with weights cached in main memory.
    pub(crate) memory_copies: Vec<Name>,
    /// Models with weights cached on disk.
    pub(crate) disk_copies: Vec<Name>,
    /// Load or unload of a model that the engine is carrying out.
    pub(crate) active_order: Option<ActiveOrder>,
    /// True while an order was sent and the engine has not answered it.
    pub(crate) awaits_answer: bool,
    /// Model of an unload that was sent and not answered yet.
    pub(crate) unload_sent: Option<Name>,
    /// Set when a host could not connect to the engine: no requests go to it until then, unless it reports earlier.
    pub(crate) unreachable_until: MonotonicTime,
    /// Time before which no order is sent.
    pub(crate) blocked_until: MonotonicTime,
    /// Number of consecutive orders that were refused because of a conflict.
    pub(crate) conflicts: u32,
    /// Time of the first of these; `None` if the last order was not refused, or a report showed the engine free since.
    pub(crate) refusing_since: Option<MonotonicTime>,
    /// Model that memory is being freed for.
    pub(crate) claim: Option<MemoryClaim>,
    /// Orders without an answer, which may still be carried out.
    pub(crate) unanswered: SmallVec<[UnansweredOrder; 2]>,
    /// When to ask for the next report.
    pub(crate) report_due: MonotonicTime,
    /// True while a report was asked for and has not arrived.
    pub(crate) awaits_report: bool,
    /// When the newest order was accepted, or was left without an answer.
    pub(crate) last_order_at: MonotonicTime,
    /// Models that the engine refused to load, and the time before which the load is not tried again.
    pub(crate) paused: BTreeMap<Name, MonotonicTime>,
    /// Requests a second that the engine takes from all hosts together; `None` if it states no limit.
    pub(crate) request_limit: Option<f64>,
    /// Time that work takes on the engine, as a factor of the average; 1 if it was not measured.
    pub(crate) time_factor: f64,
}

/// A model on an engine: loaded, loading or unloading.
#[derive(Debug, Default)]
pub(crate) struct HeldRecord {
    pub(crate) adapters: BTreeMap<Name, AdapterRecord>,
    /// Time from which requests can use the model; an estimate while it loads.
    pub(crate) ready_at: MonotonicTime,
    pub(crate) last_used: MonotonicTime,
    pub(crate) is_unloading: bool,
    /// An engine rejected a request for the model although it should be loaded. No requests are sent until a report
    /// confirms it.
    pub(crate) is_unverified: bool,
}

/// An adapter on an engine: loaded, loading or unloading.
#[derive(Debug, Default)]
pub(crate) struct AdapterRecord {
    pub(crate) ready_at: MonotonicTime,
    pub(crate) last_used: MonotonicTime,
    /// The adapter is unloaded as soon as no request uses it.
    pub(crate) is_unloading: bool,
    /// An engine rejected a request for the adapter. It counts as using memory until a report shows that it is gone.
    pub(crate) is_unverified: bool,
}

/// A load or unload of a model that an engine is carrying out. An engine carries out one at a time.
#[derive(Debug)]
pub(crate) struct ActiveOrder {
    pub(crate) action: ResidencyAction,
    pub(crate) model: Name,
    /// Estimated end.
    pub(crate) done_at: MonotonicTime,
    pub(crate) started_at: MonotonicTime,
    /// Concurrent loads from the weight store at its start, itself included; 0 if it doesn't load from the weight
    /// store.
    pub(crate) store_loads: usize,
    /// True once a report lists the loaded model.
    pub(crate) is_confirmed: bool,
}

impl ActiveOrder {
    pub(crate) fn is_from_store(&self) -> bool {
        self.store_loads > 0
    }
}

/// Measured duration of a load from the weight store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreLoadSample {
    pub(crate) time: Duration,
    /// Loads from the weight store that were under way at its start, itself included.
    pub(crate) concurrent: usize,
}

/// A load that takes at most this many times as long as a single one ran at full speed. Reports arrive slightly late.
const FULL_SPEED_RATIO: f64 = 1.15;

/// Upper bound of the estimated number of concurrent loads at full speed.
const MAX_FULL_SPEED_LOADS: f64 = 16.0;

impl StoreLoadSample {
    /// Updates the estimate `known` of how many loads run at full speed concurrently. `alone` is the duration of a
    /// single load.
    pub(crate) fn full_speed_loads(self, known: f64, alone: Duration) -> f64 {
        let Self { time, concurrent } = self;
        let slowness = time.as_secs_f64() / alone.as_secs_f64().max(0.001);
        if slowness > FULL_SPEED_RATIO && concurrent <= 1 {
            // No other load shared the bandwidth, so the delay had another cause.
            known
        } else if slowness > FULL_SPEED_RATIO {
            (concurrent as f64 / slowness).max(1.0)
        } else if concurrent >= known as usize {
            // Allows one more load next time.
            (concurrent as f64 + 1.0).min(MAX_FULL_SPEED_LOADS)
        } else {
            known
        }
    }
}

/// Reservation of an engine's memory for a model, held while other models are unloaded to make room.
#[derive(Debug)]
pub(crate) struct MemoryClaim {
    pub(crate) model: Name,
    pub(crate) until: MonotonicTime,
    /// True if the model will be loaded from the weight store, whose bandwidth is kept for it until then.
    pub(crate) reserves_store: bool,
}

/// An order without an answer. The engine may carry it out until `until`, provided that its number of accepted orders
/// then equals `expected`. A restart under the same id resets that number.
#[derive(Debug)]
pub(crate) struct UnansweredOrder {
    pub(crate) model: Name,
    pub(crate) adapter: Option<Name>,
    pub(crate) is_load: bool,
    /// Number of previously accepted orders at which the engine would still accept this one.
    pub(crate) expected: u64,
    pub(crate) until: MonotonicTime,
    /// The engine has accepted more orders than `expected`, and this planner doesn't know which one it accepted at that
    /// number: this order may have run, and counts as using memory until a report shows the engine's models.
    pub(crate) may_have_run: bool,
    /// The order needs no memory beyond what is already accounted for, and never will.
    pub(crate) is_resolved: bool,
}

impl EngineRecord {
    pub(crate) fn new(entry: &BackendEntry, now: MonotonicTime) -> Self {
        let mut record = Self {
            id: entry.id.clone(),
            address: entry.address,
            place: entry.place.clone(),
            born_ms: entry.born_ms,
            is_accepting: entry.phase == BackendPhase::Ready,
            sequence: None,
            held: BTreeMap::new(),
            memory_copies: entry.memory_copies.clone(),
            disk_copies: entry.disk_copies.clone(),
            active_order: None,
            awaits_answer: false,
            unload_sent: None,
            unreachable_until: MonotonicTime::ZERO,
            blocked_until: now,
            conflicts: 0,
            refusing_since: None,
            claim: None,
            unanswered: SmallVec::new(),
            report_due: now,
            awaits_report: false,
            last_order_at: MonotonicTime::ZERO,
            paused: BTreeMap::new(),
            request_limit: None,
            time_factor: 1.0,
        };
        record.update_held(&entry.held, now);
        record
    }

    /// Resets the record after the server restarted under its id: no models are loaded, but the cached weights on its
    /// disk and the unanswered orders remain.
    pub(crate) fn restart(&mut self, entry: &BackendEntry, now: MonotonicTime) {
        let mut unanswered = std::mem::take(&mut self.unanswered);
        for order in &mut unanswered {
            order.may_have_run = false;
            order.is_resolved = false;
        }
        let disk_copies = std::mem::take(&mut self.disk_copies);
        let awaits_report = self.awaits_report;
        *self = Self::new(entry, now);
        self.unanswered = unanswered;
        self.awaits_report = awaits_report;
        if self.disk_copies.is_empty() {
            self.disk_copies = disk_copies;
        }
    }

    /// Replaces the held models by those that the server reports, and keeps the times of their last use.
    pub(crate) fn update_held(&mut self, held: &[HeldModel], now: MonotonicTime) {
        let mut previous = std::mem::take(&mut self.held);
        for HeldModel { model, adapters } in held {
            let mut record = previous.remove(model).unwrap_or_default();
            record.is_unloading = false;
            record.is_unverified = false;
            record.ready_at = record.ready_at.min(now);
            let mut known = std::mem::take(&mut record.adapters);
            for adapter in adapters {
                let mut adapter_record = known.remove(adapter).unwrap_or_default();
                adapter_record.ready_at = adapter_record.ready_at.min(now);
                adapter_record.is_unverified = false;
                record.adapters.insert(adapter.clone(), adapter_record);
            }
            self.held.insert(model.clone(), record);
        }
    }

    /// True if a replica here serves more or fewer requests than one on an average engine without a limit.
    pub(crate) fn is_uneven(&self) -> bool {
        self.request_limit.is_some() || self.time_factor != 1.0
    }

    /// True if the engine can take an order now.
    pub(crate) fn is_free(&self, now: MonotonicTime) -> bool {
        let idle = self
            .active_order
            .as_ref()
            .is_none_or(|order| order.done_at <= now);
        self.is_accepting
            && self.sequence.is_some()
            && !self.awaits_answer
            && idle
            && self.blocked_until <= now
    }

    /// Time until the engine can take the next order. One that refuses orders, which happens while an unload waits for
    /// requests to end, is expected to go on for as long as it has refused them already.
    pub(crate) fn wait(&self, now: MonotonicTime) -> Duration {
        let active_order = self.active_order.as_ref();
        let active_order = active_order.map_or(Duration::ZERO, |order| order.done_at.since(now));
        let refusing = self.refusing_since.map(|since| now.since(since));
        active_order
            .max(self.blocked_until.since(now))
            .max(refusing.unwrap_or_default())
    }

    /// True if the model is loaded or loading, and no unload of it was sent.
    pub(crate) fn keeps(&self, model: &str) -> bool {
        let is_unload_sent = self.unload_sent.as_deref() == Some(model);
        !is_unload_sent && self.held.get(model).is_some_and(|held| !held.is_unloading)
    }

    /// True if requests for the model can be sent to the engine now.
    pub(crate) fn is_ready(&self, model: &str, now: MonotonicTime) -> bool {
        let held = self.held.get(model);
        self.is_accepting
            && self.unreachable_until <= now
            && held.is_some_and(|held| held.is_kept() && held.ready_at <= now)
    }

    /// Fastest source from which the engine can load the model's weights.
    pub(crate) fn source_of(&self, model: &Name) -> WeightSource {
        if self.memory_copies.contains(model) {
            WeightSource::Memory
        } else if self.disk_copies.contains(model) {
            WeightSource::Disk
        } else {
            WeightSource::Store
        }
    }

    /// Memory that is or may be in use, megabytes.
    ///
    /// A model that is being unloaded counts until the estimated end of the unload. If it takes longer, the engine
    /// refuses the next order, because it carries out one model order at a time.
    pub(crate) fn used_mb(&self, spec: &EngineSpec, now: MonotonicTime) -> f64 {
        let unloaded = self
            .active_order
            .as_ref()
            .filter(|order| order.action == ResidencyAction::Unload && order.done_at <= now)
            .map(|order| &order.model);
        let held = self
            .held
            .iter()
            .filter(|(model, _)| Some(*model) != unloaded);
        let held: f64 = held
            .map(|(model, record)| {
                model_mb(spec, model) + adapter_mb(spec, model) * record.adapters.len() as f64
            })
            .sum();
        held + self.unanswered_mb(spec, now)
    }

    /// Memory that unanswered loads may use, megabytes.
    fn unanswered_mb(&self, spec: &EngineSpec, now: MonotonicTime) -> f64 {
        let unanswered = self
            .unanswered
            .iter()
            .filter(|order| order.may_use_memory(now));
        unanswered
            .map(|order| match &order.adapter {
                Some(_) => adapter_mb(spec, &order.model),
                None if self.held.contains_key(&order.model) => 0.0,
                None => model_mb(spec, &order.model),
            })
            .sum()
    }

    /// Number of adapters that are or may be loaded, with those on their way.
    pub(crate) fn adapter_count(&self, now: MonotonicTime) -> usize {
        let held: usize = self.held.values().map(|held| held.adapters.len()).sum();
        let unanswered = self.unanswered.iter();
        held + unanswered
            .filter(|order| order.adapter.is_some() && order.may_use_memory(now))
            .count()
    }

    /// Marks the load under way as complete if a report lists its model, however old the report is. Returns the
    /// duration of a load from the weight store, once for each load.
    pub(crate) fn record_loaded(
        &mut self,
        held: &[HeldModel],
        now: MonotonicTime,
    ) -> Option<(Name, StoreLoadSample)> {
        let active_order = self.active_order.as_mut()?;
        let is_listed = held.iter().any(|held| held.model == active_order.model);
        if active_order.action != ResidencyAction::Load || !is_listed {
            return None;
        }
        let sample = (active_order.is_from_store() && !active_order.is_confirmed).then(|| {
            let sample = StoreLoadSample {
                time: now.since(active_order.started_at),
                concurrent: active_order.store_loads,
            };
            (active_order.model.clone(), sample)
        });
        active_order.done_at = active_order.done_at.min(now);
        if let Some(held) = self.held.get_mut(&active_order.model) {
            held.is_unverified = false;
            held.ready_at = held.ready_at.min(now);
        }
        active_order.is_confirmed = true;
        sample
    }

    /// Treats the active order as complete, because the engine accepted another one or reports that it is idle.
    pub(crate) fn finish_active_order(&mut self) {
        if let Some(active_order) = self.active_order.take()
            && active_order.action == ResidencyAction::Unload
        {
            self.held.remove(&active_order.model);
        }
    }
}

impl HeldRecord {
    /// True if the model is loaded or loading, and neither unloading nor unverified.
    pub(crate) fn is_kept(&self) -> bool {
        !self.is_unloading && !self.is_unverified
    }
}

impl AdapterRecord {
    /// True if the adapter is loaded or loading, and neither unloading nor unverified.
    pub(crate) fn is_kept(&self) -> bool {
        !self.is_unloading && !self.is_unverified
    }

    /// True if requests can use the adapter now.
    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        self.is_kept() && self.ready_at <= now
    }
}

impl UnansweredOrder {
    /// True while the order may still occupy memory that is not accounted for elsewhere.
    pub(crate) fn may_use_memory(&self, now: MonotonicTime) -> bool {
        self.is_load && !self.is_resolved && now < self.until
    }
}

/// Accelerator memory of a model's weights, megabytes.
pub(crate) fn model_mb(spec: &EngineSpec, model: &str) -> f64 {
    // A model that left the configuration still occupies memory. The largest known model is a safe estimate.
    spec.models.get(model).map_or_else(
        || {
            spec.models
                .values()
                .map(|model| model.weight_mb)
                .fold(0.0, f64::max)
        },
        |model| model.weight_mb,
    )
}

/// Accelerator memory of one adapter of a model, megabytes; the largest known one if the model left the configuration.
pub(crate) fn adapter_mb(spec: &EngineSpec, model: &str) -> f64 {
    spec.models.get(model).map_or_else(
        || {
            spec.models
                .values()
                .map(|model| model.adapter_mb)
                .fold(0.0, f64::max)
        },
        |model| model.adapter_mb,
    )
}
