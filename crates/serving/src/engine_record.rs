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
use crate::residency_demand::WeightSource;

/// An engine as the planner sees it: what it holds, what it is doing, and what may still happen to it.
#[derive(Debug)]
pub(crate) struct EngineRecord {
    pub(crate) id: Name,
    pub(crate) address: SocketAddr,
    pub(crate) born_ms: u64,
    pub(crate) is_accepting: bool,
    /// Orders that it has accepted; `None` until a report says it.
    pub(crate) sequence: Option<u64>,
    pub(crate) held: BTreeMap<Name, HeldRecord>,
    pub(crate) memory_copies: Vec<Name>,
    pub(crate) disk_copies: Vec<Name>,
    /// Model order that is carried out.
    pub(crate) active_order: Option<ActiveOrder>,
    /// An order was sent and its answer is due.
    pub(crate) awaits_answer: bool,
    /// Model of an unload that was sent and not answered yet.
    pub(crate) unload_sent: Option<Name>,
    /// A host could not reach it; until then it gets no requests unless a report arrives.
    pub(crate) unreachable_until: MonotonicTime,
    /// No order before this time.
    pub(crate) blocked_until: MonotonicTime,
    /// Conflicts in a row.
    pub(crate) conflicts: u32,
    /// Room that is made for a model.
    pub(crate) claim: Option<MemoryClaim>,
    pub(crate) unanswered: SmallVec<[UnansweredOrder; 2]>,
    pub(crate) report_due: MonotonicTime,
    pub(crate) is_report_pending: bool,
    /// When the newest order was accepted, or sent without an answer.
    pub(crate) last_order_at: MonotonicTime,
    /// Models that failed to load, and until when they are not tried again.
    pub(crate) paused_models: BTreeMap<Name, MonotonicTime>,
}

/// A model that an engine holds or is loading.
#[derive(Debug, Default)]
pub(crate) struct HeldRecord {
    pub(crate) adapters: BTreeMap<Name, AdapterRecord>,
    /// From then on requests can use it.
    pub(crate) ready_at: MonotonicTime,
    pub(crate) last_used: MonotonicTime,
    pub(crate) is_unloading: bool,
    /// A request was refused although it should be there. Requests wait until a report shows it.
    pub(crate) is_unverified: bool,
}

/// An adapter that an engine holds or is loading.
#[derive(Debug, Default)]
pub(crate) struct AdapterRecord {
    pub(crate) ready_at: MonotonicTime,
    pub(crate) last_used: MonotonicTime,
    /// Goes as soon as no request uses it.
    pub(crate) is_unloading: bool,
    /// A host was refused for it. It takes its place until a report shows that it is gone.
    pub(crate) is_unverified: bool,
}

/// A model order that is carried out.
#[derive(Debug)]
pub(crate) struct ActiveOrder {
    pub(crate) action: ResidencyAction,
    pub(crate) model: Name,
    /// Estimate.
    pub(crate) done_at: MonotonicTime,
    pub(crate) started_at: MonotonicTime,
    /// Loads from the weight store under way when it started, with it; 0 if it is none.
    pub(crate) store_loads: usize,
    /// A report shows that it has ended.
    pub(crate) is_confirmed: bool,
}

impl ActiveOrder {
    pub(crate) fn is_from_store(&self) -> bool {
        self.store_loads > 0
    }
}

/// How long a load from the weight store took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreLoadSample {
    pub(crate) time: Duration,
    /// Loads under way when it started, with it.
    pub(crate) concurrent: usize,
}

/// A load that took at most this many times as long as one alone was not slowed down by others. Reports lag a little.
const FULL_SPEED_RATIO: f64 = 1.15;

/// Most loads at once that are tried.
const MAX_FULL_SPEED_LOADS: f64 = 16.0;

impl StoreLoadSample {
    /// Loads that run at full speed at once, given what was `known` and how long one load alone takes.
    pub(crate) fn full_speed_loads(self, known: f64, alone: Duration) -> f64 {
        let Self { time, concurrent } = self;
        let slowness = time.as_secs_f64() / alone.as_secs_f64().max(0.001);
        if slowness > FULL_SPEED_RATIO && concurrent <= 1 {
            // Nothing shared the store with it.
            known
        } else if slowness > FULL_SPEED_RATIO {
            (concurrent as f64 / slowness).max(1.0)
        } else if concurrent >= known as usize {
            // One more is tried next time.
            (concurrent as f64 + 1.0).min(MAX_FULL_SPEED_LOADS)
        } else {
            known
        }
    }
}

/// Memory that is freed on an engine for a model.
#[derive(Debug)]
pub(crate) struct MemoryClaim {
    pub(crate) model: Name,
    pub(crate) until: MonotonicTime,
}

/// An order without an answer. It may be carried out until `until`, if the engine's number of accepted orders is still
/// the expected one then; a restart under the same id starts that number anew.
#[derive(Debug)]
pub(crate) struct UnansweredOrder {
    pub(crate) model: Name,
    pub(crate) adapter: Option<Name>,
    pub(crate) is_load: bool,
    /// Number of accepted orders at which it would still be carried out.
    pub(crate) expected: u64,
    pub(crate) until: MonotonicTime,
    /// The engine's number has gone past the expected one, and not by an order of this planner: it may have been carried
    /// out, and takes memory until a report shows what there is.
    pub(crate) may_have_run: bool,
    /// It takes no memory beside what is known, and never will.
    pub(crate) is_resolved: bool,
}

