//! Backend servers of plain services, with this process's own counts of requests in flight.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use zinniahinge_scheduling::ChooserSettings;
use zinniahinge_scheduling::ChosenServer;
use zinniahinge_scheduling::ServerChooser;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::ServerEntry;

use crate::entry_snapshot::EntrySnapshot;

/// One [`ServerChooser`] per group of backend servers.
pub struct PlainServers {
    place: Name,
    origin: Instant,
    choosers: ArcSwap<BTreeMap<Name, Arc<ServerChooser>>>,
}

impl PlainServers {
    /// No servers yet, for a process in `place`.
    pub fn new(place: Name) -> Self {
        Self {
            place,
            origin: Instant::now(),
            choosers: ArcSwap::default(),
        }
    }

    /// Takes the host list and the regions of `snapshot` in. Counts of servers that stay are kept.
    pub fn update(&self, snapshot: &EntrySnapshot) {
        let mut groups: BTreeMap<Name, Vec<ServerEntry>> = BTreeMap::new();
        for server in &snapshot.servers {
            groups
                .entry(server.group.clone())
                .or_default()
                .push(server.clone());
        }
        let hosts = snapshot.hosts.values();
        let regions: BTreeMap<Name, Name> = hosts
            .map(|host| (host.place.clone(), host.region.clone()))
            .collect();
        let known = self.choosers.load();
        let choosers = groups.into_iter().map(|(group, servers)| {
            let chooser = known
                .get(&group)
                .cloned()
                .unwrap_or_else(|| Arc::new(self.chooser()));
            chooser.update(&servers, &regions);
            (group, chooser)
        });
        self.choosers.store(Arc::new(choosers.collect()));
    }

    /// Chooses a live server of `group`; the request counts as in flight until the result is dropped.
    pub fn choose(&self, group: &str, excluded: &[Name]) -> Option<ChosenServer> {
        self.choosers
            .load()
            .get(group)?
            .choose(excluded, self.now())
    }

    /// Present time for [`ChosenServer::record_failure`].
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::from_origin(self.origin.elapsed())
    }

    fn chooser(&self) -> ServerChooser {
        ServerChooser::new(
            ChooserSettings::default(),
            self.place.clone(),
            rand::random(),
        )
    }
}
