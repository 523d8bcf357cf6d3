use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

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
    pub other_place: f64,
    /// No kept connection to it.
    pub new_connection: f64,
    /// A server that the fleet sees fail, or that left this host without an answer.
    pub doubtful: f64,
    /// A server that may be gone.
    pub unlisted: f64,
}

impl ChooserWeights {
    /// For model engines: about 38 prompt tokens a millisecond, and steps of 5.5 ms shared by all that run.
    pub const MODELS: Self = Self {
        prompt_token: 0.026,
        running: 8.0,
        waiting: 60.0,
        other_place: 12.0,
        new_connection: 15.0,
        doubtful: 5_000.0,
        unlisted: 60_000.0,
    };

    /// For plain services.
    pub const PLAIN: Self = Self {
        prompt_token: 0.0,
        running: 10.0,
        waiting: 30.0,
        other_place: 8.0,
        new_connection: 8.0,
        doubtful: 2_000.0,
        unlisted: 60_000.0,
    };
}

/// A server that a request could go to.
#[derive(Clone, Debug)]
pub struct ChosenBackend {
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
    /// Data centre of this host.
    pub place: Name,
    /// Costs.
    pub weights: ChooserWeights,
}

impl BackendChooser {
    /// Index of the best of `candidates`.
    ///
    /// Shared parts of prompts draw a request to a server that has read them. Where this host doesn't know one, a hash of
    /// the part ranks the servers, so that all hosts prefer the same one without a message.
    pub fn choose(
        &self,
        candidates: &[ChosenBackend],
        facts: &RequestFacts,
        now: MonotonicTime,
    ) -> Option<usize> {
        let part = shared_part_key(facts);
        let favourite = part.and_then(|part| {
            let ranks = candidates
                .iter()
                .map(|candidate| rank(part, &candidate.entry.id));
            ranks
                .enumerate()
                .max_by_key(|(_, rank)| *rank)
                .map(|(index, _)| index)
        });
        let costs = candidates.iter().enumerate().map(|(index, candidate)| {
            let saved = part.map_or(0.0, |part| {
                let has_read = candidate.load.with_parts(|parts| parts.contains(part));
                let share = match (has_read, favourite == Some(index)) {
                    (true, _) => 0.9,
                    (false, true) => 0.6,
                    (false, false) => 0.0,
                };
                share * shared_tokens(facts)
            });
            (index, self.cost(candidate, facts, saved, now))
        });
        costs
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(index, _)| index)
    }

    fn cost(
        &self,
        candidate: &ChosenBackend,
        facts: &RequestFacts,
        saved_tokens: f64,
        now: MonotonicTime,
    ) -> f64 {
        let ChosenBackend {
            entry,
            load,
            is_listed,
            is_connected,
        } = candidate;
        let weights = &self.weights;
        let stated = load.stated(now, STATED_LIMIT);
        let running = stated.map_or(0, |stated| stated.running);
        let waiting = stated.map_or(0, |stated| stated.waiting);
        let running = running.max(load.all_in_flight());
        let over_slots = running.saturating_sub(entry.slots.max(1) - 1);
        let waiting = waiting.max(over_slots);
        let own_tokens = (facts.prompt_tokens as f64 - saved_tokens).max(0.0);
        let tokens = load.all_pending_tokens() as f64 + own_tokens;
        let mut cost = tokens * weights.prompt_token
            + f64::from(running) * weights.running
            + f64::from(waiting) * weights.waiting;
        if entry.place != self.place {
            cost += weights.other_place;
        }
        if !is_connected {
            cost += weights.new_connection;
        }
        if load.is_suspect() || load.is_avoided(now) {
            cost += weights.doubtful;
        }
        if !is_listed {
            cost += weights.unlisted;
        }
        cost
    }
}

/// Key of the request's shared part for its model and adapter: engines keep parts per weights.
pub(crate) fn shared_part_key(facts: &RequestFacts) -> Option<u64> {
    let part = facts.shared_part()?;
    facts.model.as_ref()?;
    let mut hasher = DefaultHasher::new();
    (part.id, &facts.model, &facts.adapter).hash(&mut hasher);
    Some(hasher.finish())
}

impl ChosenBackend {
    /// Notes that the request's shared part is on its way to the server.
    pub fn note_parts(&self, facts: &RequestFacts) {
        if let Some(part) = shared_part_key(facts) {
            self.load.with_parts(|parts| parts.insert(part));
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
