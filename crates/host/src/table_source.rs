use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use zinniahinge_platform::FleetBounds;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::BackendRoster;
use zinniahinge_serving::ChangeLog;
use zinniahinge_serving::ColdTolerance;
use zinniahinge_serving::EvacuatedPlaces;
use zinniahinge_serving::ServingConfig;
use zinniahinge_serving::candidate_order;
use zinniahinge_serving::is_paced;
use zinniahinge_types::BackendRun;
use zinniahinge_types::BlockedParts;
use zinniahinge_types::EngineModels;
use zinniahinge_types::HostPower;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

use crate::fleet_table::BackendSlot;
use crate::fleet_table::FleetTable;
use crate::fleet_table::LeaseHolder;
use crate::fleet_table::TermRecord;

/// Time within which running backend servers write their entries again after an outage of the store.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// Age of the coordinator's newest views from which a server's own entry in the store takes precedence over them.
const VIEW_MAX_AGE: Duration = Duration::from_secs(5);

/// Difference between a cold time that a server states and the known one that delays on the way explain.
const COLD_TIME_SLACK: Duration = Duration::from_millis(500);

/// Largest number of runs that are not listed of which the load is kept, because they leave or pause.
const MAX_UNLISTED_LOADS: usize = 4096;

/// A host of the fleet as its record in the store describes it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownHost {
    /// Address on which it accepts messages of other hosts.
    pub(crate) address: SocketAddr,
    /// Its power, by which candidates for the coordinator are ranked.
    pub(crate) power: HostPower,
    /// When this host learned of the record's last write. A host that reaches no coordinator writes it again to show that
    /// it is alive.
    pub(crate) record_seen_at: MonotonicTime,
}

/// Mutable state from the store and from the coordinator, from which [`FleetTable`] is built after a change.
#[derive(Debug)]
pub(crate) struct TableSource {
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// Text of the configuration as read, with its position, for hosts that can't read the store.
    pub(crate) config_item: Option<(StorePosition, Bytes)>,
    pub(crate) roster: BackendRoster,
    pub(crate) holder: Option<LeaseHolder>,
    /// Record of the last coordinator's term; it outlives the lease.
    pub(crate) last_term: Option<TermRecord>,
    /// Hosts of the fleet by name.
    pub(crate) hosts: HashMap<Name, KnownHost>,
    /// When the store's present era was first listed; host records seen before may be missing from the store.
    pub(crate) era_began_at: MonotonicTime,
    /// True once the fleet's peer keys were found in the store in its present era.
    pub(crate) has_peer_keys: bool,
    /// Text of the fleet's peer keys, which are written again if the store returns from a copy without them.
    pub(crate) peer_keys: Option<Bytes>,
    /// Last decode error of each backend server's entry that can't be read, so that it is logged only once.
    pub(crate) unreadable: HashMap<Name, String>,
    /// Places whose servers get no requests.
    pub(crate) evacuations: EvacuatedPlaces,
    /// Newest changes of the store, which the coordinator relays.
    pub(crate) log: ChangeLog,
    /// True after the first complete listing of the store.
    pub(crate) is_listed: bool,
    /// Models that each engine holds as the coordinator sees them, by backend server.
    views: HashMap<Name, EngineModels>,
    /// Version of the views; 0 asks the coordinator for all of them.
    pub(crate) view_version: u64,
    views_received_at: MonotonicTime,
    /// Prompt parts whose requests are refused, and when this host learned of them.
    blocked: (Arc<BlockedParts>, MonotonicTime),
    /// How far requests in one second may exceed what a cold backend server takes.
    cold_tolerance: ColdTolerance,
    /// Load counters by backend server and time of its start, so that a restarted server starts with new ones.
    loads: HashMap<(Name, u64), Arc<BackendLoad>>,
}

