use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use zinniahinge_types::BackendUse;
use zinniahinge_types::EngineTimes;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::EngineSpec;
use crate::EngineSpeed;
use crate::EvacuatedPlaces;
use crate::LoadHold;
use crate::PlaceScope;
use crate::Placement;
use crate::PlacementQuery;
use crate::ReadyModel;
use crate::ResidencySettings;
use crate::ResidencyView;
use crate::residency::engine_record::EngineRecord;
use crate::residency::open_runs::OpenRuns;
use crate::residency::residency_demand::LoadKey;
use crate::residency::residency_demand::LoadRequest;
use crate::residency::residency_demand::ModelDemand;

/// Extra time, beyond the load time that the service states, until a loading engine is sent the next order.
pub(crate) const ORDER_MARGIN: Duration = Duration::from_millis(120);

/// Pause after an engine refused an order because another one was under way.
pub(crate) const CONFLICT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a load request stays valid unless a host asks again.
const LOAD_REQUEST_TIME: Duration = Duration::from_millis(1500);

/// Retry pause stated to a host while a load is about to be ordered.
const LOAD_ORDER_PAUSE: Duration = Duration::from_millis(15);

/// Extra time given to a load whose estimated end has passed while the engine still rejects requests for the model.
const LATE_LOAD_EXTENSION: Duration = Duration::from_millis(60);

/// Pause between two reports while a load is expected to end.
pub(crate) const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(90);

/// Time for which an engine gets no requests after a host could not connect to it, unless it reports earlier.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1500);

/// Shortest time between two refreshes of the views, whatever the number of hosts that read them.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Decides which models and adapters are loaded on the engines of one service.
///
/// The planner performs no I/O. Callers pass in reports and the outcomes of orders; [`Self::plan`] returns the orders
/// to send.
#[derive(Debug)]
pub struct ResidencyPlanner {
    pub(crate) settings: ResidencySettings,
    pub(crate) spec: EngineSpec,
    pub(crate) engines: BTreeMap<Name, EngineRecord>,
    /// Places in which no engine accepts anything.
    pub(crate) evacuated: EvacuatedPlaces,
    pub(crate) demand: HashMap<Name, ModelDemand>,
    pub(crate) speed: EngineSpeed,
    pub(crate) runs: OpenRuns,
    /// Models and adapters that requests wait for.
    pub(crate) load_requests: BTreeMap<LoadKey, LoadRequest>,
    /// Estimated number of concurrent loads from the weight store that run at full speed.
    pub(crate) full_speed_loads: f64,
    /// Start times of loads from the weight store within [`ResidencySettings::rate_window`].
    pub(crate) store_starts: VecDeque<MonotonicTime>,
    pub(crate) views: BTreeMap<Name, ResidencyView>,
    /// Newest version of any view.
    view_version: u64,
    /// Time of the last refresh of the views; `None` if one is due at once.
    pub(crate) views_refreshed_at: Option<MonotonicTime>,
    /// Time of the last plan that found nothing to load in the background.
    pub(crate) background_idle_at: Option<MonotonicTime>,
    /// Models that a further replica is worth loading for, as of the last background plan: the waiting time that it
    /// saves, seconds each second, and why no order was sent.
    pub(crate) short_replicas: Vec<(Name, f64, LoadHold)>,
    /// Counter for the rotation over ready engines.
    rotation: usize,
}

impl ResidencyPlanner {
    /// Creates a planner without engines. `first_version` must be larger than the versions of any earlier planner's
    /// views, because hosts ask for views newer than the ones they know.
    pub fn new(spec: EngineSpec, settings: ResidencySettings, first_version: u64) -> Self {
        Self {
            full_speed_loads: settings.store_loads_at_once.max(1) as f64,
            settings,
            spec,
            engines: BTreeMap::new(),
            evacuated: EvacuatedPlaces::default(),
            demand: HashMap::new(),
            speed: EngineSpeed::default(),
            runs: OpenRuns::default(),
            load_requests: BTreeMap::new(),
            store_starts: VecDeque::new(),
            views: BTreeMap::new(),
            view_version: first_version,
            views_refreshed_at: None,
            background_idle_at: None,
            short_replicas: Vec::new(),
            rotation: 0,
        }
    }

