//! Chooses the orders that a [`ResidencyPlanner`] sends.

use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::EngineOrder;
use crate::LoadHold;
use crate::PlaceScope;
use crate::ResidencyAction;
use crate::ResidencyPlanner;
use crate::residency::engine_record::AdapterRecord;
use crate::residency::engine_record::EngineRecord;
use crate::residency::engine_record::MemoryClaim;
use crate::residency::engine_record::model_mb;
use crate::residency::plan_snapshot::PlanSnapshot;
use crate::residency::residency_demand::LoadKey;
use crate::residency::residency_demand::WeightSource;

pub(crate) type Result<T> = std::result::Result<T, LoadHold>;

/// Pause after a plan found nothing to load in the background, until the next one looks again.
const BACKGROUND_PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Concurrent loads from the weight store that are always allowed: a load that is slow for another reason than shared
/// bandwidth must not block all others.
const MIN_CONCURRENT_LOADS: f64 = 2.0;

/// Time for which an engine's memory stays reserved for a model while room is made.
const CLAIM_TIME: Duration = Duration::from_secs(3);

/// Memory left free to absorb rounding errors, megabytes.
pub(crate) const ROUNDING_MB: f64 = 1.0;

/// Added cost of evicting a model that requests use, or that was asked for a moment ago: its unload waits for them and
/// blocks the engine.
const IN_USE_COST_S: f64 = 20.0;

/// A load with more time left is slow: loading from a copy on another engine may be faster.
pub(crate) const SLOW_LOAD_TIME: Duration = Duration::from_millis(1500);

/// Upper bounds of what a load may cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadLimit<'a> {
    /// Largest cost, seconds.
    pub(crate) cost_s: f64,
    /// Slowest source to load from.
    pub(crate) source: WeightSource,
    /// Data centres whose engines may load.
    pub(crate) scope: PlaceScope<'a>,
}

impl LoadLimit<'_> {
    /// No bounds.
    pub(crate) const NONE: Self = Self {
        cost_s: f64::INFINITY,
        source: WeightSource::Store,
        scope: PlaceScope::ALL,
    };
}

/// An engine that could load a model, and what that costs.
#[derive(Debug)]
pub(crate) struct LoadTarget {
    pub(crate) backend: Name,
    /// First model to evict; `None` if there is enough free memory.
    victim: Option<Name>,
    pub(crate) source: WeightSource,
    /// Waiting time of requests, seconds: until the model is loaded, and for the models that are evicted.
    cost_s: f64,
    /// True if the engine can take an order now.
    is_free: bool,
}

impl ResidencyPlanner {
    /// Returns the orders to send now, at most one for each engine. Pass the outcome of each to
    /// [`Self::apply_order_outcome`].
    pub fn plan(&mut self, now: MonotonicTime) -> Vec<EngineOrder> {
        self.expire(now);
        let mut keys: Vec<(u8, MonotonicTime, LoadKey)> = self
            .load_requests
            .iter()
            .map(|(key, request)| (request.urgency, request.since, key.clone()))
            .collect();
        keys.sort();
        let mut orders = Vec::new();
        let mut snapshot = None;
        if keys
            .iter()
            .any(|(_, _, key)| !self.is_held(&key.model, key.scope()))
        {
            let current = self.snapshot(now);
            match self.plan_urgent_replica(&current, now) {
                Some(order) => orders.push(self.mark_sent(order)),
                None => snapshot = Some(current),
            }
        }
        for (_, _, key) in keys {
            let planned = match &key.adapter {
                Some(adapter) if self.is_held(&key.model, key.scope()) => {
                    self.plan_adapter(&key, adapter, now)
                }
                _ => {
                    let snapshot = snapshot.get_or_insert_with(|| self.snapshot(now));
                    self.plan_requested(&key, snapshot, now)
                }
            };
            if let Some(request) = self.load_requests.get_mut(&key) {
                request.hold = planned.as_ref().err().cloned();
            }
            if let Ok(order) = planned {
                orders.push(self.mark_sent(order));
                snapshot = None;
            }
        }
        let is_due = self
            .background_idle_at
            .is_none_or(|at| now.since(at) >= BACKGROUND_PLAN_INTERVAL);
        if is_due {
            let order = self.plan_background(snapshot, now);
            if order.is_none() {
                self.background_idle_at = Some(now);
            }
            orders.extend(order.map(|order| self.mark_sent(order)));
        }
        orders
    }

