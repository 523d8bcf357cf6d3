use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::ReplicaPhase;

use crate::DispatcherSettings;
use crate::ReplicaChoice;
use crate::ejection_record::EjectionRecord;
use crate::prefix_table::PrefixTable;
use crate::ticket_table::TicketTable;

/// Replicas sampled among the nearest ones and among the others. The power of two choices keeps
/// delayed load reports from sending every request to one replica.
const SAMPLE_SIZE: usize = 2;

/// Replicas of one dispatcher's model, with their ejections and recent prefixes.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaTable {
    version: u64,
    entries: Vec<ReplicaEntry>,
    ejections: BTreeMap<Name, EjectionRecord>,
    prefixes: PrefixTable,
    regions: BTreeMap<Name, Name>,
    /// Until this time, the load that servers report also counts, because tickets of a predecessor
    /// may be unknown.
    reported_load_used_until: MonotonicTime,
}

/// A replica that can take the request, with its score.
struct Candidate<'a> {
    entry: &'a ReplicaEntry,
    distance: f64,
    score: f64,
}

impl ReplicaTable {
    pub(crate) fn new(prefix_limit: usize) -> Self {
        Self {
            version: 0,
            entries: Vec::new(),
            ejections: BTreeMap::new(),
            prefixes: PrefixTable::new(prefix_limit),
            regions: BTreeMap::new(),
            reported_load_used_until: MonotonicTime::ZERO,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn entries(&self) -> &[ReplicaEntry] {
        &self.entries
    }

    pub(crate) fn set_regions(&mut self, regions: BTreeMap<Name, Name>) {
        self.regions = regions;
    }

    pub(crate) fn use_reported_load_until(&mut self, until: MonotonicTime) {
        self.reported_load_used_until = until;
    }

    /// Replaces the list and returns true, unless `version` is not newer than the present one.
    pub(crate) fn apply(&mut self, version: u64, entries: Vec<ReplicaEntry>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.entries = entries;
        let known = &self.entries;
        self.ejections
            .retain(|server, _| known.iter().any(|entry| entry.server == *server));
        true
    }

    /// Returns the total slots of the ready replicas.
    pub(crate) fn ready_slots(&self) -> u32 {
        self.ready().map(|entry| entry.slots).sum()
    }

    /// Returns true if a ready replica has the adapter loaded, regardless of free slots.
    pub(crate) fn serves(&self, adapter: Option<&Name>) -> bool {
        self.ready().any(|entry| has_adapter(entry, adapter))
    }

    pub(crate) fn record_success(&mut self, server: &str) {
        if let Some(record) = self.ejections.get_mut(server) {
            record.record_success();
        }
    }

    pub(crate) fn record_failure(
        &mut self,
        server: &Name,
        settings: &DispatcherSettings,
        now: MonotonicTime,
    ) {
        let record = self.ejections.entry(server.clone()).or_default();
        record.record_failure(settings, now);
    }

    /// Returns the next time after `now` at which a replica can become available without any event.
    pub(crate) fn next_change(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let probations = self.ejections.values().filter_map(EjectionRecord::until);
        let changes = probations.chain([self.reported_load_used_until]);
        changes.filter(|change| *change > now).min()
    }

    /// Returns true if some replica could start the request now.
    pub(crate) fn can_place(
        &self,
        request: &DispatchRequest,
        tickets: &TicketTable,
        now: MonotonicTime,
    ) -> bool {
        self.available(request, tickets, now).next().is_some()
    }

    /// Chooses a replica for the request by the configured rule and records its prefix.
    pub(crate) fn choose(
        &mut self,
        request: &DispatchRequest,
        tickets: &TicketTable,
        settings: &DispatcherSettings,
        now: MonotonicTime,
        rng: &mut StdRng,
    ) -> Option<ReplicaEntry> {
        let available: Vec<_> = self.available(request, tickets, now).collect();
        let chosen = match settings.replica_choice {
            ReplicaChoice::Random => available.choose(rng).copied(),
            ReplicaChoice::LeastLoaded => available
                .iter()
                .min_by_key(|entry| tickets.server_count(&entry.server))
                .copied(),
            ReplicaChoice::Weighed => {
                self.choose_by_score(&available, request, tickets, settings, rng)
            }
        };
        let chosen = chosen?.clone();
        self.prefixes.record(request.prefix_hash, &chosen.server);
        Some(chosen)
    }

    /// Returns the replicas that accept requests.
    fn ready(&self) -> impl Iterator<Item = &ReplicaEntry> {
        self.entries
            .iter()
            .filter(|entry| entry.phase == ReplicaPhase::Ready)
    }

    /// Returns the ready replicas that have the adapter and a free slot and are neither excluded
    /// nor ejected.
    fn available(
        &self,
        request: &DispatchRequest,
        tickets: &TicketTable,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &ReplicaEntry> {
        self.ready().filter(move |entry| {
            has_adapter(entry, request.adapter.as_ref())
                && !request.excluded.contains(&entry.server)
                && self.load(entry, tickets, now) < entry.slots
                && self.admits(&entry.server, tickets, now)
        })
    }

    /// Returns true if the replica is not ejected, or may get a probe request.
    fn admits(&self, server: &str, tickets: &TicketTable, now: MonotonicTime) -> bool {
        let in_flight = tickets.server_count(server);
        self.ejections
            .get(server)
            .is_none_or(|record| record.admits(now, in_flight))
    }

    /// Returns the occupied slots of a replica: its tickets, or during recovery the reported load
    /// if larger.
    fn load(&self, entry: &ReplicaEntry, tickets: &TicketTable, now: MonotonicTime) -> u32 {
        let own = tickets.server_count(&entry.server);
        if now < self.reported_load_used_until {
            own.max(entry.reported_load)
        } else {
            own
        }
    }

    /// Returns the replica with the lowest score of a random sample.
    fn choose_by_score<'a>(
        &self,
        available: &[&'a ReplicaEntry],
        request: &DispatchRequest,
        tickets: &TicketTable,
        settings: &DispatcherSettings,
        rng: &mut StdRng,
    ) -> Option<&'a ReplicaEntry> {
        let mut candidates: Vec<_> = available
            .iter()
            .map(|entry| self.candidate(entry, request, tickets, settings))
            .collect();
        let prefix_server = self.prefixes.server(request.prefix_hash);
        let sample = sample(&mut candidates, prefix_server, rng);
        sample
            .iter()
            .min_by(|a, b| a.score.total_cmp(&b.score))
            .map(|candidate| candidate.entry)
    }

    /// Scores a replica by utilisation + distance − prefix bonus; lower is better.
    fn candidate<'a>(
        &self,
        entry: &'a ReplicaEntry,
        request: &DispatchRequest,
        tickets: &TicketTable,
        settings: &DispatcherSettings,
    ) -> Candidate<'a> {
        let distance = self.distance(entry, &request.place, settings);
        let utilisation = f64::from(tickets.server_count(&entry.server)) / f64::from(entry.slots);
        let prefix_server = self.prefixes.server(request.prefix_hash) == Some(&entry.server);
        let bonus = if prefix_server {
            settings.prefix_weight
        } else {
            0.0
        };
        Candidate {
            entry,
            distance,
            score: utilisation + distance - bonus,
        }
    }