    /// Number of engines that a plan looks at, accepting or not.
    pub fn engine_count(&self) -> u32 {
        self.engines.len() as u32
    }

    /// Replaces the service's definition; loaded models stay as they are.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Applies the times that a host measured for requests to this service's engines.
    pub fn record_times(&mut self, times: &EngineTimes) {
        self.speed.record(times);
    }

    /// Replaces the requests that a host has in flight on engines.
    pub fn record_runs(&mut self, host: &HostId, usage: &[BackendUse], now: MonotonicTime) {
        self.runs.replace(host, usage, now);
    }

    /// Records `count` requests for a model that hosts have forwarded, for its demand and the time of its last use. The
    /// last pair holds the prompt and output tokens of all these requests together.
    pub fn record_use(
        &mut self,
        model: &Name,
        adapter: Option<&Name>,
        count: u32,
        (prompt_tokens, output_tokens): (u64, u64),
        now: MonotonicTime,
    ) {
        let slots = self.spec.slots;
        let work = self.speed.work_ms(prompt_tokens, output_tokens, slots);
        let half_life = self.settings.demand_half_life;
        let demand = self.demand.entry(model.clone()).or_default();
        demand.add(count, work, half_life, now);
        for record in self.engines.values_mut() {
            let Some(held) = record.held.get_mut(model) else {
                continue;
            };
            held.last_used = now;
            if let Some(adapter) = adapter.and_then(|adapter| held.adapters.get_mut(adapter)) {
                adapter.last_used = now;
            }
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Requests

    /// Answers as [`Self::place_within`] does for a request that may run in every data centre.
    pub fn place(
        &mut self,
        model: &Name,
        adapter: Option<&Name>,
        urgency: u8,
        time_left: Duration,
        refused_by: Option<&Name>,
        now: MonotonicTime,
    ) -> Placement {
        let query = PlacementQuery {
            model,
            adapter,
            urgency,
            time_left,
            refused_by,
            scope: PlaceScope::ALL,
        };
        self.place_within(&query, now)
    }

    /// Returns where a request for a model, or an adapter of it, can be sent. What is not loaded or loading becomes a
    /// load request for the next [`Self::plan`].
    pub fn place_within(&mut self, query: &PlacementQuery<'_>, now: MonotonicTime) -> Placement {
        let PlacementQuery {
            model,
            adapter,
            time_left,
            refused_by,
            scope,
            ..
        } = *query;
        if !self.is_defined(model, adapter) {
            return Placement::Refused { retry_after: None };
        }
        if let Some(backend) = refused_by {
            self.record_refusal(backend, model, adapter, now);
        }
        if let Some(backend) = self.ready_engine(model, adapter, scope, now) {
            return Placement::Ready { backend };
        }
        let time_until_replica = self
            .time_until_replica(model, scope, now)
            .filter(|time| !time.is_zero());
        let faster_copy_time =
            time_until_replica.and_then(|time| self.faster_copy_time(model, time, scope, now));
        if let Some(again_in) = faster_copy_time {
            self.request_load(query, None, now);
            return Placement::Wait { again_in };
        }
        match self.loading_engine(model, adapter, scope, now) {
            Some((backend, Some(ready_in))) => return Placement::Loading { backend, ready_in },
            Some((_, None)) => {
                return Placement::Wait {
                    again_in: LOAD_CHECK_INTERVAL,
                };
            }
            None => {}
        }
        let estimate = self.estimate(model, scope, now);
        match estimate {
            Some(estimate) if estimate < time_left => {}
            _ => {
                return Placement::Refused {
                    retry_after: estimate.or_else(|| self.evacuation_pause(model)),
                };
            }
        }
        if let Some(again_in) = time_until_replica {
            // Adapters can only be loaded once their model is.
            return Placement::Wait { again_in };
        }
        self.request_load(query, adapter, now);
        Placement::Wait {
            again_in: LOAD_ORDER_PAUSE,
        }
    }

    /// Adds a load request, or extends one and raises its urgency.
    fn request_load(
        &mut self,
        query: &PlacementQuery<'_>,
        adapter: Option<&Name>,
        now: MonotonicTime,
    ) {
        let PlacementQuery {
            model,
            urgency,
            time_left,
            scope,
            ..
        } = *query;
        let key = LoadKey {
            model: model.clone(),
            adapter: adapter.cloned(),
            places: scope.places.map(<[Name]>::to_vec),
        };
        let request = self.load_requests.entry(key).or_insert(LoadRequest {
            urgency,
            since: now,
            until: now,
            hold: None,
        });
        request.urgency = request.urgency.min(urgency);
        request.until = request.until.max(now + LOAD_REQUEST_TIME.min(time_left));
    }

    /// True if the service defines the model, and the adapter by a number in its name, as in `a7`.
    fn is_defined(&self, model: &Name, adapter: Option<&Name>) -> bool {
        let Some(spec) = self.spec.models.get(model) else {
            return false;
        };
        adapter.is_none_or(|adapter| {
            let number = adapter
                .strip_prefix('a')
                .and_then(|digits| digits.parse().ok());
            number.is_some_and(|number: u32| (1..=spec.adapters).contains(&number))
        })
    }

    /// Returns an engine that can serve the request now, preferably one that gets fewer requests than its limit. Engines
    /// rotate, to spread requests that ask at the same time.
    fn ready_engine(
        &mut self,
        model: &Name,
        adapter: Option<&Name>,
        scope: PlaceScope<'_>,
        now: MonotonicTime,
    ) -> Option<Name> {
        let engines = self.engines.values();
        let mut ready: Vec<&Name> = engines
            .filter(|record| scope.contains(&record.place) && record.is_ready(model, now))
            .filter(|record| adapter.is_none_or(|adapter| has_adapter(record, model, adapter, now)))
            .map(|record| &record.id)
            .collect();
        if ready.len() > 1 {
            let short = self.short_engines(now);
            if ready.iter().any(|id| !short.contains(*id)) {
                ready.retain(|id| !short.contains(*id));
            }
        }
        if ready.is_empty() {
            return None;
        }
        self.rotation = self.rotation.wrapping_add(1);
        Some(ready[self.rotation % ready.len()].clone())
    }

    /// Returns the engine whose load ends first, with the time left; `None` as time if the model there is unverified.
    fn loading_engine(
        &self,
        model: &Name,
        adapter: Option<&Name>,
        scope: PlaceScope<'_>,
        now: MonotonicTime,
    ) -> Option<(Name, Option<Duration>)> {
        let engines = self.engines.values();
        let engines = engines.filter(|record| {
            record.is_accepting && record.unreachable_until <= now && scope.contains(&record.place)
        });
        let coming = engines.filter_map(|record| {
            let held = record.held.get(model).filter(|held| !held.is_unloading)?;
            if held.is_unverified {
                return Some((record.id.clone(), None));
            }
            let ready_at = match adapter {
                None => held.ready_at,
                Some(adapter) => {
                    let adapter = held.adapters.get(adapter)?;
                    adapter
                        .is_kept()
                        .then_some(adapter.ready_at.max(held.ready_at))?
                }
            };
            Some((record.id.clone(), Some(ready_at.since(now))))
        });
        // An unverified one comes last: the time until it is ready is unknown.
        coming.min_by_key(|(_, ready_in)| ready_in.unwrap_or(Duration::MAX))
    }

    /// Records that a host could not connect to the engine. It gets no requests for a while, and its report is due at
    /// once.
    pub fn record_unreachable(&mut self, backend: &Name, now: MonotonicTime) {
        self.views_refreshed_at = None;
        if let Some(record) = self.engines.get_mut(backend) {
            record.unreachable_until = now + UNREACHABLE_TIME;
            record.report_due = record.report_due.min(now);
        }
    }

    /// Records that an engine rejected a request for a model or adapter that this planner counts as ready.
    fn record_refusal(
        &mut self,
        backend: &Name,
        model: &Name,
        adapter: Option<&Name>,
        now: MonotonicTime,
    ) {
        self.views_refreshed_at = None;
        let Some(record) = self.engines.get_mut(backend) else {
            return;
        };
        let active_order = record
            .active_order
            .as_mut()
            .filter(|order| order.model == *model);
        let Some(held) = record.held.get_mut(model) else {
            return;
        };
        // The rejection may be older than the planner's own state, so it frees no memory. The next report decides.
        match (active_order, adapter) {
            (Some(active_order), _) => {
                active_order.done_at = active_order.done_at.max(now + LATE_LOAD_EXTENSION);
                held.is_unverified = !active_order.is_confirmed;
            }
            (None, Some(adapter)) => {
                if let Some(adapter) = held.adapters.get_mut(adapter) {
                    adapter.is_unverified = true;
                }
            }
            (None, None) => held.is_unverified = true,
        }
        record.report_due = now;
    }

    // ---------------------------------------------------------------------------------------------
    // Orders

    /// Returns the engines whose reports are due, with their addresses. Each counts as asked until
    /// [`Self::observe_report`] is called for it.
    pub fn due_reports(&mut self, now: MonotonicTime) -> Vec<(Name, std::net::SocketAddr)> {
        let due = self.engines.values_mut().filter(|record| {
            record.is_accepting && !record.awaits_report && record.report_due <= now
        });
        due.map(|record| {
            record.awaits_report = true;
            (record.id.clone(), record.address)
        })
        .collect()
    }

    /// Earliest time at which [`Self::plan`] or [`Self::due_reports`] may return something new without new
    /// observations.
    pub fn next_wakeup(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let engines = self.engines.values().filter(|record| record.is_accepting);
        let reports = engines.clone().filter(|record| !record.awaits_report);
        let reports = reports.map(|record| record.report_due);
        let active_orders = engines
            .clone()
            .filter_map(|record| record.active_order.as_ref());
        let active_orders = active_orders.map(|order| order.done_at);
        let blocks = engines.map(|record| record.blocked_until);
        let later = reports
            .chain(active_orders)
            .chain(blocks)
            .filter(|at| *at > now);
        later.min()
    }

    /// Returns the views that changed after `version`, and the newest version. Views are refreshed every 50 ms at most.
    pub fn views_since(&mut self, version: u64, now: MonotonicTime) -> (Vec<ResidencyView>, u64) {
        let is_due = self
            .views_refreshed_at
            .is_none_or(|at| now.since(at) >= VIEW_INTERVAL);
        if is_due {
            self.views_refreshed_at = Some(now);
            self.refresh_views(now);
        }
        let views = self.views.values().filter(|view| view.version > version);
        (views.cloned().collect(), self.view_version)
    }

    fn refresh_views(&mut self, now: MonotonicTime) {
        let evacuated = &self.evacuated;
        // Hosts send nothing to evacuated engines, and need their models at once after the end.
        let engines = self.engines.values();
        for record in engines.filter(|record| !evacuated.contains(&record.place)) {
            let models = ready_models(record, now);
            let known = self.views.get(&record.id);
            if known.is_none_or(|view| view.models != models || view.born_ms != record.born_ms) {
                self.view_version += 1;
                let view = ResidencyView {
                    backend: record.id.clone(),
                    born_ms: record.born_ms,
                    version: self.view_version,
                    models,
                };
                self.views.insert(record.id.clone(), view);
            }
        }
    }
}

/// True if requests can use the adapter on the engine now.
fn has_adapter(record: &EngineRecord, model: &str, adapter: &str, now: MonotonicTime) -> bool {
    let held = record.held.get(model);
    let adapter = held.and_then(|held| held.adapters.get(adapter));
    adapter.is_some_and(|adapter| adapter.is_usable(now))
}

/// Models of the engine, with adapters, that requests can use now.
fn ready_models(record: &EngineRecord, now: MonotonicTime) -> Vec<ReadyModel> {
    let held = record
        .held
        .iter()
        .filter(|(model, _)| record.is_ready(model, now));
    held.map(|(model, held)| {
        let adapters = held
            .adapters
            .iter()
            .filter(|(_, adapter)| adapter.is_usable(now));
        ReadyModel {
            model: model.clone(),
            adapters: adapters.map(|(name, _)| name.clone()).collect(),
        }
    })
    .collect()
}