    /// Drops load requests that are met or old, expired claims and unanswered orders, and starts before the rate
    /// window.
    fn expire(&mut self, now: MonotonicTime) {
        let Self {
            load_requests,
            engines,
            ..
        } = self;
        load_requests.retain(|key, request| {
            let is_met = engines.values().any(|record| {
                let held = record
                    .held
                    .get(&key.model)
                    .filter(|held| !held.is_unloading);
                record.is_accepting
                    && key.scope().contains(&record.place)
                    && held.is_some_and(|held| {
                        if held.ready_at.since(now) > SLOW_LOAD_TIME {
                            return false;
                        }
                        let adapter = key.adapter.as_ref();
                        adapter.is_none_or(|adapter| {
                            let held = held.adapters.get(adapter);
                            held.is_some_and(AdapterRecord::is_kept)
                        })
                    })
            });
            now < request.until && !is_met
        });
        for record in engines.values_mut() {
            if record
                .claim
                .as_ref()
                .is_some_and(|claim| claim.until <= now)
            {
                record.claim = None;
            }
            record.unanswered.retain(|order| now < order.until);
        }
        let window = self.settings.rate_window;
        while self
            .store_starts
            .front()
            .is_some_and(|start| now.since(*start) >= window)
        {
            self.store_starts.pop_front();
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Models

    /// True if an engine has the model loaded or loading.
    pub(crate) fn is_held(&self, model: &Name, scope: PlaceScope<'_>) -> bool {
        self.accepting(scope).any(|record| record.keeps(model))
    }

    /// Engines that accept requests and orders, in the data centres of `scope`.
    pub(crate) fn accepting<'a>(
        &'a self,
        scope: PlaceScope<'a>,
    ) -> impl Iterator<Item = &'a EngineRecord> {
        let engines = self.engines.values();
        engines.filter(move |record| record.is_accepting && scope.contains(&record.place))
    }

    /// Returns the next order for a model that requests wait for; beside a slow load, only for a faster copy.
    fn plan_requested(
        &mut self,
        key: &LoadKey,
        snapshot: &PlanSnapshot,
        now: MonotonicTime,
    ) -> Result<EngineOrder> {
        let scope = key.scope();
        let limit = match self.time_until_replica(&key.model, scope, now) {
            None => LoadLimit {
                scope,
                ..LoadLimit::NONE
            },
            Some(ready_in) => LoadLimit {
                cost_s: ready_in.as_secs_f64(),
                source: WeightSource::Disk,
                scope,
            },
        };
        self.plan_model(&key.model, limit, snapshot, now)
    }

    /// Returns the next order towards a new replica of the model within `limit`: its load, or an eviction that makes
    /// room.
    pub(crate) fn plan_model(
        &mut self,
        model: &Name,
        limit: LoadLimit<'_>,
        snapshot: &PlanSnapshot,
        now: MonotonicTime,
    ) -> Result<EngineOrder> {
        let claimed = self.accepting(limit.scope).find(|record| {
            let claim = record.claim.as_ref();
            claim.is_some_and(|claim| claim.model == *model)
        });
        let target = match claimed {
            Some(record) => self.target(record, model, snapshot, now),
            None => self.best_target(model, limit, snapshot, now),
        };
        let target = target.ok_or_else(|| self.no_target(limit, now))?;
        if target.cost_s > limit.cost_s {
            return Err(LoadHold::OverCost {
                cost_s: target.cost_s,
                limit_s: limit.cost_s,
            });
        }
        if target.source > limit.source {
            return Err(self.no_target(limit, now));
        }
        let backend = target.backend.clone();
        if !target.is_free {
            return Err(LoadHold::EngineBusy { backend });
        }
        let is_from_store = target.source == WeightSource::Store;
        if is_from_store && !self.may_load_from_store(model, now) {
            return Err(LoadHold::StoreBusy);
        }
        let record = self.engines.get_mut(&backend);
        let record = record.ok_or(LoadHold::NoTarget)?;
        record.claim = Some(MemoryClaim {
            model: model.clone(),
            until: now + CLAIM_TIME,
            reserves_store: is_from_store,
        });
        let (action, model) = match target.victim {
            Some(victim) => (ResidencyAction::Unload, victim),
            None => (ResidencyAction::Load, model.clone()),
        };
        order_for(record, action, model, None).ok_or(LoadHold::EngineBusy { backend })
    }

