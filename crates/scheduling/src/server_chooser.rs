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

/// Attempts before probation is ignored; each fails only if another thread was faster.
const MAX_ATTEMPTS: usize = 4;

/// Chooses a backend server of a plain service for each request, from many threads.
///
/// The server list is replaced by read-copy-update, so that choosing takes no lock.
#[derive(Debug)]
pub struct ServerChooser {
    slots: ArcSwap<Vec<Arc<TrackedServer>>>,
    settings: Arc<ChooserSettings>,
    place: Name,
    random: AtomicU64,
}

impl ServerChooser {
    /// A chooser without servers, for a process in `place`.
    pub fn new(settings: ChooserSettings, place: Name, seed: u64) -> Self {
        Self {
            slots: ArcSwap::default(),
            settings: Arc::new(settings),
            place,
            random: AtomicU64::new(seed),
        }
    }

    /// Replaces the server list; leaving servers get no new request. Counts of servers that stay at
    /// their address are kept. `regions` states the region of each place; places without one count
    /// as one region.
    pub fn update(&self, servers: &[ServerEntry], regions: &BTreeMap<Name, Name>) {
        self.slots.rcu(|known| {
            let live = servers
                .iter()
                .filter(|entry| entry.state == ServerState::Live);
            live.map(|entry| self.slot(entry, regions, known))
                .collect::<Vec<_>>()
        });
    }

    /// Chooses a server that is not in `excluded`; `None` if there is none. If all are ejected, one
    /// of them is chosen anyway, because a wrong ejection must not stop the service.
    pub fn choose(&self, excluded: &[Name], now: MonotonicTime) -> Option<ChosenServer> {
        let slots = self.slots.load();
        let allowed = slots
            .iter()
            .filter(|slot| !excluded.contains(&slot.entry.server));
        let allowed: Vec<&Arc<TrackedServer>> = allowed.collect();
        for _ in 0..MAX_ATTEMPTS {
            let admitted = allowed.iter().filter(|slot| slot.counts.admits(now));
            let admitted: Vec<_> = admitted.copied().collect();
            let Some(slot) = self.pick(&admitted) else {
                break;
            };
            if slot.counts.begin(now) {
                return Some(self.chosen(slot));
            }
        }
        let slot = self.pick(&allowed)?;
        slot.counts.begin_unconditionally();
        Some(self.chosen(slot))
    }

    /// Requests in flight on a server, from this process.
    pub fn in_flight(&self, server: &str) -> u32 {
        let slots = self.slots.load();
        let slot = slots.iter().find(|slot| &*slot.entry.server == server);
        slot.map_or(0, |slot| slot.counts.in_flight())
    }

    fn chosen(&self, slot: &Arc<TrackedServer>) -> ChosenServer {
        ChosenServer::new(slot.clone(), self.settings.clone())
    }

    fn slot(
        &self,
        entry: &ServerEntry,
        regions: &BTreeMap<Name, Name>,
        known: &[Arc<TrackedServer>],
    ) -> Arc<TrackedServer> {
        let same = known
            .iter()
            .find(|slot| slot.entry.server == entry.server && slot.entry.address == entry.address);
        Arc::new(TrackedServer {
            entry: entry.clone(),
            distance: self.distance(entry, regions),
            counts: same.map(|slot| slot.counts.clone()).unwrap_or_default(),
        })
    }

    fn distance(&self, entry: &ServerEntry, regions: &BTreeMap<Name, Name>) -> ServerDistance {
        if entry.place == self.place {
            return ServerDistance::SameDataCentre;
        }
        match (regions.get(&entry.place), regions.get(&self.place)) {
            (Some(theirs), Some(own)) if theirs != own => ServerDistance::OtherRegion,
            _ => ServerDistance::SameRegion,
        }
    }

    fn pick<'a>(&self, slots: &[&'a Arc<TrackedServer>]) -> Option<&'a Arc<TrackedServer>> {
        match self.settings.rule {
            ChooserRule::Random => self.random_of(slots),
            ChooserRule::LeastLoaded => slots
                .iter()
                .min_by_key(|slot| slot.counts.in_flight())
                .copied(),
            ChooserRule::NearPowerOfTwo => self.pick_near(slots),
        }
    }

    fn pick_near<'a>(&self, slots: &[&'a Arc<TrackedServer>]) -> Option<&'a Arc<TrackedServer>> {
        let distances = [
            ServerDistance::SameDataCentre,
            ServerDistance::SameRegion,
            ServerDistance::OtherRegion,
        ];
        let mut best: Option<&Arc<TrackedServer>> = None;
        for distance in distances {
            let group = slots.iter().filter(|slot| slot.distance == distance);
            let group: Vec<_> = group.copied().collect();
            let Some(next) = self.less_busy_of_two(&group) else {
                continue;
            };
            best = Some(best.map_or(next, |nearer| self.nearer_unless_busy(nearer, next)));
        }
        best
    }

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
        slots: &[&'a Arc<TrackedServer>],
    ) -> Option<&'a Arc<TrackedServer>> {
        let first = self.random_index(slots.len())?;
        let Some(offset) = self.random_index(slots.len() - 1) else {
            return Some(slots[first]);
        };
        let second = (first + 1 + offset) % slots.len();
        let pair = [slots[first], slots[second]];
        pair.into_iter().min_by_key(|slot| slot.counts.in_flight())
    }

    fn random_of<'a>(&self, slots: &[&'a Arc<TrackedServer>]) -> Option<&'a Arc<TrackedServer>> {
        self.random_index(slots.len()).map(|index| slots[index])
    }

    fn random_index(&self, len: usize) -> Option<usize> {
        let len = u64::try_from(len).ok()?;
        let index = self.next_random().checked_rem(len)?;
        usize::try_from(index).ok()
    }

    /// SplitMix64 over a shared counter: random enough to spread load, and without a lock.
    fn next_random(&self) -> u64 {
        const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut value = self.random.fetch_add(STEP, Ordering::Relaxed);
        value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        value ^ (value >> 31)
    }
}
