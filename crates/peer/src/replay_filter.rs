//! Detects messages that are sent a second time, for example by an attacker who recorded them.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use zinniahinge_types::MonotonicTime;

use crate::wire::MAX_CLOCK_SKEW;

/// Largest number of nonces in a generation of 20 s. It allows 50,000 messages per second, several times what one
/// process handles. With a limit of 250,000 nonces per minute, a process at 10,000 messages per second rejected all
/// messages after 25 s.
const MAX_NONCES_PER_GENERATION: usize = 1_000_000;

/// Time after which a new generation starts. A message is accepted up to one clock skew early or late, so its nonce
/// must be kept for at least two.
const GENERATION_LENGTH: Duration = MAX_CLOCK_SKEW.saturating_mul(2);

/// Remembers the nonces of the last 20 to 40 seconds. They are kept in two generations, so that old ones are dropped
/// together without storing a time for each.
#[derive(Default)]
pub struct ReplayFilter {
    generations: Mutex<NonceGenerations>,
}

#[derive(Default)]
struct NonceGenerations {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    started_at: MonotonicTime,
}

impl ReplayFilter {
    /// Records `nonce` and returns true if it is new.
    ///
    /// Also returns false while the current generation is full, because dropping nonces early would let a repeated
    /// message through.
    pub fn admit(&self, nonce: u64, now: MonotonicTime) -> bool {
        let mut generations = self
            .generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        generations.rotate(now);
        let NonceGenerations {
            current,
            previous,
            started_at: _,
        } = &mut *generations;
        if previous.contains(&nonce) || current.len() >= MAX_NONCES_PER_GENERATION {
            return false;
        }
        current.insert(nonce)
    }
}

impl NonceGenerations {
    fn rotate(&mut self, now: MonotonicTime) {
        let age = now.since(self.started_at);
        if age < GENERATION_LENGTH {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if age < GENERATION_LENGTH * 2 {
            current
        } else {
            HashSet::new()
        };
        self.started_at = now;
    }
}
