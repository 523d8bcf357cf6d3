//! Simulates a busy model on six engines. 295 hosts send its requests and know the other hosts' requests with a delay of
//! up to 0.9 s.

mod common;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::BackendChooser;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::ChooserWeights;
use zinniahinge_serving::PromptPart;
use zinniahinge_serving::RequestFacts;

use crate::common::at;
use crate::common::entry;
use crate::common::name;

const HOSTS: usize = 295;
const REPORT_MS: u64 = 900;
const ENGINES: usize = 6;

/// Prompt tokens that an engine processes in a millisecond.
const TOKENS_PER_MS: f64 = 38.7;

/// Number of shared parts in an engine's cache besides those of running requests.
const CACHED_PARTS: usize = 25;

const SHARED_TOKENS: u32 = 6_300;
const OWN_TOKENS: u32 = 2_890;

/// Processes prompts in the order of their arrival.
#[derive(Default)]
struct SimulatedEngine {
    free_at_ms: f64,
    /// Cached shared parts, the least recently used first.
    parts: VecDeque<u64>,
    /// Pending tokens at the end of each step of 10 ms.
    pending: Vec<u64>,
}

impl SimulatedEngine {
    /// Takes a request; returns the time until its first event.
    fn take(&mut self, part: u64, now_ms: f64) -> f64 {
        let known = self.parts.iter().position(|kept| *kept == part);
        let tokens = match known {
            Some(index) => {
                self.parts.remove(index);
                OWN_TOKENS
            }
            None => OWN_TOKENS + SHARED_TOKENS,
        };
        self.parts.push_back(part);
        if self.parts.len() > CACHED_PARTS {
            self.parts.pop_front();
        }
        self.free_at_ms = self.free_at_ms.max(now_ms) + f64::from(tokens) / TOKENS_PER_MS;
        self.free_at_ms - now_ms
    }
}

fn facts(part: u64) -> RequestFacts {
    let parts = [(part, SHARED_TOKENS), (part + 1_000_000, OWN_TOKENS)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    RequestFacts {
        attempt_id: name("r"),
        caller_timeout: None,
        model: Some(name("m")),
        adapter: None,
        prompt_tokens: u64::from(SHARED_TOKENS + OWN_TOKENS),
        output_tokens: 50,
        states_tokens: true,
        parts: parts.into_iter().collect(),
    }
}

/// Share of `per_s` requests a second, over 20 s, whose first event arrives within a second.
fn share_within_a_second(weights: ChooserWeights, per_s: f64, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut engines: Vec<SimulatedEngine> =
        (0..ENGINES).map(|_| SimulatedEngine::default()).collect();
    let loads: Vec<Vec<Arc<BackendLoad>>> = (0..HOSTS)
        .map(|_| (0..ENGINES).map(|_| Arc::default()).collect())
        .collect();
    let (mut all, mut in_time) = (0.0, 0.0);
    for step in 0..2_000_u64 {
        let now_ms = step * 10;
        for engine in &mut engines {
            let left_ms = (engine.free_at_ms - now_ms as f64).max(0.0);
            engine.pending.push((left_ms * TOKENS_PER_MS) as u64);
        }
        if !random.random_bool(per_s / 100.0) {
            continue;
        }
        let host = random.random_range(0..HOSTS);
        // The host knows the loads as of the answer to its last report.
        let age_ms = (now_ms + host as u64 * 3) % REPORT_MS;
        let known_step = step.saturating_sub(age_ms / 10) as usize;
        let candidates = (0..ENGINES).map(|index| {
            let load = loads[host][index].clone();
            let pending = engines[index].pending[known_step];
            load.set_others((pending / 6_000) as u32, pending, false);
            BackendCandidate {
                entry: Arc::new(BackendEntry {
                    slots: 64,
                    ..entry(&format!("e{index}"), 1, &["m"])
                }),
                load,
                is_listed: true,
                is_connected: true,
            }
        });
        let candidates: Vec<BackendCandidate> = candidates.collect();
        // Half of the requests share one of 94 parts, as sheets and checklists are shared.
        let facts = facts(random.random_range(0..94));
        let chooser = BackendChooser {
            host: format!("h{host}").into(),
            place: name("a"),
            totals_age: Duration::from_millis(900),
            weights,
        };
        let chosen = chooser
            .choose(&candidates, &facts, at(now_ms))
            .expect("six candidates");
        candidates[chosen].record_sent_parts(&facts);
        let first_ms = engines[chosen].take(facts.parts[0].id, now_ms as f64);
        all += 1.0;
        in_time += f64::from(u8::from(first_ms <= 1_000.0));
    }
    in_time / all
}

fn mean_share(weights: ChooserWeights, per_s: f64) -> f64 {
    let shares = (0..6).map(|seed| share_within_a_second(weights, per_s, seed));
    shares.sum::<f64>() / 6.0
}

/// Guards against shared parts that are processed again and again on all replicas once these are busy, which keeps them
/// busy. The baseline weighs repeated prefill as if it delayed only the request itself, on all replicas alike.
#[test]
fn shared_parts_stay_together_when_replicas_are_busy() {
    let baseline = ChooserWeights {
        congestion: 0.0,
        preferred_servers: usize::MAX,
        ..ChooserWeights::MODELS
    };
    // Six engines that cache all parts could process 80 requests a second, and 25 without a cache.
    for (per_s, min_share) in [(30.0, 0.9), (40.0, 0.5)] {
        let before = mean_share(baseline, per_s);
        let after = mean_share(ChooserWeights::MODELS, per_s);
        let found = format!(
            "{per_s} a second: {before:.3} within 1 s with the baseline, {after:.3} with the model weights"
        );
        assert_that!(after > before + 0.1, eq(true), "{found}");
        assert_that!(after >= min_share, eq(true), "{found}");
    }
}
