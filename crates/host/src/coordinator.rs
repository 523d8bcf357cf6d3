use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::sync::Notify;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendPhase;
use zinniahinge_serving::CoordinatorTerm;
use zinniahinge_serving::CoordinatorTimes;
use zinniahinge_serving::FleetLedger;
use zinniahinge_serving::HandoverWait;
use zinniahinge_serving::LimitLedger;
use zinniahinge_serving::PaceLedger;
use zinniahinge_serving::PartLedger;
use zinniahinge_serving::PlaceScope;
use zinniahinge_serving::Placement;
use zinniahinge_serving::PlacementQuery;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;
use zinniahinge_serving::StoreEraRecord;
use zinniahinge_types::BackendRun;
use zinniahinge_types::ColdNotice;
use zinniahinge_types::EngineModels;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetChargeReply;
use zinniahinge_types::FleetReply;
use zinniahinge_types::FleetReport;
use zinniahinge_types::FleetView;
use zinniahinge_types::LimitNotice;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PaceNotice;
use zinniahinge_types::PlacementReply;
use zinniahinge_types::PlacementRequest;
use zinniahinge_types::SlotDecision;
use zinniahinge_types::SlotRequest;
use zinniahinge_types::StorePosition;

use crate::fleet_reporter::INTERVAL_PER_HOST;
use crate::fleet_table::FleetTable;
use crate::host_state::HostState;
use crate::host_state::meter_settings;
use crate::model_watch::ModelWatch;
use crate::store_relay::reading_since;
use crate::store_relay::relayed_outage;

/// Low bits of a view version that count changes; the fencing number is in the bits above. Leaves 16 million changes for
/// each term, and 40 for the fencing number: a thousand eras of the store.
const VERSION_BITS_PER_FENCE: u32 = 24;

/// Longest time for which the answer to a placement request is held back while an order runs. Adapters load within it.
const PLACE_HOLD_LIMIT: Duration = Duration::from_millis(400);

/// Shortest time after which a held placement request is decided again, unless an order for its model ends before.
const PLACE_RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Shortest time between two decisions on prompt parts, so that a report costs the same in a large fleet.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time within which all hosts report what they saw: two reports of a small fleet.
const MIN_REPORT_LAG: Duration = Duration::from_millis(600);

/// State of the coordinator during one term: a residency planner for each service, and the ledger of rates and loads.
pub(crate) struct Coordinator {
    pub(crate) state: Arc<HostState>,
    pub(crate) fence: u64,
    /// Position of the lease record in the store, from which the fencing number follows.
    pub(crate) claim: StorePosition,
    pub(crate) planners: HashMap<Name, ResidencyPlanner>,
    pub(crate) ledger: FleetLedger,
    /// Prompt parts that crash backend servers.
    pub(crate) parts: PartLedger,
    /// Schedules for backend servers that get only so many requests a second.
    pub(crate) limits: LimitLedger,
    /// Paces of backend servers that have just started or recovered.
    pub(crate) paces: PaceLedger,
    /// All paces, as they last changed.
    pub(crate) pace_notices: Vec<PaceNotice>,
    /// Backend servers that are cold, as of `settled_at`.
    pub(crate) cold: Vec<ColdNotice>,
    watch: ModelWatch,
    /// Backend servers that say that they leave while the store lists them as ready, as of `settled_at`.
    leaving: Vec<BackendRun>,
    /// What backend servers said about their limits, as of `settled_at`.
    pub(crate) limit_notices: Vec<LimitNotice>,
    /// When the prompt parts were last decided on.
    pub(crate) settled_at: MonotonicTime,
}

/// The term and the coordinator's state; both are empty while another host coordinates.
pub(crate) struct CoordinatorCell {
    term: Mutex<CoordinatorTerm>,
    coordinator: Mutex<Option<Coordinator>>,
    /// Newest era of the store; a term of an older one ends.
    eras: Arc<StoreEraRecord>,
    /// Notified when orders may have become possible.
    pub(crate) work: Notify,
    /// Notified when an order for the model ended; by model.
    progress: Mutex<HashMap<Name, Arc<Notify>>>,
}

impl Coordinator {
    /// Starts with what this host granted as a stand-in. `is_first` is true if no host coordinated before.
    pub(crate) fn new(state: Arc<HostState>, claim: StorePosition, is_first: bool) -> Self {
        let fence = claim.fence();
        let now = state.now();
        let mut ledger = FleetLedger::new(meter_settings(&state.startup.bounds), is_first, now);
        let table = state.table.load_full();
        ledger.record_stand_in(&state.take_stand_in(), table.accounts(), now);
        for (run, factor) in table.learned_factors() {
            ledger.assume_speed(&run, factor, now);
        }
        let parts = PartLedger::new(&table.blocked, fence << VERSION_BITS_PER_FENCE, now);
        Self {
            state,
            fence,
            claim,
            planners: HashMap::new(),
            ledger,
            parts,
            limits: LimitLedger::new(now),
            paces: PaceLedger::new(now),
            pace_notices: Vec::new(),
            cold: Vec::new(),
            watch: ModelWatch::default(),
            leaving: Vec::new(),
            limit_notices: Vec::new(),
            settled_at: now,
        }
    }

