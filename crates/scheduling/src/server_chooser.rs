use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::ServerEntry;
use zinniahinge_types::ServerState;

use crate::ChooserRule;
use crate::ChooserSettings;
use crate::ChosenServer;
use crate::tracked_server::ServerDistance;
use crate::tracked_server::TrackedServer;

/// Attempts before ejections are ignored; each fails only if another thread took the same probe
/// request.
const MAX_ATTEMPTS: usize = 4;

/// Chooses a backend server of a plain service for each request; may be called from many threads.
///
/// The server list is replaced by read-copy-update, so choosing takes no lock.
#[derive(Debug)]
pub struct ServerChooser {
    servers: ArcSwap<Vec<Arc<TrackedServer>>>,
    settings: Arc<ChooserSettings>,
    place: Name,
    random_state: AtomicU64,
}

impl ServerChooser {
    /// Creates a chooser without servers, for a process in the data centre `place`.
    pub fn new(settings: ChooserSettings, place: Name, seed: u64) -> Self {
        Self {
            servers: ArcSwap::default(),
            settings: Arc::new(settings),
            place,
            random_state: AtomicU64::new(seed),
        }
    }

    /// Replaces the server list; leaving servers get no new requests. Servers that keep their name
    /// and address keep their counts. `regions` gives the region of each data centre; one without
    /// an entry counts as in the same region as all others.
    pub fn update(&self, servers: &[ServerEntry], regions: &BTreeMap<Name, Name>) {
        self.servers.rcu(|known| {
            let live = servers
                .iter()
                .filter(|entry| entry.state == ServerState::Live);
            live.map(|entry| self.track(entry, regions, known))
                .collect::<Vec<_>>()
        });
    }

    /// Chooses a server that is not in `excluded`; `None` if there is none. If all are ejected, one
    /// of them is chosen nevertheless, because a wrong ejection must not stop the service.
    pub fn choose(&self, excluded: &[Name], now: MonotonicTime) -> Option<ChosenServer> {
        let servers = self.servers.load();
        let allowed = servers
            .iter()
            .filter(|tracked| !excluded.contains(&tracked.entry.server));
        let allowed: Vec<&Arc<TrackedServer>> = allowed.collect();
        for _ in 0..MAX_ATTEMPTS {
            let admitted = allowed.iter().filter(|tracked| tracked.counts.admits(now));
            let admitted: Vec<_> = admitted.copied().collect();
            let Some(tracked) = self.pick(&admitted) else {
                break;
            };
            if tracked.counts.begin(now) {
                return Some(self.chosen(tracked));
            }
        }
        let tracked = self.pick(&allowed)?;
        tracked.counts.begin_unconditionally();
        Some(self.chosen(tracked))
    }

    /// Returns the number of requests of this process in flight on a server.
    pub fn in_flight(&self, server: &str) -> u32 {
        let servers = self.servers.load();
        let tracked = servers
            .iter()
            .find(|tracked| &*tracked.entry.server == server);
        tracked.map_or(0, |tracked| tracked.counts.in_flight())
    }

    fn chosen(&self, tracked: &Arc<TrackedServer>) -> ChosenServer {
        ChosenServer::new(tracked.clone(), self.settings.clone())
    }

    /// Builds the entry of a listed server; a known server at the same address keeps its counts.
    fn track(
        &self,
        entry: &ServerEntry,
        regions: &BTreeMap<Name, Name>,
        known: &[Arc<TrackedServer>],
    ) -> Arc<TrackedServer> {
        let listed_before = known.iter().find(|tracked| {
            tracked.entry.server == entry.server && tracked.entry.address == entry.address
        });
        Arc::new(TrackedServer {
            entry: entry.clone(),
            distance: self.distance(entry, regions),
            counts: listed_before
                .map(|tracked| tracked.counts.clone())
                .unwrap_or_default(),
        })
    }

    /// Compares a server's data centre and region with those of this process.
    fn distance(&self, entry: &ServerEntry, regions: &BTreeMap<Name, Name>) -> ServerDistance {
        if entry.place == self.place {
            return ServerDistance::SameDataCentre;
        }
        match (regions.get(&entry.place), regions.get(&self.place)) {
            (Some(theirs), Some(own)) if theirs != own => ServerDistance::OtherRegion,
            _ => ServerDistance::SameRegion,
        }
    }

    /// Selects a server by the configured rule; `None` if the list is empty.
    fn pick<'a>(&self, servers: &[&'a Arc<TrackedServer>]) -> Option<&'a Arc<TrackedServer>> {
        match self.settings.rule {
            ChooserRule::Random => self.pick_random(servers),
            ChooserRule::LeastLoaded => servers
                .iter()
                .min_by_key(|tracked| tracked.counts.in_flight())
                .copied(),
            ChooserRule::NearPowerOfTwo => self.pick_near(servers),
        }
    }

    /// Returns the less busy of two random servers of the nearest group, or of a farther one if it
    /// has more than `spill_after` fewer requests in flight.
    fn pick_near<'a>(&self, servers: &[&'a Arc<TrackedServer>]) -> Option<&'a Arc<TrackedServer>> {
        let distances = [
            ServerDistance::SameDataCentre,
            ServerDistance::SameRegion,
            ServerDistance::OtherRegion,
        ];
        let mut best: Option<&Arc<TrackedServer>> = None;
        for distance in distances {
            let group = servers
                .iter()
                .filter(|tracked| tracked.distance == distance);
            let group: Vec<_> = group.copied().collect();
            let Some(next) = self.less_busy_of_two(&group) else {
                continue;
            };
            best = Some(best.map_or(next, |nearer| self.nearer_unless_busy(nearer, next)));
        }
        best
    }

    /// Returns the farther server if the nearer one has more than `spill_after` additional requests
    /// in flight.
    fn nearer_unless_busy<'a>(
        &self,
        nearer: &'a Arc<TrackedServer>,
        farther: &'a Arc<TrackedServer>,
    ) -> &'a Arc<TrackedServer> {
        let limit = farther
            .counts
            .in_flight()
            .saturating_add(self.settings.spill_after);
        if nearer.counts.in_flight() > limit {
            farther
        } else {
            nearer
        }
    }

    fn less_busy_of_two<'a>(
        &self,
        servers: &[&'a Arc<TrackedServer>],
    ) -> Option<&'a Arc<TrackedServer>> {
        let first = self.random_index(servers.len())?;
        let Some(offset) = self.random_index(servers.len() - 1) else {
            return Some(servers[first]);
        };
        let second = (first + 1 + offset) % servers.len();
        let pair = [servers[first], servers[second]];
        pair.into_iter()
            .min_by_key(|tracked| tracked.counts.in_flight())
    }

    fn pick_random<'a>(
        &self,
        servers: &[&'a Arc<TrackedServer>],
    ) -> Option<&'a Arc<TrackedServer>> {
        self.random_index(servers.len()).map(|index| servers[index])
    }

    /// Returns a random index below `len`; `None` if `len` is 0.
    fn random_index(&self, len: usize) -> Option<usize> {
        let len = u64::try_from(len).ok()?;
        let index = self.next_random().checked_rem(len)?;
        usize::try_from(index).ok()
    }

    /// Returns the next SplitMix64 value of a shared counter, which spreads load well enough
    /// without a lock.
    fn next_random(&self) -> u64 {
        const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut value = self.random_state.fetch_add(STEP, Ordering::Relaxed);
        value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        value ^ (value >> 31)
    }
}
