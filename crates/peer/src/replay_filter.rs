//! Detects repeated messages.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;

use crate::wire::MAX_CLOCK_SKEW;

/// Nonces per generation of 20 s: 50,000 messages a second, several times what one process handles. With 250,000
/// nonces a minute a process at 10,000 messages a second rejected everything after 25 s.
const MAX_NONCES: usize = 1_000_000;

/// A message is accepted up to one skew early or late, so a nonce must be kept for two.
const GENERATION: Duration = MAX_CLOCK_SKEW.saturating_mul(2);

/// Remembers the nonces of the last 20 to 40 seconds in two generations.
#[derive(Default)]
pub struct ReplayFilter {
    generations: Mutex<NonceGenerations>,
}

#[derive(Default)]
struct NonceGenerations {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    started: MonotonicTime,
}

impl ReplayFilter {
    /// Returns true the first time a nonce is seen. A full generation rejects further messages,
    /// because forgetting nonces would let an old message through.
    pub fn admit(&self, nonce: u64, now: MonotonicTime) -> bool {
        let mut generations = self
            .generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        generations.rotate(now);
        let NonceGenerations {
            current,
            previous,
            started: _,
        } = &mut *generations;
        if previous.contains(&nonce) || current.len() >= MAX_NONCES {
            return false;
        }
        current.insert(nonce)
    }
}

impl NonceGenerations {
    fn rotate(&mut self, now: MonotonicTime) {
        let age = now.since(self.started);
        if age < GENERATION {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if age < GENERATION * 2 {
            current
        } else {
            HashSet::new()
        };
        self.started = now;
    }
}
