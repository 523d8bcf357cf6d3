use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::BackendRoster;
use zinniahinge_serving::ChangeLog;
use zinniahinge_serving::ServingConfig;
use zinniahinge_serving::candidate_order;
use zinniahinge_types::EngineModels;
use zinniahinge_types::HostPower;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::fleet_table::BackendSlot;
use crate::fleet_table::DutyHolder;
use crate::fleet_table::FleetTable;
use crate::fleet_table::TermRecord;

/// Time within which the entries of living backend servers are back after an outage of the store.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Age of the coordinating host's views from which what a server writes into the store goes before them.
const VIEW_LIMIT: Duration = Duration::from_secs(5);

/// A host of the fleet, from its record in the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownHost {
    /// Where it takes messages.
    pub(crate) address: SocketAddr,
    /// What it can do for the fleet.
    pub(crate) power: HostPower,
    /// When this host heard of the record's last write.
    pub(crate) shown_at: MonotonicTime,
}

/// What the host has heard, from which [`FleetTable`] is built.
#[derive(Debug)]
pub(crate) struct TableSource {
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// The configuration as it was read, with its revision, for hosts that can't read it.
    pub(crate) config_item: Option<(Revision, Bytes)>,
    pub(crate) roster: BackendRoster,
    pub(crate) holder: Option<DutyHolder>,
    /// The last term.
    pub(crate) last_term: Option<TermRecord>,
    /// Hosts of the fleet.
    pub(crate) hosts: HashMap<Name, KnownHost>,
    /// True once the fleet's peer keys were read.
    pub(crate) has_peer_keys: bool,
    /// Entries that can't be decoded, with why; each is logged once.
    pub(crate) unreadable: HashMap<Name, String>,
    /// The newest changes, to be passed on.
    pub(crate) log: ChangeLog,
    /// True once the store was listed.
    pub(crate) is_listed: bool,
    views: HashMap<Name, EngineModels>,
    pub(crate) view_version: u64,
    viewed_at: MonotonicTime,
    loads: HashMap<(Name, u64), Arc<BackendLoad>>,
}

impl TableSource {
    pub(crate) fn new() -> Self {
        Self {
            config: None,
            config_item: None,
            roster: BackendRoster::new(RETURN_TIME),
            holder: None,
            last_term: None,
            hosts: HashMap::new(),
            has_peer_keys: false,
            unreadable: HashMap::new(),
            log: ChangeLog::default(),
            is_listed: false,
            views: HashMap::new(),
            view_version: 0,
            viewed_at: MonotonicTime::ZERO,
            loads: HashMap::new(),
        }
    }

    /// Revision of the store up to which every change is known; `None` before the first listing.
    pub(crate) fn known_revision(&self) -> Option<Revision> {
        self.is_listed.then(|| self.log.revision())
    }

    /// Hosts in the order in which they try to get the duty.
    pub(crate) fn duty_order(&self) -> Vec<Name> {
        let hosts = self.hosts.iter();
        let hosts = hosts.map(|(host, known)| (host.clone(), known.power));
        let last = self.last_term.as_ref().map(|term| &*term.host);
        candidate_order(hosts, last)
    }

    /// Takes a server's entry in. What it holds comes from the entry again if no host coordinates any more.
    pub(crate) fn put_backend(
        &mut self,
        entry: BackendEntry,
        revision: Revision,
        now: MonotonicTime,
    ) {
        if now.since(self.viewed_at) >= VIEW_LIMIT && self.views.remove(&entry.id).is_some() {
            self.view_version = 0;
        }
        self.roster.put(entry, revision);
    }

    /// Takes in changed views of the coordinating host; true if there were any.
    pub(crate) fn apply_views(
        &mut self,
        views: Vec<EngineModels>,
        version: u64,
        now: MonotonicTime,
    ) -> bool {
        self.viewed_at = now;
        self.view_version = version;
        let is_changed = !views.is_empty();
        for view in views {
            self.views.insert(view.backend.clone(), view);
        }
        is_changed
    }

    /// Notes that a backend server said not to have a model or an adapter, until the next view says otherwise; true if
    /// it was thought to have it.
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

    /// Builds the table.
    pub(crate) fn build(&mut self, now: MonotonicTime) -> FleetTable {
        self.roster.expire(now);
        let mut services: HashMap<Name, Vec<BackendSlot>> = HashMap::new();
        let mut alive = HashSet::new();
        for (entry, is_listed) in self.roster.entries() {
            let run = (entry.id.clone(), entry.born_ms);
            let load = self.loads.entry(run.clone()).or_default().clone();
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
            });
        }
        self.loads.retain(|run, _| alive.contains(run));
        self.views
            .retain(|id, _| alive.iter().any(|run| run.0 == *id));
        FleetTable {
            config: self.config.clone(),
            services,
            holder: self.holder.clone(),
        }
    }
}