    /// Why no engine can load a model within `limit`.
    pub(crate) fn no_target(&self, limit: LoadLimit<'_>, now: MonotonicTime) -> LoadHold {
        if limit.source == WeightSource::Store {
            return LoadHold::NoTarget;
        }
        LoadHold::NoCopy {
            store_loads: self.active_store_loads(now),
            full_speed: self.full_speed_loads,
        }
    }

    /// Returns the engine with the lowest cost for a new replica of the model.
    pub(crate) fn best_target(
        &self,
        model: &Name,
        limit: LoadLimit<'_>,
        snapshot: &PlanSnapshot,
        now: MonotonicTime,
    ) -> Option<LoadTarget> {
        let engines = self.accepting(limit.scope);
        let engines = engines.filter(|record| record.source_of(model) <= limit.source);
        let targets = engines.filter_map(|record| self.target(record, model, snapshot, now));
        targets.min_by(|one, other| one.cost_s.total_cmp(&other.cost_s))
    }

    /// Computes the cost of loading the model on the engine; `None` if it can't be loaded there now.
    fn target(
        &self,
        record: &EngineRecord,
        model: &Name,
        snapshot: &PlanSnapshot,
        now: MonotonicTime,
    ) -> Option<LoadTarget> {
        let claimed_by_other = record
            .claim
            .as_ref()
            .is_some_and(|claim| claim.model != *model);
        let is_paused = record.paused.get(model).is_some_and(|until| now < *until);
        let is_there = record.keeps(model);
        if record.sequence.is_none() || claimed_by_other || is_paused || is_there {
            return None;
        }
        let needed = model_mb(&self.spec, model) + ROUNDING_MB;
        let room = snapshot.rooms.get(&record.id)?;
        let mut free = room.free_mb;
        let mut cost_s = 0.0;
        let mut first = None;
        let mut unload_time = Duration::ZERO;
        let mut victims = room.victims.iter();
        while free < needed {
            let victim = victims.next()?;
            first.get_or_insert(&victim.model);
            cost_s += victim.cost_s;
            unload_time += victim.unload_time;
            free += victim.freed_mb;
        }
        let source = record.source_of(model);
        let delay = self.load_time(&record.id, model, now) + record.wait(now) + unload_time;
        let supply = snapshot.replicas.get(model).copied().unwrap_or_default();
        let is_absent = supply.count == 0;
        cost_s += delay.as_secs_f64() * self.waiting_requests(model, is_absent, now);
        // What a full replica would save and this one doesn't.
        let share = self.replica_share(record, model, &snapshot.replicas, now);
        let unsaved = self.saved_waiting(model, supply.capacity + share, 1.0 - share, now);
        cost_s += unsaved * self.settings.eviction_horizon_s;
        // Spreads copies over all engines. An engine with many copies would have to swap between their models.
        cost_s += record.disk_copies.len() as f64 * 0.01;
        Some(LoadTarget {
            backend: record.id.clone(),
            victim: first.cloned(),
            source,
            cost_s,
            is_free: record.is_free(now),
        })
    }

    /// True if requests wait for the model or one of its adapters.
    pub(crate) fn is_requested(&self, model: &Name) -> bool {
        self.load_requests.keys().any(|key| key.model == *model)
    }

    /// Requests that a second of delay makes wait: those of a second if the model is requested and absent. Requests for the
    /// adapters of a model with a replica don't wait for a further one alone.
    fn waiting_requests(&self, model: &Name, is_absent: bool, now: MonotonicTime) -> f64 {
        if is_absent && self.is_requested(model) {
            self.rate(model, now).max(1.0)
        } else {
            1.0
        }
    }