    /// Updates planners and ledger to the configuration in force and to the hosts and backend servers in the table.
    ///
    /// `store_loads` is the number of loads from the weight store that may run at once.
    pub(crate) fn sync_with_table(&mut self, store_loads: usize, now: MonotonicTime) {
        let table = self.state.table.load_full();
        let Some(config) = &table.config else {
            return;
        };
        let engines = config.services.values().filter_map(|service| {
            let engine = service.engine.as_ref()?;
            Some((service.name.clone(), engine))
        });
        let first_version = self.fence << VERSION_BITS_PER_FENCE;
        let load_window = self.state.startup.bounds.load_window;
        for (service, spec) in engines {
            let planner = self.planners.entry(service.clone()).or_insert_with(|| {
                let settings = ResidencySettings {
                    store_loads_at_once: store_loads,
                    rate_window: load_window,
                    ..ResidencySettings::default()
                };
                ResidencyPlanner::new(spec.clone(), settings, first_version)
            });
            planner.set_spec(spec.clone());
            planner.set_evacuated(&table.evacuated);
            let backends = table.backends(&service);
            for slot in backends {
                if slot.leaves_unlisted() {
                    let mut entry = BackendEntry::clone(&slot.entry);
                    entry.phase = BackendPhase::Leaving;
                    planner.observe_entry(&entry, now);
                } else {
                    planner.observe_entry(&slot.entry, now);
                }
            }
            let listed: HashSet<&Name> = backends.iter().map(|slot| &slot.entry.id).collect();
            planner.retain_engines(|id| listed.contains(id));
            planner.set_time_factors(&table.time_factors(&service));
        }
        self.set_planner_limits(&table, now);
        let last_seen = self.state.with_source(|source| {
            let hosts = source.hosts.iter();
            hosts
                .map(|(host, known)| (host.clone(), known.record_seen_at))
                .collect()
        });
        self.ledger.set_hosts(last_seen);
        self.planners
            .retain(|service, _| config.services.contains_key(service));
        let slots = table.services.values().flatten();
        let listed: HashSet<&Name> = slots.map(|slot| &slot.entry.id).collect();
        self.ledger.retain_backends(|id| listed.contains(id));
        self.limits.expire(now);
    }

    /// Runs the ledger's periodic work over all accounts and backend servers if it is due.
    fn settle(&mut self, table: &FleetTable, now: MonotonicTime) {
        let accounts = table.accounts();
        let groups = || {
            let groups = table.services.values();
            let groups = groups.map(|slots| {
                let ids = slots.iter().map(|slot| slot.entry.id.clone());
                ids.collect()
            });
            groups.collect()
        };
        self.ledger.settle(accounts, groups, now);
    }

    /// Decides on prompt parts, and logs the decisions.
    fn settle_parts(&mut self, now: MonotonicTime) {
        let lag = INTERVAL_PER_HOST * 2 * self.ledger.host_count();
        let decisions = self.parts.settle(lag.max(MIN_REPORT_LAG), now);
        let logger = &self.state.logger;
        for suspect in &decisions.blocked {
            warn!(logger, "prompt part blocked, it crashes backend servers";
                "part" => format!("{:x}", suspect.part), "crashes" => suspect.crashes,
                "first_ms" => now.since(suspect.first_at).as_millis() as u64,
                "chance" => suspect.chance, "fence" => self.fence);
        }
        for part in &decisions.released {
            info!(logger, "prompt part released, an answer with it got under way";
                "part" => format!("{part:x}"), "fence" => self.fence);
        }
    }

    /// Charges a request to its client account in the ledger.
    fn charge(&mut self, request: &FleetCharge, now: MonotonicTime) -> FleetChargeReply {
        let table = self.state.table.load_full();
        self.settle(&table, now);
        let accounts = table.accounts();
        let Some(account) = accounts.get(&request.account) else {
            return FleetChargeReply::Unknown;
        };
        let FleetCharge { host, units, .. } = request;
        let is_admitted = self.ledger.charge(host, account, *units, accounts, now);
        let level = self.ledger.level(host, account, now);
        FleetChargeReply::Holder { is_admitted, level }
    }

