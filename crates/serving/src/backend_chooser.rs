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

/// Age up to which a stated load counts. Later the requests that it counted have mostly ended.
const STATED_LIMIT: Duration = Duration::from_millis(800);

/// Costs of a choice, in milliseconds of expected wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChooserWeights {
    /// Time to read one prompt token.
    pub prompt_token: f64,
    /// Delay that each running request adds.
    pub running: f64,
    /// Delay that each waiting request adds.
    pub waiting: f64,
    /// Another data centre: the round trip, and what the traffic between data centres costs.
    pub other_data_centre: f64,
    /// No kept connection to it.
    pub new_connection: f64,
    /// A server that the fleet sees fail, or that left this host without an answer.
    pub unreliable: f64,
    /// A server that may be gone.
    pub unlisted: f64,
    /// How much more the reading of a prompt costs for each millisecond that every server has to read before it: when all
    /// are busy, a part that is read once more delays everybody.
    pub congestion: f64,
    /// Servers that a shared part or a host prefers among many, so that hosts with old knowledge don't all choose the same
    /// one.
    pub preferred_servers: usize,
    /// A server that is not among those that the host prefers.
    pub non_preferred: f64,
    /// A server that is not among those that the shared part prefers, for each millisecond of reading the part: it is read
    /// there, takes the place of another part, and the next request may come to a third one.
    pub non_preferred_prefill: f64,
}

/// Most by which congestion multiplies the cost of reading a prompt.
const MAX_CONGESTION: f64 = 4.0;

/// Shared tokens from which requests of all hosts prefer the same servers. With fewer, each host prefers its own, to which
/// it keeps connections.
const MIN_SHARED_TOKENS: f64 = 1_000.0;

/// Part of the shared tokens that a server probably keeps: the one that this host sent the same part to, and the first and
/// the second in the order that all hosts agree on.
const KEPT_SHARES: [f64; 3] = [0.9, 0.75, 0.4];

impl ChooserWeights {
    /// For model engines: about 38 prompt tokens a millisecond, and steps of 5.5 ms shared by all that run.
    pub const MODELS: Self = Self {
        prompt_token: 0.026,
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

    /// For plain services.
    pub const PLAIN: Self = Self {
        prompt_token: 0.0,
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

/// A server that a request could go to.
#[derive(Clone, Debug)]
pub struct BackendCandidate {
    /// Server.
    pub entry: Arc<BackendEntry>,
    /// Its load.
    pub load: Arc<BackendLoad>,
    /// False if the store doesn't list it at the moment.
    pub is_listed: bool,
    /// True if this host keeps a connection to it.
    pub is_connected: bool,
}

/// Chooses the backend server with the shortest expected wait.
#[derive(Clone, Debug)]
pub struct BackendChooser {
    /// This host.
    pub host: HostId,
    /// Data centre of this host.
    pub place: Name,
    /// Costs.
    pub weights: ChooserWeights,
}

impl BackendChooser {
    /// Index of the best of `candidates`.
    ///
    /// Shared parts of prompts draw a request to a server that has read them. Where this host doesn't know one, a hash of
    /// the part ranks the servers, so that all hosts prefer the same ones without a message.
    pub fn choose(
        &self,
        candidates: &[BackendCandidate],
        facts: &RequestFacts,
        now: MonotonicTime,
    ) -> Option<usize> {
        let weights = &self.weights;
        let shared = shared_tokens(facts);
        let part = shared_part_key(facts);
        let is_shared = shared >= MIN_SHARED_TOKENS;
        let places = match part {
            Some(part) if is_shared => places(part, candidates),
            _ => places(self.host_key(facts), candidates),
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
            let kept = match (has_read, places[index]) {
                (true, _) => KEPT_SHARES[0],
                (false, place @ 0..=1) if is_shared => KEPT_SHARES[place + 1],
                _ => 0.0,
            };
            let own_tokens = (facts.prompt_tokens as f64 - kept * shared).max(0.0);
            let mut cost = waits[index] + own_tokens * weights.prompt_token * congestion;
            if places[index] >= weights.preferred_servers {
                cost += if is_shared {
                    weights.non_preferred_prefill * shared * weights.prompt_token
                } else {
                    weights.non_preferred
                };
            }
            (index, cost)
        });
        costs
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(index, _)| index)
    }

    /// Ranks servers for requests of this host for one model.
    fn host_key(&self, facts: &RequestFacts) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.host, &facts.model, &facts.adapter).hash(&mut hasher);
        hasher.finish()
    }

    /// Expected wait at a server, and what else speaks against it, milliseconds.
    fn wait(&self, candidate: &BackendCandidate, now: MonotonicTime) -> f64 {
        let BackendCandidate {
            entry,
            load,
            is_listed,
            is_connected,
        } = candidate;
        let weights = &self.weights;
        let stated = load.recent_sample(now, STATED_LIMIT);
        let running = stated.map_or(0, |stated| stated.running);
        let waiting = stated.map_or(0, |stated| stated.waiting);
        let running = running.max(load.fleet_in_flight());
        let over_slots = running.saturating_sub(entry.slots.max(1) - 1);
        let waiting = waiting.max(over_slots);
        let mut cost = load.fleet_pending_tokens() as f64 * weights.prompt_token
            + f64::from(running) * weights.running
            + f64::from(waiting) * weights.waiting;
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

/// Place of each server in the order that a hash of `key` gives, 0 for the first.
fn places(key: u64, candidates: &[BackendCandidate]) -> Vec<usize> {
    let ranks = candidates
        .iter()
        .map(|candidate| rank(key, &candidate.entry.id));
    let ranks: Vec<u64> = ranks.collect();
    let places = ranks.iter().map(|own| {
        let before = ranks.iter().filter(|other| *other > own);
        before.count()
    });
    places.collect()
}

/// Key of the request's shared part for its model and adapter: engines keep parts per weights.
pub(crate) fn shared_part_key(facts: &RequestFacts) -> Option<u64> {
    let part = facts.shared_part()?;
    facts.model.as_ref()?;
    let mut hasher = DefaultHasher::new();
    (part.id, &facts.model, &facts.adapter).hash(&mut hasher);
    Some(hasher.finish())
}

impl BackendCandidate {
    /// Notes that the request's shared part is on its way to the server.
    pub fn record_sent_parts(&self, facts: &RequestFacts) {
        if let Some(part) = shared_part_key(facts) {
            self.load.with_sent_parts(|parts| parts.insert(part));
        }
    }
}

fn shared_tokens(facts: &RequestFacts) -> f64 {
    let shared = facts.parts.len().saturating_sub(1);
    let parts = facts.parts.iter().take(shared);
    parts.map(|part| f64::from(part.tokens)).sum()
}

fn rank(part: u64, id: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (part, id).hash(&mut hasher);
    hasher.finish()
}
