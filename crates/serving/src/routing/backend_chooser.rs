use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::BackendEntry;
use crate::BackendLoad;
use crate::RequestFacts;

/// Age up to which a load stated by a server is used. Later, most of the requests that it counted have ended.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(800);

/// Costs that make up the expected wait at a backend server, milliseconds unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChooserWeights {
    /// Prefill time of one prompt token.
    pub prompt_token: f64,
    /// Time that a request takes at an idle server, besides its prefill. A slow server's request pays for the difference.
    pub service: f64,
    /// Delay for each running request.
    pub running: f64,
    /// Delay for each waiting request.
    pub waiting: f64,
    /// Cost of a server in another data centre: the round trip, and the price of traffic between data centres.
    pub other_data_centre: f64,
    /// Cost of a server that this host has no open connection to.
    pub new_connection: f64,
    /// Cost of a server that fails more often than its peers, or that left a request of this host unanswered.
    pub unreliable: f64,
    /// Cost of a server that the store doesn't list at the moment, and that may be gone.
    pub unlisted: f64,
    /// Relative increase of prefill cost for each millisecond of the shortest wait. When all servers are busy, a part
    /// that is processed once more delays every request.
    pub congestion: f64,
    /// Number of servers that a shared part, or a host, prefers. With several, hosts with outdated load data don't all
    /// choose the same server.
    pub preferred_servers: usize,
    /// Cost of a server that is not among those that the host prefers.
    pub non_preferred: f64,
    /// Cost of a server that is not among those that the shared part prefers, for each millisecond of the part's
    /// prefill. The part is processed there, displaces another part from the cache, and the next request may go to a
    /// third server.
    pub non_preferred_prefill: f64,
}

/// Largest factor by which congestion multiplies the cost of prefill.
const MAX_CONGESTION: f64 = 4.0;

/// Number of shared tokens from which all hosts prefer the same servers for a request. With fewer, each host prefers
/// servers of its own, to which it keeps connections open.
const MIN_SHARED_TOKENS: f64 = 1_000.0;

/// Shares of the shared tokens that a server probably has in its cache: a server that this host sent the same part to,
/// and the first and second server by the part's hash, on which all hosts agree.
const CACHED_SHARES: [f64; 3] = [0.9, 0.75, 0.4];

impl ChooserWeights {
    /// Weights for model engines, which process about 38 prompt tokens a millisecond and run steps of 5.5 ms for all
    /// running requests together.
    pub const MODELS: Self = Self {
        prompt_token: 0.026,
        service: 0.0,
        running: 8.0,
        waiting: 60.0,
        other_data_centre: 12.0,
        new_connection: 15.0,
        unreliable: 5_000.0,
        unlisted: 60_000.0,
        congestion: 0.007,
        preferred_servers: 2,
        non_preferred: 20.0,
        non_preferred_prefill: 3.0,
    };

    /// Weights for services without models.
    pub const PLAIN: Self = Self {
        prompt_token: 0.0,
        service: 60.0,
        running: 10.0,
        waiting: 30.0,
        other_data_centre: 8.0,
        new_connection: 8.0,
        unreliable: 2_000.0,
        unlisted: 60_000.0,
        congestion: 0.0,
        preferred_servers: usize::MAX,
        non_preferred: 0.0,
        non_preferred_prefill: 0.0,
    };
}

/// A backend server that a request could be sent to.
#[derive(Clone, Debug)]
pub struct BackendCandidate {
    /// The server's entry in the store.
    pub entry: Arc<BackendEntry>,
    /// The server's load as this host knows it.
    pub load: Arc<BackendLoad>,
    /// False if the store doesn't list the server at the moment.
    pub is_listed: bool,
    /// True if this host has an open connection to the server.
    pub is_connected: bool,
}

/// Chooses the backend server with the shortest expected wait for a request.
///
/// Work counts with the time that it takes on the server. Servers that don't state it are all alike.
#[derive(Clone, Debug)]
pub struct BackendChooser {
    /// Id of this host, which selects the servers that it prefers.
    pub host: HostId,
    /// Data centre of this host.
    pub place: Name,
    /// Age that the loads of other hosts may have. Among servers that state how long work takes, it is the least cost of a
    /// server that the host doesn't prefer: a shorter difference may be over.
    pub totals_age: Duration,
    /// Costs that make up the expected wait.
    pub weights: ChooserWeights,
}