    /// Takes in a host's report and returns what changed in the fleet since the versions that it names.
    fn report(&mut self, report: &FleetReport, now: MonotonicTime) -> FleetView {
        let table = self.state.table.load_full();
        let accounts = table.accounts();
        self.settle(&table, now);
        self.ledger.apply(report, accounts, now);
        for change in self.ledger.take_speed_changes() {
            info!(self.state.logger, "learned speed of a backend server changed";
                "backend" => &*change.backend, "time_percent" => change.percent,
                "time_percent_before" => change.percent_before, "fence" => self.fence);
        }
        self.state.mark_leaving(&report.leaving);
        self.state.record_limits(&report.limits, now);
        self.state.record_cold(&report.cold);
        for usage in &report.backends {
            if let Some(answers) = &usage.answers {
                self.paces.record(&usage.backend, answers, now);
            }
        }
        self.parts.apply(&report.host, &report.parts, now);
        if now.since(self.settled_at) >= SETTLE_INTERVAL {
            self.settled_at = now;
            self.leaving = table.leaving_unlisted();
            self.limit_notices = table.limit_notices(Duration::MAX, now);
            self.settle_parts(now);
            self.settle_paces(&table, now);
        }
        if !report.paces.is_empty() {
            self.settle_paces(&table, now);
            let inherited = self.paces.inherit(&report.paces, now);
            self.apply_paces(&table, &inherited);
        }
        for used in &report.models {
            self.watch.record(used, now);
            if used.count == 0 {
                continue;
            }
            if let Some(planner) = self.planners.get_mut(&used.service) {
                let tokens = (used.prompt_tokens, used.output_tokens);
                planner.record_use(&used.model, used.adapter.as_ref(), used.count, tokens, now);
            }
        }
        for planner in self.planners.values_mut() {
            planner.record_runs(&report.host, &report.backends, now);
        }
        for times in &report.engine_times {
            if let Some(planner) = self.planners.get_mut(&times.service) {
                planner.record_times(times);
            }
        }
        self.watch.observe(&self.planners, &self.state, now);
        let mut engines = Vec::new();
        let mut view_version = 0;
        for planner in self.planners.values_mut() {
            let (views, version) = planner.views_since(report.view_version, now);
            view_version = view_version.max(version);
            engines.extend(views.into_iter().map(|view| {
                let models = view.models.into_iter();
                EngineModels {
                    backend: view.backend,
                    born_ms: view.born_ms,
                    models: models.map(|model| (model.model, model.adapters)).collect(),
                }
            }));
        }
        let known_totals = (report.fence == self.fence).then_some(report.totals_version);
        let (backends, totals_version) = self.ledger.totals_since(known_totals.unwrap_or_default());
        FleetView {
            fence: self.fence,
            hosts: self.ledger.host_count(),
            accounts: self.ledger.levels(&report.host, accounts, now),
            backends,
            totals_version,
            view_version,
            engines,
            store: report
                .store_position()
                .and_then(|after| reading_since(&self.state, after)),
            store_era: self.state.eras.newest(),
            store_outage: relayed_outage(&self.state),
            leaving: self.leaving.clone(),
            limits: self.limits_known(now),
            cold: self.cold_known(now),
            paces: self.pace_notices.clone(),
            blocked: self.parts.changes_since(report.parts.blocked_version, now),
        }
    }
}

impl CoordinatorCell {
    pub(crate) fn new(times: CoordinatorTimes, eras: Arc<StoreEraRecord>) -> Self {
        Self {
            term: Mutex::new(CoordinatorTerm::new(times)),
            coordinator: Mutex::new(None),
            eras,
            work: Notify::new(),
            progress: Mutex::default(),
        }
    }

    /// Returns the notification for ended orders of `model`. There is one for each model, so that an order wakes only the
    /// requests that wait for its model.
    pub(crate) fn progress(&self, model: &Name) -> Arc<Notify> {
        let mut progress = self.progress.lock().unwrap_or_else(PoisonError::into_inner);
        progress.entry(model.clone()).or_default().clone()
    }