    /// Returns the score penalty of a replica outside the data centre `place`.
    fn distance(&self, entry: &ReplicaEntry, place: &Name, settings: &DispatcherSettings) -> f64 {
        if entry.place == *place {
            return 0.0;
        }
        let same_region = match (self.regions.get(&entry.place), self.regions.get(place)) {
            (Some(left), Some(right)) => left == right,
            _ => true,
        };
        if same_region {
            settings.data_centre_weight
        } else {
            settings.data_centre_weight + settings.region_weight
        }
    }
}

/// Returns true if the replica has the adapter; `None` stands for the base model.
fn has_adapter(entry: &ReplicaEntry, adapter: Option<&Name>) -> bool {
    adapter.is_none_or(|adapter| entry.adapters.contains(adapter))
}

/// Returns the replica that last got the prefix, two of the nearest and two of the others.
fn sample<'a>(
    candidates: &mut Vec<Candidate<'a>>,
    prefix_server: Option<&Name>,
    rng: &mut StdRng,
) -> Vec<Candidate<'a>> {
    let nearest = candidates
        .iter()
        .map(|candidate| candidate.distance)
        .fold(f64::INFINITY, f64::min);
    let (mut near, mut far): (Vec<_>, Vec<_>) = candidates
        .drain(..)
        .partition(|candidate| candidate.distance <= nearest);
    let mut chosen = Vec::with_capacity(2 * SAMPLE_SIZE + 1);
    for group in [&mut near, &mut far] {
        let preferred = group
            .iter()
            .position(|candidate| Some(&candidate.entry.server) == prefix_server);
        chosen.extend(preferred.map(|index| group.swap_remove(index)));
        for _ in 0..SAMPLE_SIZE.min(group.len()) {
            let index = rng.random_range(0..group.len());
            chosen.push(group.swap_remove(index));
        }
    }
    chosen
}