impl BackendChooser {
    /// Returns the index of the best of `candidates`; `None` if there are none.
    ///
    /// A request goes preferably to a server that has processed its shared prompt parts. Where this host knows none, a
    /// hash of the part ranks the servers, so that all hosts prefer the same ones without exchanging messages.
    pub fn choose(
        &self,
        candidates: &[BackendCandidate],
        facts: &RequestFacts,
        now: MonotonicTime,
    ) -> Option<usize> {
        let weights = &self.weights;
        let shared = shared_tokens(facts);
        let non_preferred = if candidates
            .iter()
            .any(|candidate| candidate.load.work_time().is_known())
        {
            weights
                .non_preferred
                .max(self.totals_age.as_secs_f64() * 1000.0)
        } else {
            weights.non_preferred
        };
        let part = shared_part_key(facts);
        let is_shared = shared >= MIN_SHARED_TOKENS;
        let ranks_by_hash = match part {
            Some(part) if is_shared => ranks_by_hash(part, candidates),
            _ => ranks_by_hash(self.host_key(facts), candidates),
        };
        let waits = candidates.iter().map(|candidate| self.wait(candidate, now));
        let waits: Vec<f64> = waits.collect();
        let shortest = waits.iter().copied().fold(f64::INFINITY, f64::min);
        let congestion = (1.0 + shortest * weights.congestion).min(MAX_CONGESTION);
        let costs = candidates.iter().enumerate().map(|(index, candidate)| {
            let has_read = part.is_some_and(|part| {
                let load = &candidate.load;
                load.with_sent_parts(|parts| parts.contains(part))
            });
            let cached = match (has_read, ranks_by_hash[index]) {
                (true, _) => CACHED_SHARES[0],
                (false, rank @ 0..=1) if is_shared => CACHED_SHARES[rank + 1],
                _ => 0.0,
            };
            let own_tokens = (facts.prompt_tokens as f64 - cached * shared).max(0.0);
            let factor = candidate.load.work_time().factor(now);
            let prefill = own_tokens * weights.prompt_token * congestion;
            let mut cost = waits[index] + prefill * factor + weights.service * (factor - 1.0);
            if ranks_by_hash[index] >= weights.preferred_servers {
                cost += if is_shared {
                    weights.non_preferred_prefill * shared * weights.prompt_token
                } else {
                    non_preferred
                };
            }
            (index, cost)
        });
        costs
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(index, _)| index)
    }

    /// Key that ranks the servers for this host's requests for one model.
    fn host_key(&self, facts: &RequestFacts) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.host, &facts.model, &facts.adapter).hash(&mut hasher);
        hasher.finish()
    }

    /// Expected wait at a server, with the costs of its location and state, milliseconds.
    fn wait(&self, candidate: &BackendCandidate, now: MonotonicTime) -> f64 {
        let BackendCandidate {
            entry,
            load,
            is_listed,
            is_connected,
        } = candidate;
        let weights = &self.weights;
        let sample = load.recent_sample(now, MAX_SAMPLE_AGE);
        let running = sample.map_or(0, |sample| sample.running);
        let waiting = sample.map_or(0, |sample| sample.waiting);
        let running = running.max(load.fleet_in_flight());
        let over_slots = running.saturating_sub(entry.slots.max(1) - 1);
        let waiting = waiting.max(over_slots);
        let work = load.fleet_pending_tokens() as f64 * weights.prompt_token
            + f64::from(running) * weights.running
            + f64::from(waiting) * weights.waiting;
        let mut cost = work * load.work_time().factor(now);
        if entry.place != self.place {
            cost += weights.other_data_centre;
        }
        if !is_connected {
            cost += weights.new_connection;
        }
        if load.is_suspect() || load.is_avoided(now) {
            cost += weights.unreliable;
        }
        if !is_listed {
            cost += weights.unlisted;
        }
        cost
    }
}

/// Rank of each server in the order given by a hash of `key`; 0 is the first.
///
/// Over many keys, each server is first in proportion to its learned speed. If the speed of one changes, only keys between it and
/// the others change their order.
fn ranks_by_hash(key: u64, candidates: &[BackendCandidate]) -> Vec<usize> {
    let hashes = candidates
        .iter()
        .map(|candidate| rank(key, &candidate.entry.id));
    let hashes: Vec<u64> = hashes.collect();
    let learned = candidates
        .iter()
        .map(|candidate| candidate.load.work_time().learned());
    let learned: Vec<Option<f64>> = learned.collect();
    if learned.iter().all(Option::is_none) {
        return descending_ranks(&hashes);
    }
    let scores = hashes
        .iter()
        .zip(learned)
        .map(|(hash, learned)| (uneven_score(*hash, learned.unwrap_or(1.0)), *hash));
    let scores: Vec<(f64, u64)> = scores.collect();
    descending_ranks(&scores)
}

/// Rank of each score in descending order; 0 is that of the highest.
fn descending_ranks<T: PartialOrd>(scores: &[T]) -> Vec<usize> {
    let ranks = scores.iter().map(|own| {
        let before = scores.iter().filter(|other| *other > own);
        before.count()
    });
    ranks.collect()
}

/// Score of a server in weighted rendezvous hashing, with its speed as weight; the highest one is first.
fn uneven_score(hash: u64, time_factor: f64) -> f64 {
    let share = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    share.ln() * time_factor
}

/// Key of the request's shared part, with its model and adapter, because engines cache parts separately for each.
pub(crate) fn shared_part_key(facts: &RequestFacts) -> Option<u64> {
    let part = facts.shared_part()?;
    facts.model.as_ref()?;
    let mut hasher = DefaultHasher::new();
    (part.id, &facts.model, &facts.adapter).hash(&mut hasher);
    Some(hasher.finish())
}

impl BackendCandidate {
    /// Records that the request's shared part is being sent to the server.
    pub fn record_sent_parts(&self, facts: &RequestFacts) {
        if let Some(part) = shared_part_key(facts) {
            self.load.with_sent_parts(|parts| parts.insert(part));
        }
    }
}

/// Number of tokens in all parts of the prompt but the last.
fn shared_tokens(facts: &RequestFacts) -> f64 {
    let parts = facts.shared_parts().iter();
    parts.map(|part| f64::from(part.tokens)).sum()
}

fn rank(part: u64, id: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (part, id).hash(&mut hasher);
    hasher.finish()
}