    /// Locks the term; one of an older era than the newest has ended.
    fn term(&self) -> MutexGuard<'_, CoordinatorTerm> {
        let mut term = self.term.lock().unwrap_or_else(PoisonError::into_inner);
        term.observe_era(self.eras.newest());
        term
    }

    /// Starts a term claimed at `position`; its lease was requested at `sent`. Orders are held back as `wait` requires.
    pub(crate) fn start_term(
        &self,
        coordinator: Coordinator,
        position: StorePosition,
        sent: MonotonicTime,
        now: MonotonicTime,
        wait: HandoverWait,
    ) {
        *self.lock() = Some(coordinator);
        self.term().start(position, sent, now, wait);
        self.work.notify_one();
    }

    /// Extends the term by an acknowledged renewal that was sent at `sent`.
    pub(crate) fn renew(&self, sent: MonotonicTime) {
        self.term().renew(sent);
    }

    /// Ends the term and drops the coordinator's state.
    pub(crate) fn end_term(&self) {
        self.term().end();
        *self.lock() = None;
    }

    /// Fencing number of the term; `None` if there is none or it has expired.
    pub(crate) fn fence(&self, now: MonotonicTime) -> Option<u64> {
        self.term().fence(now)
    }

    /// Fencing number under which an order may be sent at `now`; `None` if no order may be sent.
    pub(crate) fn order_fence(&self, now: MonotonicTime) -> Option<u64> {
        self.term().order_fence(now)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Coordinator>> {
        self.coordinator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `act` with the coordinator's state under its lock; `None` if this host has no term.
    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Coordinator) -> T) -> Option<T> {
        self.lock().as_mut().map(act)
    }

    /// Answers a host's report, or says that this host does not coordinate.
    pub(crate) fn report(&self, report: &FleetReport, now: MonotonicTime) -> FleetReply {
        self.eras.observe(report.store_era);
        let view = self
            .fence(now)
            .and_then(|_| self.with(|coordinator| coordinator.report(report, now)));
        let newest = self.eras.newest();
        match view {
            Some(view) => FleetReply::View(Box::new(view)),
            None if newest > report.store_era => FleetReply::NotHolderInEra(newest),
            None => FleetReply::NotHolder,
        }
    }

    /// Decides whether a host may admit a request: as the coordinator if this host is it, otherwise as the stand-in.
    pub(crate) fn charge(&self, request: &FleetCharge, state: &HostState) -> FleetChargeReply {
        let now = state.now();
        let is_coordinator = self.fence(now).is_some();
        let decided =
            is_coordinator.then(|| self.with(|coordinator| coordinator.charge(request, now)));
        match decided.flatten() {
            Some(reply) => reply,
            None => state.stand_in_charge(request),
        }
    }

    /// Decides when a host may send a request to a backend server that limits requests; `None` if this host does not
    /// coordinate.
    pub(crate) fn slot(&self, request: &SlotRequest, now: MonotonicTime) -> Option<SlotDecision> {
        self.fence(now)?;
        self.with(|coordinator| coordinator.slot(request, now))
    }

    /// Decides for a host to which backend server a request can go. Holds the answer while an order may still make room,
    /// for [`PLACE_HOLD_LIMIT`] or the request's remaining time, whichever is shorter.
    pub(crate) async fn place(
        &self,
        request: &PlacementRequest,
        state: &HostState,
    ) -> PlacementReply {
        let until = state.now() + PLACE_HOLD_LIMIT.min(Duration::from_millis(request.time_left_ms));
        let mut refused_by = request.refused_by.clone();
        let mut unreached = request.unreached.clone();
        let regions = request.regions.as_deref();
        let places = regions.map(|regions| state.places_in(regions));
        loop {
            let now = state.now();
            if self.fence(now).is_none() {
                return PlacementReply::NotHolder;
            }
            let placement = self.with(|coordinator| {
                let planner = coordinator.planners.get_mut(&request.service)?;
                if let Some(unreached) = unreached.take() {
                    planner.record_unreachable(&unreached, now);
                }
                let query = PlacementQuery {
                    model: &request.model,
                    adapter: request.adapter.as_ref(),
                    urgency: request.urgency,
                    time_left: Duration::from_millis(request.time_left_ms),
                    refused_by: refused_by.as_ref(),
                    scope: PlaceScope {
                        places: places.as_deref(),
                    },
                };
                Some(planner.place_within(&query, now))
            });
            refused_by = None;
            let Some(Some(placement)) = placement else {
                return PlacementReply::NotHolder;
            };
            let again_in = match placement {
                Placement::Ready { backend } => {
                    return PlacementReply::At {
                        backend,
                        ready_in_ms: 0,
                    };
                }
                Placement::Loading { backend, ready_in } => {
                    return PlacementReply::At {
                        backend,
                        ready_in_ms: ready_in.as_millis() as u64,
                    };
                }
                Placement::Refused { retry_after } => {
                    return PlacementReply::Refused {
                        retry_after_ms: retry_after.map(|after| after.as_millis() as u64),
                    };
                }
                Placement::Wait { again_in } => again_in,
            };
            let progress = self.progress(&request.model);
            let progress = progress.notified();
            self.work.notify_one();
            if now + again_in >= until {
                return PlacementReply::AskAgain {
                    again_in_ms: again_in.as_millis() as u64,
                };
            }
            let _ = tokio::time::timeout(PLACE_RECHECK_INTERVAL.max(again_in), progress).await;
        }
    }
}