impl EngineRecord {
    pub(crate) fn new(entry: &BackendEntry, now: MonotonicTime) -> Self {
        let mut record = Self {
            id: entry.id.clone(),
            address: entry.address,
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
            claim: None,
            unanswered: SmallVec::new(),
            report_due: now,
            is_report_pending: false,
            last_order_at: MonotonicTime::ZERO,
            paused_models: BTreeMap::new(),
        };
        record.update_held(&entry.held, now);
        record
    }

    /// The server started anew under its id: it holds nothing, but its disk and late orders remain.
    pub(crate) fn restart(&mut self, entry: &BackendEntry, now: MonotonicTime) {
        let mut unanswered = std::mem::take(&mut self.unanswered);
        for order in &mut unanswered {
            order.may_have_run = false;
            order.is_resolved = false;
        }
        let disk_copies = std::mem::take(&mut self.disk_copies);
        let is_report_pending = self.is_report_pending;
        *self = Self::new(entry, now);
        self.unanswered = unanswered;
        self.is_report_pending = is_report_pending;
        if self.disk_copies.is_empty() {
            self.disk_copies = disk_copies;
        }
    }

    /// Brings the held models in line with what the server says, keeping when they were used.
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

    /// True if an order may be sent now.
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

    /// Time until the order under way ends.
    pub(crate) fn wait(&self, now: MonotonicTime) -> Duration {
        let active_order = self.active_order.as_ref();
        let active_order = active_order.map_or(Duration::ZERO, |order| order.done_at.since(now));
        active_order.max(self.blocked_until.since(now))
    }

    /// True if it has the model, or will have it, and doesn't unload it.
    pub(crate) fn keeps(&self, model: &str) -> bool {
        let is_unload_sent = self.unload_sent.as_deref() == Some(model);
        !is_unload_sent && self.held.get(model).is_some_and(|held| !held.is_unloading)
    }

    pub(crate) fn is_ready(&self, model: &str, now: MonotonicTime) -> bool {
        let held = self.held.get(model);
        self.is_accepting
            && self.unreachable_until <= now
            && held.is_some_and(|held| held.is_kept() && held.ready_at <= now)
    }

    pub(crate) fn weight_source(&self, model: &Name) -> WeightSource {
        if self.memory_copies.contains(model) {
            WeightSource::Memory
        } else if self.disk_copies.contains(model) {
            WeightSource::Disk
        } else {
            WeightSource::Store
        }
    }

    /// Memory that is or may be taken, megabytes.
    ///
    /// A model that is being unloaded counts until the unload should have ended; the next order is refused if it has
    /// not, because an engine carries out one model order at a time.
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

    fn unanswered_mb(&self, spec: &EngineSpec, now: MonotonicTime) -> f64 {
        let unanswered = self.unanswered.iter().filter(|order| order.counts(now));
        unanswered
            .map(|order| match &order.adapter {
                Some(_) => adapter_mb(spec, &order.model),
                None if self.held.contains_key(&order.model) => 0.0,
                None => model_mb(spec, &order.model),
            })
            .sum()
    }

    /// Adapters that are or may be there.
    pub(crate) fn adapter_count(&self, now: MonotonicTime) -> usize {
        let held: usize = self.held.values().map(|held| held.adapters.len()).sum();
        let unanswered = self.unanswered.iter();
        held + unanswered
            .filter(|order| order.adapter.is_some() && order.counts(now))
            .count()
    }

    /// Takes in that a report lists the model that is being loaded: the load has ended, however old the report is.
    /// Returns what the load says of the weight store's speed.
    pub(crate) fn note_loaded(
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

    /// Takes the end of the order under way for granted, because the engine accepted another or reports to be idle.
    pub(crate) fn finish_active_order(&mut self) {
        if let Some(active_order) = self.active_order.take()
            && active_order.action == ResidencyAction::Unload
        {
            self.held.remove(&active_order.model);
        }
    }
}

impl HeldRecord {
    /// True if it is there, or will be, and stays.
    pub(crate) fn is_kept(&self) -> bool {
        !self.is_unloading && !self.is_unverified
    }
}

impl AdapterRecord {
    /// True if it is there, or will be, and stays.
    pub(crate) fn is_kept(&self) -> bool {
        !self.is_unloading && !self.is_unverified
    }

    pub(crate) fn is_usable(&self, now: MonotonicTime) -> bool {
        self.is_kept() && self.ready_at <= now
    }
}

impl UnansweredOrder {
    pub(crate) fn counts(&self, now: MonotonicTime) -> bool {
        self.is_load && !self.is_resolved && now < self.until
    }
}

pub(crate) fn model_mb(spec: &EngineSpec, model: &str) -> f64 {
    // A model that left the configuration still takes memory; the largest known one is a safe guess.
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