impl TableSource {
    pub(crate) fn new(bounds: &FleetBounds) -> Self {
        Self {
            cold_tolerance: bounds.cold_tolerance,
            config: None,
            config_item: None,
            roster: BackendRoster::new(REREGISTRATION_TIME),
            holder: None,
            last_term: None,
            hosts: HashMap::new(),
            era_began_at: MonotonicTime::ZERO,
            has_peer_keys: false,
            peer_keys: None,
            unreadable: HashMap::new(),
            evacuations: EvacuatedPlaces::default(),
            log: ChangeLog::default(),
            is_listed: false,
            views: HashMap::new(),
            view_version: 0,
            views_received_at: MonotonicTime::ZERO,
            blocked: Default::default(),
            loads: HashMap::new(),
        }
    }

    /// Returns the position in the store up to which all changes are known; `None` before the first listing.
    pub(crate) fn known_position(&self) -> Option<StorePosition> {
        self.is_listed.then(|| self.log.position())
    }

    /// Returns the position to name to the coordinator, in the newest era of the store. Revision 0 asks for all of the store, if
    /// the known position is of another era and this host's own calls fail.
    pub(crate) fn reported_position(
        &self,
        newest: StoreEra,
        now: MonotonicTime,
    ) -> Option<StorePosition> {
        let known = self.known_position()?;
        if known.era == newest {
            return Some(known);
        }
        self.roster.own_outage(now).map(|_| StorePosition {
            era: newest,
            revision: 0,
        })
    }

    /// True if the store's present era has a record of `host`, as far as this host knows.
    pub(crate) fn has_host_record(&self, host: &str) -> bool {
        let known = self.hosts.get(host);
        known.is_some_and(|known| known.record_seen_at >= self.era_began_at)
    }

    /// Returns the hosts in the order in which they claim the coordinator lease and stand in for the coordinator.
    pub(crate) fn candidate_order(&self) -> Vec<Name> {
        let hosts = self.hosts.iter();
        let hosts = hosts.map(|(host, known)| (host.clone(), known.power));
        let last = self.last_term.as_ref().map(|term| &*term.host);
        candidate_order(hosts, last)
    }

    /// Adds or replaces a backend server's entry. If the coordinator has sent no views for [`VIEW_MAX_AGE`], drops the
    /// server's view, so that the list of its models comes from the entry again.
    pub(crate) fn put_backend(
        &mut self,
        entry: BackendEntry,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if now.since(self.views_received_at) >= VIEW_MAX_AGE
            && self.views.remove(&entry.id).is_some()
        {
            self.view_version = 0;
        }
        self.roster.put(entry, revision);
    }

    /// Applies changed views from the coordinator; returns true if there were any.
    pub(crate) fn apply_views(
        &mut self,
        views: Vec<EngineModels>,
        version: u64,
        now: MonotonicTime,
    ) -> bool {
        self.views_received_at = now;
        self.view_version = version;
        let is_changed = !views.is_empty();
        for view in views {
            self.views.insert(view.backend.clone(), view);
        }
        is_changed
    }

    /// Applies blocked prompt parts from the coordinator or the store; returns true if they are newer than the known
    /// ones.
    pub(crate) fn apply_blocked(&mut self, blocked: BlockedParts, now: MonotonicTime) -> bool {
        let is_newer = blocked.version > self.blocked.0.version;
        if is_newer {
            self.blocked = (Arc::new(blocked), now);
        }
        is_newer
    }

    /// Removes a model, or one adapter of it, that a backend server denied holding, until the next view lists it again.
    /// Returns true if the view listed it.
    pub(crate) fn forget_model(
        &mut self,
        backend: &str,
        model: &str,
        adapter: Option<&str>,
    ) -> bool {
        let Some(view) = self.views.get_mut(backend) else {
            return false;
        };
        let Some(index) = view.models.iter().position(|held| *held.0 == *model) else {
            return false;
        };
        let Some(adapter) = adapter else {
            view.models.remove(index);
            return true;
        };
        let adapters = &mut view.models[index].1;
        let count = adapters.len();
        adapters.retain(|name| **name != *adapter);
        adapters.len() != count
    }