    /// Waiting time of future requests over the eviction horizon if the model is evicted from the engine, seconds. The
    /// replica saves `lost` seconds of waiting each second.
    pub(crate) fn eviction_cost(
        &self,
        record: &EngineRecord,
        model: &Name,
        lost: f64,
        now: MonotonicTime,
    ) -> f64 {
        let horizon = self.settings.eviction_horizon_s;
        let Some(held) = record.held.get(model) else {
            return 0.0;
        };
        let idle = now.since(held.last_used);
        let is_recent = held.last_used != MonotonicTime::ZERO && idle < self.settings.recent_use;
        let is_in_use = is_recent || self.runs.on(&record.id, model).is_some();
        let in_use = if is_in_use { IN_USE_COST_S } else { 0.0 };
        // The last term evicts the least recently used model where costs are otherwise equal.
        lost * horizon + in_use + 0.02 / (1.0 + idle.as_secs_f64())
    }

    /// Expected time until the requests in flight for the model on the engine have ended.
    pub(crate) fn unload_time(&self, record: &EngineRecord, model: &Name) -> Duration {
        let total = self.runs.on(&record.id, model);
        total.map_or(Duration::ZERO, |total| {
            self.speed.output_time(total.mean_output_tokens())
        })
    }

    /// Demand for the model, requests a second.
    pub(crate) fn rate(&self, model: &Name, now: MonotonicTime) -> f64 {
        let half_life = self.settings.demand_half_life;
        let demand = self.demand.get(model);
        demand.map_or(0.0, |demand| demand.rate(half_life, now))
    }

    /// Estimated time to load the model on the engine. Concurrent loads beyond full speed share the store's bandwidth.
    pub(crate) fn load_time(&self, backend: &str, model: &Name, now: MonotonicTime) -> Duration {
        let (Some(record), Some(spec)) = (self.engines.get(backend), self.spec.models.get(model))
        else {
            return Duration::ZERO;
        };
        match record.source_of(model) {
            WeightSource::Memory => spec.memory_load,
            WeightSource::Disk => spec.disk_load,
            WeightSource::Store => {
                let share = (self.active_store_loads(now) + 1) as f64 / self.full_speed_loads;
                spec.store_load.mul_f64(share.max(1.0))
            }
        }
    }

    /// True if the order loads a model from the weight store.
    pub(crate) fn is_store_load(&self, order: &EngineOrder) -> bool {
        let record = self.engines.get(&order.backend);
        order.action == ResidencyAction::Load
            && order.adapter.is_none()
            && record.is_some_and(|record| record.source_of(&order.model) == WeightSource::Store)
    }

    /// Number of loads from the weight store that are under way.
    pub(crate) fn active_store_loads(&self, now: MonotonicTime) -> usize {
        let active_orders = self
            .engines
            .values()
            .filter_map(|record| record.active_order.as_ref());
        active_orders
            .filter(|order| order.is_from_store() && now < order.done_at)
            .count()
    }

    /// True if the bandwidth and rate limit of the weight store allow a load of the model. Orders awaiting an answer count,
    /// and loads of other models that room is being made for.
    fn may_load_from_store(&self, model: &Name, now: MonotonicTime) -> bool {
        let window = self.settings.rate_window.as_secs_f64();
        let coming = self.engines.values().filter(|record| {
            let claim = record.claim.as_ref();
            record.awaits_answer
                || claim.is_some_and(|claim| claim.reserves_store && claim.model != *model)
        });
        let coming = coming.count();
        let allowed = (self.spec.store_loads_per_s * window).floor().max(1.0) as usize;
        self.active_store_loads(now) + coming
            < self.full_speed_loads.max(MIN_CONCURRENT_LOADS) as usize
            && self.store_starts.len() + coming < allowed
    }
}

/// Creates an order; `None` if the engine's number of accepted orders is unknown.
pub(crate) fn order_for(
    record: &EngineRecord,
    action: ResidencyAction,
    model: Name,
    adapter: Option<Name>,
) -> Option<EngineOrder> {
    Some(EngineOrder {
        backend: record.id.clone(),
        address: record.address,
        action,
        model,
        adapter,
        expected: record.sequence?,
    })
}