    /// Drops loads of runs that are not listed if there are too many.
    fn drop_surplus_loads(&mut self, alive: &HashSet<(Name, u64)>) {
        if self.loads.len() > alive.len() + MAX_UNLISTED_LOADS {
            self.loads.retain(|run, _| alive.contains(run));
        }
    }

    /// True if the entry says that the server stays cold for longer than this host knows: it became cold again.
    pub(crate) fn shows_new_cold_time(&self, entry: &BackendEntry, now: MonotonicTime) -> bool {
        let load = self.loads.get(&(entry.id.clone(), entry.born_ms));
        let known = load.and_then(|load| load.cold_left(now));
        entry.cold_left > known.unwrap_or_default() + COLD_TIME_SLACK
    }

    /// Load of a run of a backend server; `None` if this host doesn't know the run.
    pub(crate) fn load(&self, run: &BackendRun) -> Option<&Arc<BackendLoad>> {
        self.loads.get(&(run.backend.clone(), run.born_ms))
    }

    /// Services of which a server states how long work takes on it.
    fn shared_services(&self) -> HashSet<Name> {
        let entries = self.roster.entries().map(|(entry, _)| entry);
        let shared = entries.filter(|entry| {
            let run = (entry.id.clone(), entry.born_ms);
            let load = self.loads.get(&run);
            load.is_some_and(|load| load.states_work_time())
        });
        shared.map(|entry| entry.service.clone()).collect()
    }

    /// Builds the table from the current state. Drops expired entries, and loads and views of servers that are gone.
    pub(crate) fn build(&mut self, now: MonotonicTime) -> FleetTable {
        self.roster.expire(now);
        let mut services: HashMap<Name, Vec<BackendSlot>> = HashMap::new();
        let mut alive = HashSet::new();
        let evacuated = Arc::new(self.evacuations.clone());
        let shared_services = self.shared_services();
        for (entry, is_listed) in self.roster.entries() {
            let run = (entry.id.clone(), entry.born_ms);
            let load = self.loads.entry(run.clone()).or_default().clone();
            let config = self.config.as_ref();
            let service = config.and_then(|config| config.services.get(&entry.service));
            let start = service.and_then(|service| service.cold_start);
            load.set_cold_start(start.map(|start| {
                let slots_per_s = start.slots_per_s(&self.cold_tolerance);
                (start.time, slots_per_s)
            }));
            load.apply_entry(entry, now);
            let evacuation_end = evacuated.ended_at(&entry.place);
            if let Some((start, ended_at)) = start.zip(evacuation_end) {
                // Servers may have become cold since their last entry.
                load.presume_cold(ended_at + start.time, now);
            }
            let states_work_time = shared_services.contains(&entry.service);
            let has_paces = service.is_some_and(|spec| is_paced(spec, states_work_time));
            load.answers().set_used(has_paces);
            alive.insert(run);
            let view = self.views.get(&entry.id);
            let view = view.filter(|view| view.born_ms == entry.born_ms);
            let models: HashMap<Name, Vec<Name>> = match view {
                Some(view) => view.models.iter().cloned().collect(),
                None => {
                    let held = entry.held.iter();
                    held.map(|held| (held.model.clone(), held.adapters.clone()))
                        .collect()
                }
            };
            let slots = services.entry(entry.service.clone()).or_default();
            slots.push(BackendSlot {
                entry: entry.clone(),
                load,
                is_listed,
                models: Arc::new(models),
                evacuated: evacuated.clone(),
            });
        }
        // A run that leaves, pauses, is cold or limits requests may be listed again.
        self.loads.retain(|run, load| {
            if alive.contains(run) {
                return true;
            }
            // The coordinator only tells of paces of listed runs.
            load.set_pace(None);
            load.is_leaving() || load.paused_until(now).is_some() || load.send_rate(now).is_some()
        });
        self.drop_surplus_loads(&alive);
        self.views
            .retain(|id, _| alive.iter().any(|run| run.0 == *id));
        FleetTable {
            config: self.config.clone(),
            services,
            holder: self.holder.clone(),
            blocked: self.blocked.0.clone(),
            blocked_at: self.blocked.1,
            evacuated,
        }
    }
}
